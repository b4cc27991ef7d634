package platformnode

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/jobs"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// defaultJobLimit is the number of jobs on a page if the request sets no limit.
	// maxJobLimit is the largest limit, as each job costs one read of the store.
	defaultJobLimit = 20
	maxJobLimit     = 100
	// jobCallTimeout bounds a call about jobs.
	jobCallTimeout = 5 * time.Second
)

// operatorsJob is a job as encoded for the operators' command line.
type operatorsJob struct {
	ID       string `json:"id"`
	Status   string `json:"status"`
	Endpoint string `json:"endpoint"`
	// OutputFileID is set once the job has results.
	OutputFileID string         `json:"output_file_id,omitempty"`
	Counts       operatorsCount `json:"request_counts"`
	Owner        string         `json:"owner"`
	DueInMS      int64          `json:"due_in_ms"`
}

// operatorsCount is the number of a job's items, in total and by final state.
type operatorsCount struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// operatorsJobPage is one page of jobs.
type operatorsJobPage struct {
	Data    []operatorsJob `json:"data"`
	HasMore bool           `json:"has_more"`
}

// jobStatusNames maps job states to the statuses shown to operators.
var jobStatusNames = map[jobs.State]string{
	jobs.StateOpen: "in_progress", jobs.StateDone: "completed", jobs.StateCancelled: "cancelled",
}

// registerOperators adds the handlers of the operators' command line.
func (n *Node) registerOperators(mux *http.ServeMux) {
	server := &operators.Server{
		Fleet: func() any { return n.fleetView(time.Now()) }, Dump: func() any { return n.stateDump() },
		Quarantine: operatorsQuarantine{n.quarantine}, Organisations: n.organisationsView, Configuration: n.configurationView, Metrics: n.metrics, Version: core.Version,
	}
	server.Register(mux)
	mux.HandleFunc("GET /v1/batches", n.listJobs)
	mux.HandleFunc("GET /v1/batches/{job}", n.showJob)
	mux.HandleFunc("POST /v1/batches/{job}/cancel", n.cancelJob)
	mux.HandleFunc("GET /v1/files/{job}/content", n.jobResults)
}

// fleetView returns the nodes and backend servers as seen by this node.
func (n *Node) fleetView(now time.Time) operators.Fleet {
	view := n.nodes.View()
	out := operators.Fleet{SeenBy: string(n.settings.Node), Nodes: []operators.FleetNode{}, Backends: []operators.FleetBackend{}}
	for _, record := range view.Alive {
		out.Nodes = append(out.Nodes, operators.FleetNode{
			ID: string(record.ID), DataCentre: string(record.DataCentre), Address: record.Address, State: "live",
			SettingsVersion: record.Settings, Reason: settingsReason(&record),
		})
	}
	self := n.nodes.Self()
	if _, leased := view.Alive[self.Owner()]; !leased {
		out.Nodes = append(out.Nodes, operators.FleetNode{
			ID: string(self.ID), DataCentre: string(self.DataCentre), Address: self.Address, State: "live", Reason: "it has no lease yet", SettingsVersion: self.Settings,
		})
	}
	reason := "its lease ran out"
	if view.At.IsZero() {
		reason = "known from a peer; the store has not answered yet"
	}
	for _, record := range view.Lapsed {
		out.Nodes = append(out.Nodes, operators.FleetNode{
			ID: string(record.ID), DataCentre: string(record.DataCentre), Address: record.Address, State: "unknown", Reason: reason, SettingsVersion: record.Settings,
		})
	}
	for _, r := range n.registry.All() {
		info := r.Info()
		online, batch := r.TotalLoad(now)
		state, reason := "live", ""
		switch {
		case r.Leaving():
			state = "leaving"
		case r.Ejected(now):
			state, reason = "ejected", "recent failures at this node"
		default:
			reason = limitReason(r)
		}
		out.Backends = append(out.Backends, operators.FleetBackend{
			ID: string(info.ID), Deployment: string(info.Service), DataCentre: string(info.DataCentre), Address: info.Address,
			State: state, Reason: reason, Drain: r.Leaving(), Slots: info.Slots,
			InFlight: min(online+batch, info.Slots), Batch: batch, Queued: max(0, online+batch-info.Slots),
		})
	}
	return out
}

// settingsReason tells whether something of a node's settings waits for a restart.
func settingsReason(record *nodes.Record) string {
	if record.SettingsWait {
		return "some of its settings wait for a restart"
	}
	return ""
}

