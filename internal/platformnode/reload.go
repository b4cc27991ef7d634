package platformnode

import (
	"context"
	"os"
	"syscall"

	"gentiantide.example/gentiantide/platform"
)

// waitForStop returns when a stop signal arrives. SIGHUP reloads the settings file, also
// while the node stops, until ctx ends.
func (n *Node) waitForStop(ctx context.Context, signals <-chan os.Signal) {
	for s := range signals {
		if s != syscall.SIGHUP {
			n.log.Info("stop", "signal", s.String())
			go n.reloadWhileStopping(ctx, signals)
			return
		}
		n.reload()
	}
}

func (n *Node) reloadWhileStopping(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.reload()
			}
		}
	}
}

// reload reads the settings file and applies what may change while the process runs. What
// may not is named. A file with an error changes nothing.
func (n *Node) reload() {
	fresh, err := platform.LoadSettings(n.SettingsFile)
	if err != nil {
		n.log.Error("settings file cannot be loaded; nothing of it is applied", "error", err)
		return
	}
	applied, waiting := 0, 0
	for _, change := range n.settings.Changes(fresh) {
		if change.Fixed != "" {
			waiting++
			n.log.Warn("changed setting is not applied before a restart", "setting", change.Name, "reason", change.Fixed)
		}
	}
	if address := n.store.Address(); address != fresh.Store {
		applied++
		n.log.Info("changed setting is applied", "setting", "platform.address", "store", fresh.Store, "former", address)
		n.store.Move(fresh.Store)
	}
	if former := n.stopGrace.Swap(int64(fresh.StopGrace)); former != int64(fresh.StopGrace) {
		applied++
		n.log.Info("changed setting is applied", "setting", "contract-params.grace-s", "grace", fresh.StopGrace)
	}
	n.nodes.SetSettings(fresh.Version, waiting > 0)
	n.log.Info("settings file read", "version", fresh.Version, "applied", applied, "waiting", waiting)
}
