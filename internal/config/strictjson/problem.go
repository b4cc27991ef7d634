package strictjson

import (
	"fmt"
	"strings"
)

// Problem is one reason why a document is invalid.
type Problem struct {
	File string `json:"file,omitempty"`
	Position
	// Path is the path of the value in the document, such as "listen.callers".
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
	// Expected describes the valid values.
	Expected string `json:"expected,omitempty"`
}

// Error returns "file:line:column: path: message; expected ...".
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
		if p.Line > 0 {
			b.WriteString(p.Position.String() + ":")
		}
		b.WriteString(" ")
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Message)
	if p.Expected != "" {
		fmt.Fprintf(&b, "; expected %s", p.Expected)
	}
	return b.String()
}

// Problems holds all problems of a document, in the order of their positions.
type Problems []Problem

// Error returns one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}
