package placement

import (
	"context"
	"time"
)

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
