package httphead

import "strings"

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken reports whether a text is a token (RFC 9110, section 5.6.2), as field names
// are.
func isToken(text []byte) bool {
	for _, c := range text {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !letter && !isDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isFieldValue reports whether a text holds no control bytes but tabs.
func isFieldValue(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
