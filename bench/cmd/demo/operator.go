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

// inForceBound is the users' bound for a change to be in force everywhere.
const inForceBound = 5 * time.Second

// commandBound ends a command that hangs.
const commandBound = 15 * time.Second

// gentiantide runs the operators' command line against a node.
func (d *demo) gentiantide(n *harness.Node, args ...string) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandBound)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(d.bin, "gentiantide"), args...)
	command.Env = append(os.Environ(), "GENTIANTIDE_OPERATORS="+n.OperatorsURL(), "GENTIANTIDE_CALLERS="+n.URL())
	out, err := command.CombinedOutput()
	return errors.Wrapf(err, "gentiantide %s: %s", strings.Join(args, " "), out)
}

// awaitValue waits until a node answers with a value, and returns how long it
// took.
func (d *demo) awaitValue(n *harness.Node, path, key, want string, bound time.Duration) (time.Duration, error) {
	start := time.Now()
	err := d.fleet.AwaitSetting(n, path, key, want, bound)
	return time.Since(start), err
}

// document is what the operators of the demo apply first.
const document = `{
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

// deploy creates the deployments of the demo.
func (d *demo) deploy() error {
	file := filepath.Join(d.dir, "settings.hujson")
	if err := os.WriteFile(file, []byte(document), 0o644); err != nil {
		return errors.Wrap(err, "write settings document")
	}
	return d.gentiantide(d.fleet.Nodes[0], "settings", "apply", file)
}

// drain takes a backend server out of service.
func (d *demo) drain(n *harness.Node, backend string) error {
	return d.gentiantide(n, "drain", backend)
}
