package callers

import (
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi"
	"gentiantide.example/gentiantide/internal/settings"
)

// exchange is a request of a caller together with the state of its response.
type exchange struct {
	api        *API
	w          http.ResponseWriter
	r          *http.Request
	id         string
	arrived    time.Time
	snapshot   *settings.Snapshot
	org        core.Org
	options    options
	deployment *settings.Deployment
	attempts   int
}

// newExchange authenticates the caller and parses the options. If it refuses the
// request, it writes the refusal and returns nil.
func (a *API) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{api: a, w: w, r: r, id: httpapi.RequestID(r.Context()), arrived: time.Now(), snapshot: a.cfg.Settings()}
	if x.id == "" {
		x.id = a.cfg.NewID()
	}
	a.cfg.Scope.Counter("requests").Inc(1)
	var refusal *core.Refusal
	if x.org, refusal = httpapi.Authenticate(r, x.snapshot); refusal == nil {
		x.options, refusal = parseOptions(r.Header)
	}
	if refusal != nil {
		x.refuse(refusal)
		return nil
	}
	return x
}

func (x *exchange) deadline() time.Time {
	return x.options.deadline(x.arrived, x.deployment.OnlineDeadline)
}

// writeGrace is how long after its deadline a request may still write the end of
// its response. Without a limit, a caller that stops reading would block the write.
const writeGrace = 5 * time.Second

func (x *exchange) setWriteDeadline() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline().Add(writeGrace))
}

// refuse records a refusal and writes it as the response.
func (x *exchange) refuse(refusal *core.Refusal) {
	x.recordRefusal(refusal)
	httpapi.WriteRefusal(x.w, refusal)
}

// recordRefusal counts and logs a refused or failed request.
func (x *exchange) recordRefusal(refusal *core.Refusal) {
	x.api.cfg.Scope.Tagged(map[string]string{"code": string(refusal.Code)}).Counter("refusals").Inc(1)
	deploymentID := core.DeploymentID("")
	if x.deployment != nil {
		deploymentID = x.deployment.ID
	}
	x.api.cfg.Logger.Info("request refused",
		"request", x.id, "org", x.org, "method", x.r.Method, "path", x.r.URL.Path, "deployment", deploymentID,
		"code", refusal.Code, "execution", refusal.Execution, "attempts", x.attempts,
		"elapsed", time.Since(x.arrived), "reason", refusal.Message)
}
