package httphead

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

const testLimit = 32 << 10

func read(text string) (*Head, error) {
	return NewReader(bufio.NewReaderSize(strings.NewReader(text), 64), testLimit).Head()
}

// Guards against a check that refuses sound responses.
func TestSoundHeads(t *testing.T) {
	for text, want := range map[string]struct {
		method  string
		status  int
		framing Framing
		length  int64
		kept    bool
	}{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n":                                   {"GET", 200, FramingLength, 5, true},
		"HTTP/1.1 200 OK\r\ncontent-length:5\r\nContent-Length:\t5 \r\n\r\n":             {"GET", 200, FramingLength, 5, true},
		"HTTP/1.1 200\r\nTransfer-Encoding: Chunked\r\n\r\n":                             {"GET", 200, FramingChunks, -1, true},
		"HTTP/1.1 200 \r\n\r\n":                                                          {"GET", 200, FramingClose, -1, true},
		"HTTP/1.1 599 Sehr sch\xc3\xb6n\r\nX-Empty:\r\nX-Text: \xc3\xb6\ta\r\n\r\n":      {"GET", 599, FramingClose, -1, true},
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n":                                         {"GET", 200, FramingLength, 0, true},
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n":                                   {"GET", 200, FramingLength, 5, false},
		"HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 5\r\n\r\n":         {"GET", 200, FramingLength, 5, true},
		"HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 5\r\n\r\n":           {"GET", 200, FramingLength, 5, false},
		"HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n":                                 {"HEAD", 200, FramingNone, 800, true},
		"HTTP/1.1 200 OK\r\n\r\n":                                                        {"HEAD", 200, FramingNone, -1, true},
		"HTTP/1.1 204 No Content\r\n\r\n":                                                {"POST", 204, FramingNone, 0, true},
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 800\r\n\r\n":                       {"GET", 304, FramingNone, 0, true},
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n":                             {"POST", 100, FramingNone, 0, true},
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", testLimit/2) + "\r\n\r\n":    {"GET", 200, FramingClose, -1, true},
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09Az: \"(),/:;<=>?@[\\]{}\"\r\n\r\n":          {"GET", 200, FramingClose, -1, true},
		"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\nX: 1\r\nX: 2\r\n\r\n": {"GET", 200, FramingLength, 1<<63 - 1, true},
	} {
		g := gomega.NewWithT(t)
		head, err := read(text)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "%q", text)
		framing, length, err := head.Framing(want.method)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "%q", text)
		g.Expect([]any{head.Status, framing, length, head.KeepsAlive()}).To(gomega.Equal([]any{want.status, want.framing, want.length, want.kept}), "%q", text)
	}
}

// Guards against heads and trailers without end.
func TestLimit(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 " + strings.Repeat("x", testLimit), "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", testLimit),
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: 1\r\n", testLimit/6),
	} {
		g := gomega.NewWithT(t)
		_, err := read(text)
		g.Expect(err).To(gomega.MatchError(ErrTooLong))
	}
	g := gomega.NewWithT(t)
	g.Expect(NewReader(bufio.NewReader(strings.NewReader("X: 1\r\n\r\n")), 8).Trailer()).To(gomega.Succeed())
	g.Expect(NewReader(bufio.NewReader(strings.NewReader("X: 1\r\n\r\n")), 7).Trailer()).To(gomega.MatchError(ErrTooLong))
	g.Expect(NewReader(bufio.NewReader(strings.NewReader("X 1: 1\r\n\r\n")), 100).Trailer()).NotTo(gomega.Succeed())
	g.Expect(NewReader(bufio.NewReader(strings.NewReader("X: 1\r\n")), 100).Trailer()).To(gomega.MatchError(io.ErrUnexpectedEOF))
}

// Guards against a head that this package reads otherwise than net/http, which callers
// and other proxies may use. What net/http refuses must be refused here.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Name: value\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.0 404 Not Found\r\nConnection: keep-alive\r\n\r\n", "HTTP/1.1 204\nX: a\n\n",
		"HTTP/1.1 000 Unknown\r\nX Name: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1, 1\r\n\r\n",
	} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			f.Add(method, text)
		}
	}
	f.Fuzz(func(t *testing.T, method, text string) {
		head, err := read(text)
		if err != nil {
			return
		}
		framing, length, err := head.Framing(method)
		if err != nil {
			return
		}
		g := gomega.NewWithT(t)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
		g.Expect(err).NotTo(gomega.HaveOccurred(), "%q", text)
		g.Expect(head.KeepsAlive() && framing != FramingClose).To(gomega.Equal(!resp.Close), "%q", text)
		for _, name := range []string{"Transfer-Encoding", "Connection", "Cache-Control"} { // net/http drops or adds them
			delete(head.Header, name)
			delete(resp.Header, name)
		}
		g.Expect(head.Status).To(gomega.Equal(resp.StatusCode))
		if len(resp.Header["Content-Length"]) == 1 { // net/http drops equal lengths
			head.Header["Content-Length"] = head.Header["Content-Length"][:1]
		}
		g.Expect(head.Header).To(gomega.Equal(resp.Header), "%q", text)
		g.Expect(length).To(gomega.Equal(resp.ContentLength), "%q", text)
		g.Expect(framing == FramingChunks).To(gomega.Equal(len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody), "%q", text)
	})
}
