package harness

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// settingsPollInterval is the interval between two reads of AwaitSetting.
const settingsPollInterval = 20 * time.Millisecond

// Settings holds the version and the effective values at one path of the settings
// tree.
type Settings struct {
	Version   uint64 `json:"version"`
	Effective []struct {
		Key   string          `json:"key"`
		Value json.RawMessage `json:"value"`
		From  string          `json:"from"`
	} `json:"effective"`
}

// Value returns the effective value of a key as JSON text, or "" if it has none.
func (s *Settings) Value(key string) string {
	for _, e := range s.Effective {
		if e.Key == key {
			return string(e.Value)
		}
	}
	return ""
}

// ReadSettings reads the settings at a path through a node.
func (f *Fleet) ReadSettings(n *Node, path string) (Settings, error) {
	var s Settings
	err := f.GetJSON(context.Background(), n.OperatorsURL()+"/admin/v1/settings?explain=true&path="+url.QueryEscape(path), &s)
	return s, err
}

// ChangeSettings sets values at a path through a node. The path need not exist.
func (f *Fleet) ChangeSettings(n *Node, path string, set map[string]any) error {
	base, err := f.ReadSettings(n, path)
	if err != nil {
		base.Version = 0 // the path does not exist yet
	}
	_, err = f.Do(context.Background(), http.MethodPost, n.OperatorsURL()+"/admin/v1/settings",
		map[string]any{"path": path, "base_version": base.Version, "set": set, "author": "bench"})
	return errors.Wrapf(err, "change settings at %s", path)
}

// AwaitSetting waits until a node reports the effective value want, given as JSON
// text, for a key.
func (f *Fleet) AwaitSetting(n *Node, path, key, want string, timeout time.Duration) error {
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(settingsPollInterval) {
		if s, err := f.ReadSettings(n, path); err == nil && s.Value(key) == want {
			return nil
		}
	}
	return errors.Errorf("node %s does not have %s=%s at %s within %s", n.ID, key, want, path, timeout)
}
