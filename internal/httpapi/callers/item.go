package callers

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/relay"
)

// ParseItem checks a generation request that came another way than as an HTTP
// call, such as an item of a batch job. It returns the generation without its
// ID, deployment and organisation, and the model that the request names.
func ParseItem(path string, body []byte) (relay.Generation, string, *core.Refusal) {
	if !IsGenerationPath(path) {
		return relay.Generation{}, "", invalid("%q is not a generation path", path)
	}
	req, refusal := parseGeneration(path, body)
	if refusal != nil {
		return relay.Generation{}, "", refusal
	}
	return relay.Generation{
		Path: path, Body: req.body, ExpectedTokens: req.expectedTokens, PrefixHash: req.prefixHash,
	}, req.model, nil
}

// IsGenerationPath reports whether the path takes generation requests.
func IsGenerationPath(path string) bool {
	return path == pathChat || path == pathCompletions
}

// ItemAnswer returns the body of a whole answer in the form of the path.
func ItemAnswer(path, id, model string, created int64, result relay.Result) []byte {
	form := genForm{chat: path == pathChat, id: id, model: model, created: created}
	return form.appendWhole(nil, result)
}
