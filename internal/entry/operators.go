package entry

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
)

const (
	// jobsListed is the number of jobs in a list if the caller names none, and
	// maxJobsListed the most: each costs one read of the store.
	jobsListed    = 20
	maxJobsListed = 100
	// jobTimeout bounds a question about a job.
	jobTimeout = 5 * time.Second
)

// operatorsJob is a job in the form that the command line reads.
type operatorsJob struct {
	ID       string `json:"id"`
	Status   string `json:"status"`
	Endpoint string `json:"endpoint"`
	// OutputFileID is set once there are results to read.
	OutputFileID string         `json:"output_file_id,omitempty"`
	Counts       operatorsCount `json:"request_counts"`
	Owner        string         `json:"owner"`
	DueInMS      int64          `json:"due_in_ms"`
}

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

// jobStates are the names of states for operators.
var jobStates = map[jobs.State]string{
	jobs.StateOpen: "in_progress", jobs.StateDone: "completed", jobs.StateCancelled: "cancelled",
}

// registerOperators adds what the command line asks of a node.
func (n *Node) registerOperators(mux *http.ServeMux) {
	server := &operators.Server{
		Fleet: func() any { return n.fleetView(time.Now()) }, Dump: func() any { return n.dumpView() },
		Metrics: n.metrics, Version: core.Version,
	}
	server.Register(mux)
	mux.HandleFunc("GET /v1/batches", n.listJobs)
	mux.HandleFunc("GET /v1/batches/{job}", n.showJob)
	mux.HandleFunc("POST /v1/batches/{job}/cancel", n.cancelJob)
	mux.HandleFunc("GET /v1/files/{job}/content", n.jobResults)
}

// fleetView is the nodes and backend servers as this node sees them.
func (n *Node) fleetView(now time.Time) operators.Fleet {
	view := n.nodes.View()
	out := operators.Fleet{SeenBy: string(n.settings.Node), Nodes: []operators.FleetNode{}, Backends: []operators.FleetBackend{}}
	for _, record := range view.Alive {
		out.Nodes = append(out.Nodes, operators.FleetNode{
			ID: string(record.ID), DataCentre: string(record.DataCentre), Address: record.Address, State: "live",
		})
	}
	for _, record := range view.Lapsed {
		out.Nodes = append(out.Nodes, operators.FleetNode{
			ID: string(record.ID), DataCentre: string(record.DataCentre), Address: record.Address, State: "unknown", Reason: "its lease ran out",
		})
	}
	for _, r := range n.registry.All() {
		info := r.Info()
		online, batch := r.Load(now)
		state, reason := "live", ""
		switch {
		case info.Leaving:
			state = "leaving"
		case r.Avoided(now):
			state, reason = "ejected", "recent failures at this node"
		}
		out.Backends = append(out.Backends, operators.FleetBackend{
			ID: string(info.ID), Deployment: string(info.Service), DataCentre: string(info.DataCentre), Address: info.Address,
			State: state, Reason: reason, Drain: info.Leaving, Slots: info.Slots,
			InFlight: min(online+batch, info.Slots), Batch: batch, Queued: max(0, online+batch-info.Slots),
		})
	}
	return out
}

func (n *Node) listJobs(w http.ResponseWriter, in *http.Request) {
	limit := jobsListed
	if asked, err := strconv.Atoi(in.URL.Query().Get("limit")); err == nil && asked > 0 {
		limit = min(asked, maxJobsListed)
	}
	found, more := n.jobs.Reader.Recent(limit, in.URL.Query().Get("after"))
	page := operatorsJobPage{Data: []operatorsJob{}, HasMore: more}
	ctx, cancel := context.WithTimeout(in.Context(), jobTimeout)
	defer cancel()
	for i := range found {
		progress, err := n.jobs.Reader.Progress(ctx, found[i].ID)
		if errors.Is(err, infra.ErrNotFound) {
			continue // deleted meanwhile
		}
		if err != nil {
			n.refuseOperator(w, err)
			return
		}
		page.Data = append(page.Data, n.jobView(&progress))
	}
	n.writeJSON(w, page)
}

func (n *Node) showJob(w http.ResponseWriter, in *http.Request) {
	ctx, cancel := context.WithTimeout(in.Context(), jobTimeout)
	defer cancel()
	progress, err := n.jobs.Reader.Progress(ctx, in.PathValue("job"))
	if err != nil {
		n.refuseOperator(w, err)
		return
	}
	n.writeJSON(w, n.jobView(&progress))
}

func (n *Node) cancelJob(w http.ResponseWriter, in *http.Request) {
	ctx, cancel := context.WithTimeout(in.Context(), jobTimeout)
	defer cancel()
	if err := n.jobs.Reader.Cancel(ctx, in.PathValue("job")); err != nil {
		n.refuseOperator(w, err)
		return
	}
	n.log.Info("job ended by an operator", "job", in.PathValue("job"))
	n.showJob(w, in)
}

// jobResults writes the results of a job, one line each.
func (n *Node) jobResults(w http.ResponseWriter, in *http.Request) {
	ctx, cancel := context.WithTimeout(in.Context(), jobTimeout)
	defer cancel()
	var all []jobs.Result
	for {
		page, err := n.jobs.Reader.Results(ctx, in.PathValue("job"), len(all))
		if err != nil {
			n.refuseOperator(w, err)
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
			n.log.Info("results not sent to an operator", "job", in.PathValue("job"), "error", err)
			return
		}
	}
}

func (n *Node) jobView(p *jobs.Progress) operatorsJob {
	clock, _ := n.store.Clock()
	out := operatorsJob{
		ID: p.ID, Status: jobStates[p.State], Endpoint: p.Path, Owner: p.Owner, DueInMS: (p.Due - clock).Milliseconds(),
		Counts: operatorsCount{Total: p.Total, Completed: p.Succeeded, Failed: p.Dead},
	}
	if p.Succeeded+p.Dead > 0 {
		out.OutputFileID = p.ID
	}
	return out
}

// refuseOperator answers a question about a job that failed.
func (n *Node) refuseOperator(w http.ResponseWriter, err error) {
	status, code := http.StatusServiceUnavailable, "store_unavailable"
	if errors.Is(err, infra.ErrNotFound) {
		status, code = http.StatusNotFound, "not_found"
	}
	n.log.Info("question of an operator not answered", "error", err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := map[string]any{"error": map[string]any{"code": code, "message": err.Error(), "not_run": true}}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.log.Info("refusal not sent to an operator", "error", err)
	}
}

func (n *Node) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.log.Info("answer not sent to an operator", "error", err)
	}
}
