package forward

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/memaccount"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/promptcache"
	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
	"gentiantide.example/gentiantide/internal/streamversion"
)

const (
	// defaultMaxBody limits a request body if the configuration sets no limit.
	defaultMaxBody = 8 << 20
	// defaultTimeout limits a request if neither the route nor the caller sets a
	// time.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the Retry-After of a node that has not yet read its
	// configuration.
	notReadyRetryAfter = 500 * time.Millisecond
)

// errRouteTimeout is the cancellation cause of a request that exceeded its route's
// timeout or the caller's deadline.
var errRouteTimeout = errors.New("route timeout or caller deadline exceeded")

// Placer chooses replicas for requests.
type Placer interface {
	// Place returns a replica on whose load it has counted the request. If there is
	// none, it returns nil and the time after which a slot may be free, or 0 if that
	// is unknown.
	Place(ctx context.Context, q *placement.Query) (*replica.Replica, time.Duration)
}

// Handler serves callers' requests.
type Handler struct {
	Codec Codec
	// Routes is the current routing configuration. It is nil until the first one
	// was read.
	Routes *atomic.Pointer[routetable.Table]
	// RoutesAge returns how long ago Routes was last known to be current. ok is false
	// if the store has not been read.
	RoutesAge func(now time.Time) (age time.Duration, ok bool)
	// Submit accepts a batch job. The request body was read before the call.
	Submit func(w http.ResponseWriter, in *http.Request, reqInfo *RequestInfo, route *routetable.Route, body []byte) Outcome
	Placer Placer
	// Keys decides by their keys which callers are served.
	Keys *KeyGate
	// Quota admits requests by the limits of their organisations. It is nil if none are
	// limited.
	Quota Quota
	// Versions keeps streams that callers take up at one version of the replicas'
	// software.
	Versions Versions
	// Registered reports whether a replica is registered.
	Registered func(id core.ReplicaID) bool
	// Memory accounts for the bodies of requests. If it is nil, they have no limit
	// together.
	Memory *memaccount.Account
	// Quarantine refuses requests that crash replicas.
	Quarantine *quarantine.Service
	// Stop bounds the requests of a node that stops.
	Stop     *Stop
	Log      *slog.Logger
	Counters *Counters
}

// request is the state of one request in progress.
type request struct {
	h             *Handler
	w             http.ResponseWriter
	in            *http.Request
	reqInfo       RequestInfo
	route         *routetable.Route
	configVersion int64
	// org is the organisation of the caller, or nil. quota is its decision on the
	// request, if it is limited.
	org   *routetable.Organisation
	quota QuotaDecision
	body  []byte
	// held is charged for the body, or nil.
	held *memaccount.Holder
	// parts are the parts of the prompt, and one that identifies the request.
	parts []quarantine.Part
	// prompt are the parts of the prompt if replicas keep some, and tokens what the
	// request occupies at a replica, or 0 if it is unknown.
	prompt []promptcache.Part
	tokens int
	// identity is the same for each attempt of the caller.
	identity uint64
	arrived  time.Time
	// lastProgress is when the caller was sent the last event of a stream, or when the
	// request arrived.
	lastProgress time.Time
	// deadline is when the route's timeout or the caller's own limit is reached,
	// whichever is earlier.
	deadline time.Time

	// service is the only one that may run the request, or empty if the route decides
	// for each attempt.
	service core.DeploymentID
	// recording records the version at which a new stream begins; it is nil for other
	// requests. notRecorded is set after that failed.
	recording   *streamversion.Recording
	notRecorded bool
	// begunAt, if set, is the software of the replica that began the stream. No other
	// one may go on with it.
	begunAt *replica.Software
	tried   []core.ReplicaID
	sends   int // attempts sent to replicas
	runs    int // attempts that may have run
	// busy and slowdown are the estimated load and the slowdown of the last chosen
	// replica.
	busy     float64
	slowdown float64
	// placementTime is the total time spent on choosing replicas.
	placementTime time.Duration
	// expectedWait is the time after which a slot may be free, if place found none.
	expectedWait time.Duration
	// firstByte is the time from arrival to the first byte of the response.
	firstByte  time.Duration
	headerSent bool // the caller was sent the response header
	// stopWatch ends the watch that cancels the request when one of its parts is
	// quarantined.
	stopWatch func()
	// attempt is the last attempt. outcome is set when the request ends; until then
	// it is that of a request whose handler panics.
	attempt *attempt
	// run observes the next attempt.
	run *quarantine.Run
	// takesOver is the next attempt if one has taken the request over from a silent
	// replica.
	takesOver *attempt
	outcome   Outcome
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	arrived := time.Now()
	table := h.Routes.Load()
	reqInfo, err := h.Codec.ParseRequest(in.Header)
	if h.Registered(reqInfo.OnlyReplica) {
		// Another node, or this one, takes this address for that of the replica. If the
		// request were forwarded, it could go round.
		h.Log.Warn("request refused", "request", reqInfo.ID, "reason", "registration of a replica has the address of this node", "replica", reqInfo.OnlyReplica)
		refuse(w, http.StatusMisdirectedRequest, "not_a_replica", 0)
		return
	}
	if table == nil {
		h.Log.Warn("request refused", "request", reqInfo.ID, "reason", "no configuration yet")
		refuse(w, http.StatusServiceUnavailable, "not_ready", notReadyRetryAfter)
		return
	}
	if err != nil {
		h.Log.Warn("request refused", "request", reqInfo.ID, "reason", err)
		refuse(w, http.StatusBadRequest, "bad_request", 0)
		return
	}
	route := table.Match(HostName(in.Host), Path(in))
	if route == nil {
		age, _ := h.RoutesAge(arrived)
		h.Log.Info("request refused", "request", reqInfo.ID, "reason", "no route", "host", in.Host, "path", Path(in), "config", table.Version, "config_age_ms", age.Milliseconds())
		refuse(w, http.StatusNotFound, "no_route", 0)
		return
	}
	org, ok := h.Keys.Admit(w, table, route, &reqInfo, arrived)
	if !ok {
		return
	}
	r := &request{h: h, w: w, in: in, reqInfo: reqInfo, parts: reqInfo.PromptParts, route: route, org: org, configVersion: table.Version, arrived: arrived, lastProgress: arrived, outcome: OutcomeBroken}
	r.deadline = arrived.Add(r.timeout())
	if r.refuseStopping(arrived) || r.refuseQuarantined() || r.refuseOverLimit(arrived) {
		return
	}
	defer r.returnQuota()
	err = r.readBody(table.Limits)
	defer func() { r.held.Close() }()
	if err != nil {
		r.refuseBody(err)
		return
	}
	if r.refuseStopping(time.Now()) { // the body may have taken seconds
		return
	}
	if route.Kind != routetable.KindBatch {
		whole := quarantine.RequestPart(HostName(in.Host), in.Method, in.RequestURI, r.body)
		r.parts, r.identity = append(r.parts, whole), xxhash.Sum64String(string(whole))
		if r.refuseQuarantined() {
			return
		}
	}
	if route.Sticky {
		r.prompt, r.tokens = h.Codec.Prompt(in.Header)
	}
	h.Counters.Begin()
	defer r.finish()
	r.outcome = r.serve()
}

