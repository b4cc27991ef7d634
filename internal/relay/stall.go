package relay

import "time"

// stallTimer cancels an attempt that brings no token for stallBetweenTokens.
// It is stopped while the caller takes a token: a slow caller is no fault of
// the backend server.
type stallTimer struct{ timer *time.Timer }

// newStallTimer returns a stopped timer; work that cannot be sent again has
// none.
func (a *attempt) newStallTimer() stallTimer {
	if !a.stallable {
		return stallTimer{}
	}
	timer := time.AfterFunc(stallBetweenTokens, func() { a.cancel(errStalled) })
	timer.Stop()
	return stallTimer{timer}
}

func (s stallTimer) start() {
	if s.timer != nil {
		s.timer.Reset(stallBetweenTokens)
	}
}

func (s stallTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
