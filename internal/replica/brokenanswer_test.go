package replica

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

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
