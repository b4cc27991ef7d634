package crowdtest

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// head returns the head of a POST request.
func head(path, framing string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n"
}

const chunked = "Transfer-Encoding: chunked"

// stopsShort sends a body of legal size but for its last byte.
func stopsShort(path string) func(w io.Writer) error {
	body := strings.Repeat("x", bodyBytes-1)
	return func(w io.Writer) error {
		_, err := io.WriteString(w, head(path, fmt.Sprintf("Content-Length: %d", bodyBytes))+body)
		return err
	}
}

// withoutLastChunk sends a body in chunks of a size, and not the last one.
func withoutLastChunk(path string, chunk int) func(w io.Writer) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	body := strings.Repeat(one, bodyBytes/chunk)
	return func(w io.Writer) error {
		_, err := io.WriteString(w, head(path, chunked)+body)
		return err
	}
}

// Answers a crowd of callers whose bodies stop one byte before their end.
func TestCrowdOfCallers(t *testing.T) {
	n := start(t)
	n.crowd(n.Callers, stopsShort("/permit-desk/issue"))
	n.expectBorne()
}

// Answers a crowd of callers that send small chunks and leave out the last one.
func TestCrowdOfCallersWithSmallChunks(t *testing.T) {
	n := start(t)
	n.crowd(n.Callers, withoutLastChunk("/permit-desk/issue", 50))
	n.expectBorne()
}

// Answers a crowd of callers that send large chunks and leave out the last one.
func TestCrowdOfCallersWithLargeChunks(t *testing.T) {
	n := start(t)
	n.crowd(n.Callers, withoutLastChunk("/permit-desk/issue", 50_000))
	n.expectBorne()
}

// Answers a crowd of callers that announce far too much and send it up to the limit.
func TestCrowdOfCallersOverTheLimit(t *testing.T) {
	n := start(t)
	body := strings.Repeat("x", bodyBytes)
	n.crowd(n.Callers, func(w io.Writer) error {
		_, err := io.WriteString(w, head("/permit-desk/issue", "Content-Length: 1099511627776")+body)
		return err
	})
	n.expectBorne()
}

// Answers the first crowd at the listener for operators.
func TestCrowdOfOperators(t *testing.T) {
	n := start(t)
	n.crowd(n.Operators, stopsShort("/admin/v1/settings"))
	n.expectBorne()
}

// Answers a crowd that uploads files and stops before the end of the form.
func TestCrowdOfUploads(t *testing.T) {
	n := start(t)
	form := "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n" +
		"--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n" + strings.Repeat("x", bodyBytes)
	n.crowd(n.Callers, func(w io.Writer) error {
		_, err := io.WriteString(w, head("/v1/files", fmt.Sprintf("Content-Type: multipart/form-data; boundary=b\r\nContent-Length: %d", len(form)+100))+form)
		return err
	})
	n.expectBorne()
}
