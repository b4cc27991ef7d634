package openai

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "gentiantide.example/gentiantide/internal/fixedseed"
)

func tokenChunk(chat bool, id string, index int, text string) string {
	quotedID, _ := json.Marshal(id)
	quoted, _ := json.Marshal(text)
	if chat {
		return fmt.Sprintf(`{"id":%s,"object":"o","token_index":%d,"choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`, quotedID, index, quoted)
	}
	return fmt.Sprintf(`{"id":%s,"object":"o","token_index":%d,"choices":[{"index":0,"text":%s,"finish_reason":null}]}`, quotedID, index, quoted)
}

// Guards against a fast parser that parses a chunk differently from
// encoding/json.
func TestFastParserAgreesWithJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(tokenChunk(rapid.Bool().Draw(t, "chat"), rapid.String().Draw(t, "id"),
			rapid.IntRange(0, 1<<40).Draw(t, "index"), rapid.String().Draw(t, "text")))
		for range rapid.IntRange(0, 2).Draw(t, "mutations") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.SampledFrom([]byte("\"\\{}[]:,0149e.- \x00\x7f\x80\xffa")).Draw(t, "byte")
		}
		fast, ok := parseTokenChunkFast(data)
		if !ok {
			return
		}
		slow, err := parseChunkJSON(data)
		if err != nil || fast != slow {
			t.Fatalf("%q: fast parser %+v, encoding/json %+v, error %v", data, fast, slow, err)
		}
	})
}

// Guards against more than one allocation per usual chunk, with which the relay
// would not reach its target rate.
func TestTokenChunkAllocations(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, chat := range []bool{true, false} {
		data := []byte(tokenChunk(chat, "r-1", 12, "w1234 "))
		g.Expect(testing.AllocsPerRun(100, func() { _, _ = parseChunk(data) })).To(gomega.BeNumerically("<=", 1))
	}
}
