package strictjson

import (
	"fmt"
	"strings"
)

// maxSuggestLength is the longest name for which a similar name is searched. It
// bounds the cost of the edit distances.
const maxSuggestLength = 64

// UnknownKey returns the problem for a member whose name is not a known one. It
// suggests the most similar known name, if there is one.
func UnknownKey(file, path string, m Member, known []string) Problem {
	message := fmt.Sprintf("unknown key %q", m.Name)
	if near := Nearest(m.Name, known); near != "" {
		message += fmt.Sprintf(", did you mean %q?", near)
	}
	expected := "one of " + strings.Join(known, ", ")
	if len(known) == 0 {
		expected = "no keys here"
	}
	return Problem{File: file, Position: m.Pos, Path: path, Message: message, Expected: expected}
}

// Nearest returns the known name with the smallest edit distance to name, or "" if
// none is similar enough. Case is ignored.
func Nearest(name string, known []string) string {
	if len(name) > maxSuggestLength {
		return ""
	}
	best, bestDistance := "", max(2, len(name)/3)+1
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		previous := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := previous
			if a[i-1] != b[j-1] {
				cost++
			}
			previous = row[j]
			row[j] = min(row[j]+1, row[j-1]+1, cost)
		}
	}
	return row[len(b)]
}
