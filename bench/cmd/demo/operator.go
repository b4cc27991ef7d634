package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/bench/harness"
)

// inForceBound is the users' bound for a change to be in force everywhere.
const inForceBound = 5 * time.Second

// settingsNode is the answer to a read of one node of the settings tree.
type settingsNode struct {
	Version   uint64 `json:"version"`
	Effective []struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
		From  string          `json:"from"`
	} `json:"effective"`
}

// value returns an effective value as JSON text.
func (s *settingsNode) value(key string) string {
	for _, e := range s.Effective {
		if e.Key == key {
			return string(e.Value)
		}
	}
	return ""
}

func (d *demo) readSettings(n *harness.Node, path string) (settingsNode, error) {
	var s settingsNode
	err := d.fleet.GetJSON(context.Background(),
		n.OperatorsURL()+"/admin/v1/settings?explain=true&path="+url.QueryEscape(path), &s)
	return s, err
}

// change sets values at a path through a node.
func (d *demo) change(n *harness.Node, path string, set map[string]any) error {
	base, err := d.readSettings(n, path)
	if err != nil {
		base.Version = 0 // a path that does not exist yet
	}
	_, err = d.fleet.Do(context.Background(), http.MethodPost, n.OperatorsURL()+"/admin/v1/settings",
		map[string]any{"path": path, "base_version": base.Version, "set": set, "author": "demo"})
	return errors.Wrapf(err, "change settings at %s", path)
}

// awaitValue waits until a node answers with a value, and returns how long it
// took.
func (d *demo) awaitValue(n *harness.Node, path, key, want string, bound time.Duration) (time.Duration, error) {
	start := time.Now()
	for time.Since(start) < bound {
		if s, err := d.readSettings(n, path); err == nil && s.value(key) == want {
			return time.Since(start), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start), errors.Errorf("node %s does not have %s=%s at %s within %s", n.ID, key, want, path, bound)
}

// deploy creates the deployments of the demo.
func (d *demo) deploy() error {
	n := d.fleet.Nodes[0]
	if err := d.change(n, "/services", map[string]any{"retry.max_attempts": 4}); err != nil {
		return err
	}
	if err := d.change(n, "/services/"+engineDeployment, map[string]any{"kind": "model", "model": modelName}); err != nil {
		return err
	}
	return d.change(n, "/services/"+plainDeployment, map[string]any{
		"kind": "plain", "route": "/permit-desk/", "route.non_idempotent": []string{"POST /permit-desk/issue"},
	})
}

// drain takes a backend server out of service.
func (d *demo) drain(n *harness.Node, backend string) error {
	_, err := d.fleet.Do(context.Background(), http.MethodPost, n.OperatorsURL()+"/admin/v1/drain",
		map[string]any{"backend": backend, "drain": true, "author": "demo"})
	return errors.Wrapf(err, "drain %s", backend)
}
