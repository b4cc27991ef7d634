package strictjson

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// MaxDocument is the maximum size of a document in bytes.
	MaxDocument = 4 << 20
	// maxDepth bounds the nesting of values, so that a malicious document cannot
	// exhaust the stack of the recursive parser.
	maxDepth = 32
)

// Parse parses a document. The node is nil if the document is too large, is not
// valid UTF-8, is nested too deeply or has a syntax error. A duplicate name is
// reported as a problem, and its first value is kept.
func Parse(file string, data []byte) (*Node, Problems) {
	index := newLineIndex(data)
	if problem, ok := precheck(data, index); !ok {
		problem.File = file
		return nil, Problems{problem}
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	c := converter{file: file, index: index}
	node := c.convert("", &value)
	return node, c.problems
}

// precheck checks the limits and the encoding of a document before it is parsed.
func precheck(data []byte, index *lineIndex) (Problem, bool) {
	if len(data) > MaxDocument {
		return Problem{Position: Position{1, 1}, Message: "document is too large",
			Expected: fmt.Sprintf("at most %d bytes", MaxDocument)}, false
	}
	if !utf8.Valid(data) {
		offset := 0
		for offset < len(data) {
			r, size := utf8.DecodeRune(data[offset:])
			if r == utf8.RuneError && size == 1 {
				break
			}
			offset += size
		}
		return Problem{Position: index.position(offset), Message: "invalid UTF-8"}, false
	}
	if offset := excessDepthOffset(data); offset >= 0 {
		return Problem{Position: index.position(offset), Message: "values are nested too deeply",
			Expected: fmt.Sprintf("at most %d levels", maxDepth)}, false
	}
	return Problem{}, true
}

// excessDepthOffset returns the offset of the first bracket that exceeds maxDepth
// levels of nesting, or -1.
func excessDepthOffset(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipComment returns the offset of the last byte of the comment that starts at
// offset i, or i if there is none. For a comment without an end it returns the
// length of the data.
func skipComment(data []byte, i int) int {
	end := ""
	switch string(data[i:min(i+2, len(data))]) {
	case "//":
		end = "\n"
	case "/*":
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(data[i+2:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return i + 2 + n + len(end) - 1
}

// syntaxProblem extracts the position from an error of the parser, which has the
// form "hujson: line %d, column %d: reason".
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Message: err.Error()}
	text, ok := strings.CutPrefix(err.Error(), "hujson: ")
	if !ok {
		return p
	}
	position, reason, ok := strings.Cut(text, ": ")
	if !ok {
		return p
	}
	var line, column int
	if n, _ := fmt.Sscanf(position, "line %d, column %d", &line, &column); n != 2 {
		return p
	}
	p.Position, p.Message = Position{line, column}, "syntax error: "+reason
	return p
}

// converter converts parsed hujson values to nodes.
type converter struct {
	file     string
	index    *lineIndex
	problems Problems
}

func (c *converter) convert(path string, v *hujson.Value) *Node {
	n := &Node{File: c.file, Pos: c.index.position(v.StartOffset)}
	switch t := v.Value.(type) {
	case hujson.Literal:
		n.Kind, n.Text = literalKind(t.Kind()), t.String()
	case *hujson.Array:
		n.Kind = Array
		for i := range t.Elements {
			n.Elements = append(n.Elements, c.convert(fmt.Sprintf("%s[%d]", path, i), &t.Elements[i]))
		}
	case *hujson.Object:
		n.Kind = Object
		c.convertMembers(path, n, t)
	}
	return n
}

func (c *converter) convertMembers(path string, n *Node, object *hujson.Object) {
	first := make(map[string]Position)
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		pos := c.index.position(m.Name.StartOffset)
		memberPath := Join(path, name)
		value := c.convert(memberPath, &m.Value)
		if firstPos, ok := first[name]; ok {
			c.problems = append(c.problems, Problem{File: c.file, Position: pos, Path: memberPath,
				Message: fmt.Sprintf("duplicate key %q, first given at line %d, column %d", name, firstPos.Line, firstPos.Column)})
			continue
		}
		first[name] = pos
		n.Members = append(n.Members, Member{Name: name, Pos: pos, Value: value})
	}
}

func literalKind(kind hujson.Kind) Kind {
	switch kind {
	case 'n':
		return Null
	case 't', 'f':
		return Bool
	case '"':
		return String
	default:
		return Number
	}
}

// Join appends a name to a path. The result is "a.b", or "/a: b" if the path is
// one of the settings tree.
func Join(path, name string) string {
	switch {
	case path == "":
		return name
	case path[0] == '/' && !strings.Contains(path, ": "):
		return path + ": " + name
	}
	return path + "." + name
}
