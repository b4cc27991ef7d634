package jobs

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// itemStallTimeout is the time without a complete event after which an item's stream is
	// cancelled, so that the item resumes at another replica. Events normally
	// arrive every 30 ms, but an engine under memory pressure may preempt a
	// request and process its prompt again.
	itemStallTimeout = 1500 * time.Millisecond
	// maxItemStallTimeout bounds the stall timeout of an item whose runs were given up
	// before. A replica that has failed silently holds the item for no longer.
	maxItemStallTimeout = 6 * time.Second
)

// itemSilence is what an item's last runs show about its replicas: a sound one may be
// silent for longer than the stall timeout each time the item is sent to it, before its
// first event or after some. The zero value is that of an item whose output goes on.
type itemSilence struct {
	// runs is the number of runs that were given up for silence alone, and events the
	// most that one of them brought before.
	runs   int
	events int
	// tried are the replicas that were silent for the item or did not take it.
	tried map[core.ReplicaID]struct{}
}

// timeout returns the stall timeout of the next run. It doubles with each run that was
// given up, but not for an item that had better be sent elsewhere.
func (s *itemSilence) timeout(elsewhere bool) time.Duration {
	timeout := itemStallTimeout
	if elsewhere {
		return timeout
	}
	for i := 0; i < s.runs && timeout < maxItemStallTimeout; i++ {
		timeout *= 2
	}
	return min(timeout, maxItemStallTimeout)
}

// recordEnd records how a run at a replica ended that has brought some events. stalled is
// set if the stall timeout was the cause.
func (s *itemSilence) recordEnd(id core.ReplicaID, outcome runOutcome, stalled bool, events int) {
	silent := stalled && outcome == outcomeBroken
	if silent {
		s.runs++
		s.events = max(s.events, events)
	}
	if silent || outcome == outcomeNotRun || outcome == outcomeDeclined {
		if s.tried == nil {
			s.tried = make(map[core.ReplicaID]struct{})
		}
		s.tried[id] = struct{}{}
	}
}

// recordProgress records that the present run has brought some events. It reports
// whether the item's output goes on: beyond the place at which runs were given up.
func (s *itemSilence) recordProgress(events int) bool {
	if events <= s.events {
		return false
	}
	*s = itemSilence{}
	return true
}

// hasTried reports whether a replica was silent for the item or did not take it.
func (s *itemSilence) hasTried(id core.ReplicaID) bool {
	_, ok := s.tried[id]
	return ok
}
