package relay

import "time"

// stallTimer cancels an attempt that yields no token for interTokenTimeout. It is
// stopped while the sink receives a token, because a slow caller is not a fault of
// the backend server.
type stallTimer struct{ timer *time.Timer }

// newStallTimer returns a stopped timer. The timer never fires if the request must
// not be sent again after a stall.
func (a *attempt) newStallTimer() stallTimer {
	if !a.retryAfterStall {
		return stallTimer{}
	}
	timer := time.AfterFunc(interTokenTimeout, func() { a.cancel(errStalled) })
	timer.Stop()
	return stallTimer{timer}
}

func (s stallTimer) start() {
	if s.timer != nil {
		s.timer.Reset(interTokenTimeout)
	}
}

func (s stallTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
