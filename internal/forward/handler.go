package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routes"
)

const (
	// maxBody bounds a request body if the configuration does not.
	maxBody = 8 << 20
	// defaultPatience bounds a request that names no time.
	defaultPatience = 30 * time.Second
	// notReadyRetry is the time after which a node that has no configuration
	// yet may have one.
	notReadyRetry = 500 * time.Millisecond
)

// errRouteTimeout ends a request at its route's timeout or its deadline.
var errRouteTimeout = errors.New("the route's timeout or the caller's deadline passed")

// Placer finds replicas for requests.
type Placer interface {
	// Place returns a replica at which it has counted the request. Without one it
	// returns the time after which a slot may be free, or 0 if that is not known.
	Place(ctx context.Context, q *placement.Query) (*replica.Replica, time.Duration)
}

// Handler serves callers' requests.
type Handler struct {
	Codec Codec
	// Routes is the present configuration, nil until the first one is known.
	Routes *atomic.Pointer[routes.Table]
	// Submit accepts a batch job whose request was read.
	Submit   func(w http.ResponseWriter, in *http.Request, call *Call, route *routes.Route, body []byte) Outcome
	Placer   Placer
	Log      *slog.Logger
	Counters *Counters
}

// request is one request on its way.
type request struct {
	h       *Handler
	w       http.ResponseWriter
	in      *http.Request
	call    Call
	route   *routes.Route
	version int64
	body    []byte
	arrived time.Time
	// deadline is the route's timeout or the end of the caller's patience.
	deadline time.Time

	tried []core.ReplicaID
	sends int // requests sent to replicas
	runs  int // of these, those that may have run
	// busy and slowdown are the estimates by which the last replica was chosen.
	busy     float64
	slowdown float64
	// waited is the time spent on finding replicas.
	waited time.Duration
	// slotIn is when a slot may be free, for a request that found none.
	slotIn   time.Duration
	firstOut time.Duration
	answered bool // the head of the answer is out
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	arrived := time.Now()
	table := h.Routes.Load()
	call, err := h.Codec.Call(in.Header)
	if table == nil {
		h.Log.Warn("request refused", "request", call.ID, "reason", "no configuration yet")
		refuse(w, http.StatusServiceUnavailable, "not_ready", notReadyRetry)
		return
	}
	if err != nil {
		h.Log.Warn("request refused", "request", call.ID, "reason", err)
		refuse(w, http.StatusBadRequest, "bad_request", 0)
		return
	}
	route := table.Match(HostName(in.Host), Path(in))
	if route == nil {
		h.Log.Info("request refused", "request", call.ID, "reason", "no route", "host", in.Host, "path", Path(in), "config", table.Version)
		refuse(w, http.StatusNotFound, "no_route", 0)
		return
	}
	r := &request{h: h, w: w, in: in, call: call, route: route, version: table.Version, arrived: arrived}
	r.deadline = arrived.Add(r.allowed())
	if r.body, err = readBody(w, in, table.Limits, r.deadline); err != nil {
		r.refuseBody(err)
		return
	}
	h.Counters.Begin()
	outcome := r.serve()
	h.Counters.End(route.Name, outcome, time.Since(arrived))
	r.log(outcome)
}

// allowed is the time that the request may take here.
func (r *request) allowed() time.Duration {
	allowed := defaultPatience
	if r.route.Timeout > 0 {
		allowed = r.route.Timeout
	}
	if r.call.Patience > 0 {
		allowed = min(allowed, r.call.Patience)
	}
	return allowed
}

// readBody reads the whole body. A request is sent only once it is complete,
// so that a caller that breaks off leaves nothing half sent.
func readBody(w http.ResponseWriter, in *http.Request, limits routes.Limits, deadline time.Time) ([]byte, error) {
	if in.ContentLength == 0 {
		return nil, nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if in.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, in.Body, limit))
	if resetErr := control.SetReadDeadline(time.Time{}); err == nil {
		err = resetErr
	}
	return body, err
}

func (r *request) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	status, reason := http.StatusBadRequest, "bad_body"
	switch {
	case errors.As(err, &tooLarge):
		status, reason = http.StatusRequestEntityTooLarge, "body_too_large"
	case errors.As(err, &timeout) && timeout.Timeout():
		status, reason = http.StatusRequestTimeout, "body_timeout"
	}
	r.h.Log.Info("request refused", "request", r.call.ID, "reason", reason, "error", err)
	r.w.Header().Set("Connection", "close")
	refuse(r.w, status, reason, 0)
}

// serve sends the request and answers the caller.
func (r *request) serve() Outcome {
	ctx, cancel := context.WithDeadlineCause(r.in.Context(), r.deadline, errRouteTimeout)
	defer cancel()
	switch r.route.Kind {
	case routes.KindBatch:
		return r.h.Submit(r.w, r.in, &r.call, r.route, r.body)
	case routes.KindStream:
		return r.serveStream(ctx)
	default:
		return r.serveWhole(ctx)
	}
}

func (r *request) log(outcome Outcome) {
	r.h.Log.Info("request", "request", r.call.ID, "route", r.route.Name,
		"config", r.version, "replicas", r.tried, "sends", r.sends, "runs", r.runs, "busy", r.busy, "slowdown", r.slowdown,
		"outcome", string(outcome), "placed_ms", r.waited.Milliseconds(), "first_ms", r.firstOut.Milliseconds(),
		"ms", time.Since(r.arrived).Milliseconds())
}

// Path returns the path of a request as the caller sent it, without the query.
func Path(in *http.Request) string {
	path, _, _ := strings.Cut(in.RequestURI, "?")
	return path
}

// HostName returns the host without its port.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
