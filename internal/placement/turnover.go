package placement

import "time"

const (
	// turnoverWindow is the time over which the rate of ending requests is
	// measured.
	turnoverWindow = 500 * time.Millisecond
	// turnoverKeep is the weight of earlier windows.
	turnoverKeep = 0.7
	// defaultService is the assumed time of a request until some have ended: a
	// stream takes about 0.8 s.
	defaultService = 800 * time.Millisecond
)

// turnover measures how long a request keeps its slot, by Little's law from the
// number of slots in use and the rate of requests that end.
type turnover struct {
	granted int // since the last look
	busy    int // at the last look
	at      time.Time
	service float64 // seconds; 0 until it is known
}

// look ends a window once it is long enough.
func (t *turnover) look(busy int, now time.Time) {
	elapsed := now.Sub(t.at)
	if elapsed < turnoverWindow {
		return
	}
	ended := t.granted - (busy - t.busy)
	if !t.at.IsZero() && ended > 0 && elapsed < 2*turnoverWindow {
		service := float64(busy+t.busy) / 2 * elapsed.Seconds() / float64(ended)
		if t.service == 0 {
			t.service = service
		}
		t.service = turnoverKeep*t.service + (1-turnoverKeep)*service
	}
	t.granted, t.busy, t.at = 0, busy, now
}

// wait is the time in which so many slots become free.
func (t *turnover) wait(requests, slots int) time.Duration {
	service := t.service
	if service == 0 {
		service = defaultService.Seconds()
	}
	return time.Duration(float64(requests) * service / float64(max(1, slots)) * float64(time.Second))
}
