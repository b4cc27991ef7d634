package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/bench/harness"
)

// propagationLimit is the required time within which a settings change is in force
// on every node.
const propagationLimit = 5 * time.Second

// commandTimeout is the time after which a command that hangs is killed.
const commandTimeout = 15 * time.Second

// runCLI runs the operators' command line (gentiantide) against a node.
func (d *demo) runCLI(n *harness.Node, args ...string) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(d.bin, "gentiantide"), args...)
	command.Env = append(os.Environ(), "GENTIANTIDE_OPERATORS="+n.OperatorsURL(), "GENTIANTIDE_CALLERS="+n.URL())
	out, err := command.CombinedOutput()
	return errors.Wrapf(err, "gentiantide %s: %s", strings.Join(args, " "), out)
}

// awaitSetting waits until a node reports the value of a setting and returns how
// long it took.
func (d *demo) awaitSetting(n *harness.Node, path, key, want string, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	err := d.fleet.AwaitSetting(n, path, key, want, timeout)
	return time.Since(start), err
}

// settingsDocument holds the settings of the deployments of the demo.
const settingsDocument = `{
  // All deployments
  "/services": {"retry.max_attempts": 4},
  "/services/verse-models": {"kind": "model", "model": "verse-1"},
  "/services/permit-desk": {
    "kind": "plain",
    "route": "/permit-desk/",
    "route.non_idempotent": ["POST /permit-desk/issue"],
  },
}
`

// deploy creates the deployments by applying settingsDocument.
func (d *demo) deploy() error {
	file := filepath.Join(d.dir, "settings.hujson")
	if err := os.WriteFile(file, []byte(settingsDocument), 0o644); err != nil {
		return errors.Wrap(err, "write settings document")
	}
	return d.runCLI(d.fleet.Nodes[0], "settings", "apply", file)
}

// drain drains a backend server through the command line.
func (d *demo) drain(n *harness.Node, backend string) error {
	return d.runCLI(n, "drain", backend)
}
