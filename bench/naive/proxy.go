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
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 1 << 20
	// maxIdleConns is the maximum number of idle connections to one backend server.
	maxIdleConns = 512
)

// Proxy forwards calls to backend servers in turn. It implements http.Handler.
type Proxy struct {
	backends []string // base URLs
	next     atomic.Uint64
	client   *http.Client
	mux      *http.ServeMux
	batch    batchRunner
}

// New returns a proxy for the backend servers with these base URLs.
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

// Close cancels the batch job and waits until its items have ended.
func (p *Proxy) Close() { p.batch.cancelAndWait() }

func (p *Proxy) forward(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := p.send(r.Context(), r.URL.Path, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	copyFlushing(w, response.Body)
}

// send sends a call to the next backend server. If connecting fails, it tries the
// following ones, with at most as many attempts as there are servers.
func (p *Proxy) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	var lastErr error
	for range p.backends {
		base := p.backends[p.next.Add(1)%uint64(len(p.backends))]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
		if err != nil {
			return nil, errors.Wrap(err, "build request")
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := p.client.Do(request)
		if err == nil {
			return response, nil
		}
		if !connectFailed(err) {
			return nil, errors.Wrap(err, "send request to backend server")
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "connect to backend server")
}

// copyFlushing copies a stream and flushes after each read, so that tokens are not
// delayed in a buffer. If reading fails, it aborts the connection.
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
			panic(http.ErrAbortHandler) // shows the client that the response is incomplete
		}
	}
}
