package callers

import (
	"io"
	"net/http"

	"gentiantide.example/gentiantide/internal/httpapi"
)

// healthz responds with status 200 as long as the process serves requests.
func (a *API) healthz(w http.ResponseWriter, _ *http.Request) {
	writeText(w, "ok\n")
}

// readyz tells the load balancer whether to send requests to this node.
func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	if refusal := a.cfg.Ready(); refusal != nil {
		httpapi.WriteRefusal(w, refusal)
		return
	}
	writeText(w, "ready\n")
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, text)
}
