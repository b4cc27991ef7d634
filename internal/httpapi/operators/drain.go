package operators

import (
	"context"
	"encoding/json"
	"net/http"

	"gentiantide.example/gentiantide/internal/config/strictjson"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/settings"
)

// drainTries bounds the attempts of a drain when others edit the same node.
const drainTries = 3

// drainRequest is the body of POST /admin/v1/drain.
type drainRequest struct {
	Backend string
	Drain   bool
	Author  string
}

// drainAnswer is the answer: the version of the settings that have the state
// that was asked for, and whether it took a change.
type drainAnswer struct {
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
	request.Author = authorOf(request.Author, r)
	answer, refusal := s.applyDrain(r.Context(), request)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// applyDrain sets the wanted state whatever the node's version is: unlike
// other changes a drain is not based on what the operator read.
func (s *Server) applyDrain(ctx context.Context, request drainRequest) (drainAnswer, *core.Refusal) {
	path := settings.FleetPath + "/" + request.Backend
	var refusal *core.Refusal
	for range drainTries {
		var node settings.Explanation
		if node, refusal = s.Editor.Explain(ctx, path); refusal != nil {
			return drainAnswer{}, refusal
		}
		drained := string(node.Values["drain"]) == "true"
		if drained == request.Drain && node.Confirmed {
			return drainAnswer{Version: node.SettingsVersion}, nil
		}
		var result settings.Result
		result, refusal = s.Editor.Apply(ctx, drainChange(path, node, request))
		if refusal == nil {
			return drainAnswer{Version: result.Version, Changed: true}, nil
		}
		if refusal.Code != core.CodeConflict {
			break
		}
	}
	return drainAnswer{}, refusal
}

// drainChange sets the key, or deletes the node when the drain ends, so that
// backend servers that are long gone leave no nodes behind.
func drainChange(path string, node settings.Explanation, request drainRequest) settings.Change {
	change := settings.Change{Path: path, BaseVersion: node.Version, Author: request.Author}
	if request.Drain {
		change.Set = settings.Values{"drain": json.RawMessage("true")}
	} else {
		change.Delete = true
	}
	return change
}

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
