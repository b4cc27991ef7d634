package operators

import (
	"encoding/json"
	"net/http"

	"gentiantide.example/gentiantide/internal/core"
)

// Quarantine is the node's list of parts of prompts that crash backend servers.
type Quarantine interface {
	List() []QuarantinedPart
	// Lift releases a part on all nodes. It reports false if the part is not
	// quarantined.
	Lift(part string) bool
}

// QuarantineList is the response of GET /admin/v1/quarantine.
type QuarantineList struct {
	Parts []QuarantinedPart `json:"parts"`
}

// QuarantinedPart is one part of prompts.
type QuarantinedPart struct {
	Part string `json:"part"`
	// State is "quarantined", "trial due" or "lifted".
	State string `json:"state"`
	// Round counts the quarantines of the part.
	Round   int `json:"round"`
	Crashes int `json:"crashes"`
	// RemainingMS is the time until a request with the part is let through as a trial.
	RemainingMS int64 `json:"remaining_ms"`
	// By is the node that made the decision.
	By string `json:"by"`
}

// liftRequest is the body of POST /admin/v1/quarantine/lift.
type liftRequest struct {
	Part string `json:"part"`
}

func (s *Server) registerQuarantine(mux *http.ServeMux) {
	if s.Quarantine == nil {
		return
	}
	mux.HandleFunc("GET /admin/v1/quarantine", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, QuarantineList{Parts: s.Quarantine.List()})
	})
	mux.HandleFunc("POST /admin/v1/quarantine/lift", s.liftQuarantine)
}

func (s *Server) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	var request liftRequest
	if err := json.Unmarshal(data, &request); err != nil {
		writeRefusal(w, core.Refuse(core.CodeInvalidRequest, "body is not valid: "+err.Error()))
		return
	}
	if !s.Quarantine.Lift(request.Part) {
		writeRefusal(w, core.Refuse(core.CodeNotFound, "part "+request.Part+" is not quarantined"))
		return
	}
	writeJSON(w, http.StatusOK, QuarantineList{Parts: s.Quarantine.List()})
}