// limitReason tells how many requests a replica takes, if it has named a limit.
func limitReason(r *replica.Replica) string {
	limit, ok := r.Limit()
	if !ok || !limit.Named {
		return ""
	}
	return "takes " + strconv.FormatFloat(limit.PerSecond, 'g', 3, 64) + " requests a second"
}

func (n *Node) listJobs(w http.ResponseWriter, in *http.Request) {
	limit := defaultJobLimit
	if asked, err := strconv.Atoi(in.URL.Query().Get("limit")); err == nil && asked > 0 {
		limit = min(asked, maxJobLimit)
	}
	found, more := n.jobs.Reader.Recent(limit, in.URL.Query().Get("after"))
	page := operatorsJobPage{Data: []operatorsJob{}, HasMore: more}
	ctx, cancel := context.WithTimeout(in.Context(), jobCallTimeout)
	defer cancel()
	for i := range found {
		progress, err := n.jobs.Reader.Progress(ctx, found[i].ID)
		if errors.Is(err, infra.ErrNotFound) {
			continue // deleted since it was listed
		}
		if err != nil {
			n.writeOperatorError(w, err)
			return
		}
		page.Data = append(page.Data, n.jobView(&progress))
	}
	n.writeJSON(w, page)
}

func (n *Node) showJob(w http.ResponseWriter, in *http.Request) {
	ctx, cancel := context.WithTimeout(in.Context(), jobCallTimeout)
	defer cancel()
	progress, err := n.jobs.Reader.Progress(ctx, in.PathValue("job"))
	if err != nil {
		n.writeOperatorError(w, err)
		return
	}
	n.writeJSON(w, n.jobView(&progress))
}

func (n *Node) cancelJob(w http.ResponseWriter, in *http.Request) {
	ctx, cancel := context.WithTimeout(in.Context(), jobCallTimeout)
	defer cancel()
	if err := n.jobs.Reader.Cancel(ctx, in.PathValue("job")); err != nil {
		n.writeOperatorError(w, err)
		return
	}
	n.log.Info("job cancelled by an operator", "job", in.PathValue("job"))
	n.showJob(w, in)
}

// jobResults writes the results of a job as JSON lines.
func (n *Node) jobResults(w http.ResponseWriter, in *http.Request) {
	ctx, cancel := context.WithTimeout(in.Context(), jobCallTimeout)
	defer cancel()
	var all []jobs.Result
	for {
		page, err := n.jobs.Reader.Results(ctx, in.PathValue("job"), len(all))
		if err != nil {
			n.writeOperatorError(w, err)
			return
		}
		all = append(all, page.Results...)
		if len(page.Results) == 0 || len(all) >= page.Total {
			break
		}
	}
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	for i := range all {
		line := struct {
			ID    string `json:"id"`
			State string `json:"state"`
			Text  string `json:"text,omitempty"`
		}{all[i].Item, string(all[i].State), all[i].Text}
		if err := encoder.Encode(line); err != nil {
			n.log.Info("sending job results to an operator failed", "job", in.PathValue("job"), "error", err)
			return
		}
	}
}

func (n *Node) jobView(p *jobs.Progress) operatorsJob {
	clock, _ := n.store.Clock()
	out := operatorsJob{
		ID: p.ID, Status: jobStatusNames[p.State], Endpoint: p.Path, Owner: p.Owner, DueInMS: (p.Due - clock).Milliseconds(),
		Counts: operatorsCount{Total: p.Total, Completed: p.Succeeded, Failed: p.DeadLetters},
	}
	if p.Succeeded+p.DeadLetters > 0 {
		out.OutputFileID = p.ID
	}
	return out
}

// writeOperatorError answers a failed call about jobs with an error.
func (n *Node) writeOperatorError(w http.ResponseWriter, err error) {
	status, code := http.StatusServiceUnavailable, "store_unavailable"
	if errors.Is(err, infra.ErrNotFound) {
		status, code = http.StatusNotFound, "not_found"
	}
	n.log.Info("operator request failed", "error", err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := map[string]any{"error": map[string]any{"code": code, "message": err.Error(), "not_run": true}}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.log.Info("sending an error to an operator failed", "error", err)
	}
}

func (n *Node) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.log.Info("sending a response to an operator failed", "error", err)
	}
}
