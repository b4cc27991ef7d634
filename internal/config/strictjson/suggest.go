package strictjson

import (
	"fmt"
	"strings"
)

// maxNearName bounds the cost of the search for a near name.
const maxNearName = 64

// UnknownKey returns the problem of a member whose name is not among the known
// ones, with a suggestion if one of them is nearly the same.
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

// Nearest returns the known name that differs least from name, or "" if none
// is close.
func Nearest(name string, known []string) string {
	if len(name) > maxNearName {
		return ""
	}
	best, bestDistance := "", max(2, len(name)/3)+1
	for _, k := range known {
		if d := distance(strings.ToLower(name), strings.ToLower(k)); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// distance is the number of single-byte edits between two strings.
func distance(a, b string) int {
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
