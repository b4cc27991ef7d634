package naive

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxBody bounds the body of a call in bytes.
	maxBody = 1 << 20
	// maxIdleConns bounds the idle connections to one backend server.
	maxIdleConns = 512
)

// Proxy passes calls to backend servers in turn. It is an http.Handler.
type Proxy struct {
	backends []string // base URLs
	next     atomic.Uint64
	client   *http.Client
	mux      *http.ServeMux
	batch    runner
}

// New returns a proxy to the backend servers with these base URLs.
func New(backends []string) *Proxy {
	p := &Proxy{
		backends: backends, mux: http.NewServeMux(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
	}
	p.batch.send = p.send
	p.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	p.mux.HandleFunc("POST /batch", p.batch.start)
	p.mux.HandleFunc("GET /batch", p.batch.status)
	p.mux.HandleFunc("DELETE /batch", p.batch.stop)
	p.mux.HandleFunc("POST /v1/", p.forward)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Close ends the batch runner.
func (p *Proxy) Close() { p.batch.end() }

func (p *Proxy) forward(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := p.send(r.Context(), r.URL.Path, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.WriteHeader(answer.StatusCode)
	copyFlushing(w, answer.Body)
}

// send sends a call to the next backend server, and to the following ones
// while connecting fails.
func (p *Proxy) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	var last error
	for range p.backends {
		base := p.backends[p.next.Add(1)%uint64(len(p.backends))]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
		if err != nil {
			return nil, errors.Wrap(err, "build call")
		}
		request.Header.Set("Content-Type", "application/json")
		answer, err := p.client.Do(request)
		if err == nil {
			return answer, nil
		}
		if !connectFailed(err) {
			return nil, errors.Wrap(err, "call backend server")
		}
		last = err
	}
	return nil, errors.Wrap(last, "connect to backend server")
}

// copyFlushing copies a stream and flushes after each read, so that tokens are
// not held back.
func copyFlushing(w http.ResponseWriter, from io.Reader) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return
			}
			_ = control.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // the answer is not whole
		}
	}
}
