package placement

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// handleProbe answers a node that wants to know whether this hub is available
// again.
func (h *hub) handleProbe(context.Context, core.NodeID, []byte) ([]byte, error) {
	if h.stopping.Load() {
		return nil, errStopping
	}
	return nil, nil
}

// run calls tick periodically while the hub has groups, until ctx ends.
func (h *hub) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.groupAdded:
		}
		ticker := time.NewTicker(tickInterval)
		for active := true; active; {
			select {
			case <-ctx.Done():
				ticker.Stop()
				return
			case now := <-ticker.C:
				active = h.tick(now)
			}
		}
		ticker.Stop()
	}
}
