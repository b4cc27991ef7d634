package harness

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// settingsPoll is the time between two reads of AwaitSetting.
const settingsPoll = 20 * time.Millisecond

// Settings is the answer to a read of one node of the settings tree.
type Settings struct {
	Version   uint64 `json:"version"`
	Effective []struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
		From  string          `json:"from"`
	} `json:"effective"`
}

// Value returns an effective value as JSON text, or "".
func (s *Settings) Value(key string) string {
	for _, e := range s.Effective {
		if e.Key == key {
			return string(e.Value)
		}
	}
	return ""
}

// ReadSettings reads a path of the settings tree from a node.
func (f *Fleet) ReadSettings(n *Node, path string) (Settings, error) {
	var s Settings
	err := f.GetJSON(context.Background(), n.OperatorsURL()+"/admin/v1/settings?explain=true&path="+url.QueryEscape(path), &s)
	return s, err
}

// ChangeSettings sets values at a path, which need not exist, through a node.
func (f *Fleet) ChangeSettings(n *Node, path string, set map[string]any) error {
	base, err := f.ReadSettings(n, path)
	if err != nil {
		base.Version = 0 // a path that does not exist yet
	}
	_, err = f.Do(context.Background(), http.MethodPost, n.OperatorsURL()+"/admin/v1/settings",
		map[string]any{"path": path, "base_version": base.Version, "set": set, "author": "bench"})
	return errors.Wrapf(err, "change settings at %s", path)
}

// AwaitSetting waits until a node answers with a value, given as JSON text.
func (f *Fleet) AwaitSetting(n *Node, path, key, want string, bound time.Duration) error {
	for start := time.Now(); time.Since(start) < bound; time.Sleep(settingsPoll) {
		if s, err := f.ReadSettings(n, path); err == nil && s.Value(key) == want {
			return nil
		}
	}
	return errors.Errorf("node %s does not have %s=%s at %s within %s", n.ID, key, want, path, bound)
}
