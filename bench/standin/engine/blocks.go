package engine

import (
	"encoding/binary"
	"hash/fnv"
	"strings"
)

// BlockTokens is the number of prompt tokens in one block of the prefix cache.
const BlockTokens = 16

// PromptTokens splits a prompt into tokens. Each word is one token.
func PromptTokens(prompt string) []string { return strings.Fields(prompt) }

// BlockHashes returns the hashes of the full blocks of a prompt. Each hash covers
// the whole prefix up to the end of its block.
func BlockHashes(tokens []string) []uint64 {
	blocks := make([]uint64, 0, len(tokens)/BlockTokens)
	var previous uint64
	for start := 0; start+BlockTokens <= len(tokens); start += BlockTokens {
		h := fnv.New64a()
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, previous))
		for _, token := range tokens[start : start+BlockTokens] {
			_, _ = h.Write([]byte(token))
			_, _ = h.Write([]byte{' '})
		}
		previous = h.Sum64()
		blocks = append(blocks, previous)
	}
	return blocks
}
