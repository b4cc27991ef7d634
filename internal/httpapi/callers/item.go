package callers

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/relay"
)

// ParseItem parses and checks a generation request that did not arrive as an HTTP
// request, such as an item of a batch job. It returns the generation, without ID,
// deployment and organisation, and the name of the requested model.
func ParseItem(path string, body []byte) (relay.Generation, string, *core.Refusal) {
	if !IsGenerationPath(path) {
		return relay.Generation{}, "", invalidRequest("%q is not a generation path", path)
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

// ItemResponse returns the body of a complete response in the format that belongs to
// the path.
func ItemResponse(path, id, model string, created int64, result relay.Result) []byte {
	encoder := responseEncoder{chat: path == pathChat, id: id, model: model, created: created}
	return encoder.appendComplete(nil, result)
}