// finish records the outcome of the request. It also runs if the handler panics,
// which aborts the caller's connection, and then releases the replica.
func (r *request) finish() {
	if r.attempt != nil {
		r.attempt.release()
	}
	if r.takesOver != nil {
		r.drop(r.takesOver)
	}
	if r.recording != nil {
		r.recording.End()
	}
	r.h.Counters.End(r.route.Name, r.outcome, time.Since(r.arrived))
	r.logOutcome()
}

// timeout is the time that the request may take at this node.
func (r *request) timeout() time.Duration {
	timeout := defaultTimeout
	if r.route.Timeout > 0 {
		timeout = r.route.Timeout
	}
	if r.reqInfo.CallerTimeout > 0 {
		timeout = min(timeout, r.reqInfo.CallerTimeout)
	}
	return timeout
}

// refuseStopping refuses the request if the node stops and has too little time left for
// it at a time.
func (r *request) refuseStopping(now time.Time) bool {
	if !r.h.Stop.refuses(r.route.Kind, now, r.deadline) {
		return false
	}
	r.h.Log.Info("request refused", "request", r.reqInfo.ID, "reason", "stopping")
	refuse(r.w, http.StatusServiceUnavailable, "stopping", stoppingRetryAfter)
	return true
}

// refuseQuarantined refuses the request if one of its parts is quarantined. The caller
// may return when the quarantine ends. Batch jobs are accepted; their items are held.
func (r *request) refuseQuarantined() bool {
	remaining, blocked := r.h.Quarantine.Blocked(r.parts)
	if !blocked || r.route.Kind == routetable.KindBatch {
		return false
	}
	r.h.Quarantine.CountRefusal()
	r.h.Log.Info("request refused", "request", r.reqInfo.ID, "reason", "quarantined", "parts", r.parts, "remaining_ms", remaining.Milliseconds())
	refuse(r.w, http.StatusServiceUnavailable, "quarantined", remaining)
	return true
}

// serve handles the request by the kind of its route.
func (r *request) serve() Outcome {
	ctx, cancel := context.WithDeadlineCause(r.in.Context(), r.deadline, errRouteTimeout)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	defer r.h.Stop.watch(cancelCause)()
	r.stopWatch = r.h.Quarantine.Watch(r.parts, cancelCause)
	defer r.stopWatch()
	switch r.route.Kind {
	case routetable.KindBatch:
		return r.h.Submit(r.w, r.in, &r.reqInfo, r.route, r.body)
	case routetable.KindStream:
		return r.serveStream(ctx)
	default:
		return r.serveBuffered(ctx)
	}
}

func (r *request) logOutcome() {
	r.h.Log.Info("request", "request", r.reqInfo.ID, "route", r.route.Name,
		"config", r.configVersion, "replicas", r.tried, "sends", r.sends, "runs", r.runs, "busy", r.busy, "slowdown", r.slowdown,
		"outcome", string(r.outcome), "placed_ms", r.placementTime.Milliseconds(), "first_ms", r.firstByte.Milliseconds(),
		"ms", time.Since(r.arrived).Milliseconds())
}

// Path returns the path of a request as the caller sent it, without the query and
// without decoding it.
func Path(in *http.Request) string {
	path, _, _ := strings.Cut(in.RequestURI, "?")
	return path
}

// HostName returns a host without its port.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
