package strictjson

import (
	"fmt"
	"sort"
	"unicode/utf8"
)

// Position is a position in a document. Line and Column start at 1; Column counts
// characters, not bytes. The zero value is an unknown position.
type Position struct {
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

// String returns "line:column".
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Line, p.Column) }

// lineIndex converts byte offsets to positions.
type lineIndex struct {
	data   []byte
	starts []int // byte offset of the start of each line
}

func newLineIndex(data []byte) *lineIndex {
	index := &lineIndex{data: data, starts: []int{0}}
	for i, b := range data {
		if b == '\n' {
			index.starts = append(index.starts, i+1)
		}
	}
	return index
}

func (x *lineIndex) position(offset int) Position {
	offset = min(max(offset, 0), len(x.data))
	line := sort.SearchInts(x.starts, offset+1) - 1
	column := utf8.RuneCount(x.data[x.starts[line]:offset])
	return Position{Line: line + 1, Column: column + 1}
}
