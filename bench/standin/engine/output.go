package engine

import (
	"hash/fnv"
	"strconv"
)

// PromptHash returns the hash of a prompt, which determines the output. The
// prompt of a chat consists of the role, ": ", the content and a newline of each
// message.
func PromptHash(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// vocabularySize is the number of different tokens.
const vocabularySize = 10_000

// AppendToken appends token i of the output for a prompt hash, for example
// "w1234 ". Tokens are ASCII and need no escaping in JSON.
func AppendToken(dst []byte, hash uint64, i int) []byte {
	x := hash + uint64(i)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	dst = append(dst, 'w')
	dst = strconv.AppendUint(dst, x%vocabularySize, 10)
	return append(dst, ' ')
}

// OutputText returns the text of the first n output tokens for a prompt.
func OutputText(prompt string, n int) string {
	hash := PromptHash(prompt)
	var text []byte
	for i := range n {
		text = AppendToken(text, hash, i)
	}
	return string(text)
}

// DefaultLength returns the number of output tokens for a prompt hash if the
// request does not set max_tokens.
func (p Params) DefaultLength(hash uint64) int {
	mean := uint64(max(p.DefaultTokens, 1))
	n := int(mean/2 + hash%mean + 1)
	if p.LongOneIn > 0 && (hash>>32)%uint64(p.LongOneIn) == 0 {
		n *= max(p.LongFactor, 1)
	}
	return n
}
