package replica

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// uploadBytes is more than the socket buffers hold of an upload that is not read.
const uploadBytes = 8 << 20

// earlyReplica returns a replica that passes each connection to a function once it has
// read the head of a request, and closes the connection afterwards.
func earlyReplica(t *testing.T, answer func(conn *net.TCPConn, upload io.Reader)) *Replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if req, err := http.ReadRequest(bufio.NewReaderSize(conn, 512)); err == nil {
					answer(conn.(*net.TCPConn), req.Body)
				}
			}()
		}
	}()
	return newReplica(Info{ID: "r", Address: listener.Addr().String()}, make(chan struct{}, 1))
}

// sendUpload sends a long request and reads the response.
func sendUpload(t *testing.T, r *Replica, method string) (string, error) {
	request := testRequest("1")
	request.Method, request.Body = method, make([]byte, uploadBytes)
	resp, err := r.Send(t.Context(), request)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against a part of a body that passes for the whole one: it has neither a length
// nor chunks, and the connection is reset while the request is still being written. The
// write may get the error of the reset, and the read then sees an end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for range 50 {
		g := gomega.NewWithT(t)
		r := earlyReplica(t, func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello")
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		body, err := sendUpload(t, r, http.MethodPost)
		g.Expect(err).To(gomega.HaveOccurred(), "%q", body)
	}
}

// Guards against a sound answer that is refused because it comes before the end of the
// upload: with a length, with chunks, or with an end after the upload was read.
func TestAnswerBeforeTheEndOfTheUpload(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for name, answer := range map[string]func(conn *net.TCPConn, upload io.Reader){
		"length": func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.WriteString(conn, head+"Content-Length: 5\r\n\r\nhello")
			_, _ = io.Copy(io.Discard, upload)
		},
		"length, upload not read": func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.WriteString(conn, head+"Content-Length: 5\r\n\r\nhello")
			time.Sleep(50 * time.Millisecond)
		},
		"chunks": func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
			_, _ = io.Copy(io.Discard, upload)
		},
		"end of the connection": func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.WriteString(conn, head+"\r\nhello")
			_, _ = io.Copy(io.Discard, upload)
		},
		"end of the answer before that of the upload": func(conn *net.TCPConn, upload io.Reader) {
			_, _ = io.WriteString(conn, head+"\r\nhello")
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, upload)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := earlyReplica(t, answer)
			body, err := sendUpload(t, r, http.MethodPost)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(body).To(gomega.Equal("hello"))
		})
	}
	t.Run("no body", func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := earlyReplica(t, func(conn *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(conn, head+"\r\n")
			time.Sleep(50 * time.Millisecond)
		})
		body, err := sendUpload(t, r, http.MethodHead)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.BeEmpty())
	})
}

// Guards against a body that counts as complete although what follows its last chunk is
// no trailer, and against a trailer that costs a sound response.
func TestTrailer(t *testing.T) {
	for trailer, sound := range map[string]bool{
		"": true, "X-Sum: 1\r\n": true, "X-Sum: 1\r\nX-Other:\r\n": true,
		"X Sum: 1\r\n": false, "X-Sum : 1\r\n": false, "X-Sum: 1\r\n 2\r\n": false, "X-Sum\r\n": false, "X-Sum: \x00\r\n": false,
	} {
		g := gomega.NewWithT(t)
		r := rawReplica(t, func(conn net.Conn, _ *http.Request) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"+trailer+"\r\n")
			return err == nil
		})
		body, err := exchange(t.Context(), r, "1")
		g.Expect(err == nil).To(gomega.Equal(sound), "trailer %q: %v", trailer, err)
		g.Expect(body).To(gomega.Equal("hello"))
		g.Expect(r.pool.get(time.Now(), "") != nil).To(gomega.Equal(sound), "the connection after the trailer %q", trailer)
	}
}
