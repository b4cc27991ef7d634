package operators

import (
	"context"
	"encoding/json"
	"net/http"

	"gentiantide.example/gentiantide/internal/config/strictjson"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/settings"
)

// maxDrainAttempts bounds the attempts of a drain that conflicts with other
// changes of the same node of the settings tree.
const maxDrainAttempts = 3

// drainRequest is the body of POST /admin/v1/drain.
type drainRequest struct {
	Backend string
	Drain   bool
	Author  string
}

// drainResponse is the response to a drain request: the version of the settings
// that have the requested state, and whether the request changed them.
type drainResponse struct {
	Version uint64 `json:"version"`
	Changed bool   `json:"changed"`
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	data, ok := readBody(w, r)
	if !ok {
		return
	}
	request, err := parseDrain(data)
	if err != nil {
		writeProblems(w, err)
		return
	}
	request.Author = authorOrAddress(request.Author, r)
	response, refusal := s.applyDrain(r.Context(), request)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// applyDrain sets the requested drain state whatever version the node has: unlike
// other changes, a drain is not based on a version that the operator read.
func (s *Server) applyDrain(ctx context.Context, request drainRequest) (drainResponse, *core.Refusal) {
	path := settings.FleetPath + "/" + request.Backend
	var refusal *core.Refusal
	for range maxDrainAttempts {
		var node settings.Explanation
		if node, refusal = s.Editor.Explain(ctx, path); refusal != nil {
			return drainResponse{}, refusal
		}
		drained := string(node.Values["drain"]) == "true"
		if drained == request.Drain && node.Confirmed {
			return drainResponse{Version: node.SettingsVersion}, nil
		}
		var result settings.Result
		result, refusal = s.Editor.Apply(ctx, drainChange(path, node, request))
		if refusal == nil {
			return drainResponse{Version: result.Version, Changed: true}, nil
		}
		if refusal.Code != core.CodeConflict {
			break
		}
	}
	return drainResponse{}, refusal
}

// drainChange returns the change that sets the key or, to end the drain, deletes
// the node. Deleting it keeps nodes of removed backend servers from accumulating
// in the settings tree.
func drainChange(path string, node settings.Explanation, request drainRequest) settings.Change {
	change := settings.Change{Path: path, BaseVersion: node.Version, Author: request.Author}
	if request.Drain {
		change.Set = settings.Values{"drain": json.RawMessage("true")}
	} else {
		change.Delete = true
	}
	return change
}

// parseDrain parses the body of a drain request. "drain" is true if absent.
func parseDrain(data []byte) (drainRequest, error) {
	root, problems := strictjson.Parse(bodyName, data)
	if root == nil {
		return drainRequest{}, problems
	}
	out := drainRequest{Drain: true}
	if root.Kind != strictjson.Object {
		return out, append(problems, root.Problem("", "wrong type: "+string(root.Kind), "an object"))
	}
	for _, m := range root.Members {
		switch {
		case m.Name == "backend" && m.Value.Kind == strictjson.String:
			out.Backend = m.Value.Text
		case m.Name == "author" && m.Value.Kind == strictjson.String:
			out.Author = m.Value.Text
		case m.Name == "drain" && m.Value.Kind == strictjson.Bool:
			out.Drain = m.Value.Text == "true"
		case m.Name == "backend" || m.Name == "author" || m.Name == "drain":
			problems = append(problems, m.Value.Problem(m.Name, "wrong type: "+string(m.Value.Kind), "backend and author as strings, drain as true or false"))
		default:
			problems = append(problems, strictjson.UnknownKey(bodyName, "", m, []string{"backend", "drain", "author"}))
		}
	}
	if kind, err := settings.PathKind(settings.FleetPath + "/" + out.Backend); err != nil || kind != settings.NodeFleet {
		problems = append(problems, root.Problem("backend", "value is not the name of a backend server", "its id in the fleet list"))
	}
	return out, problems.Err()
}
