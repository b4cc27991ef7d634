package engine

import (
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// loadGrain is the shortest time between two entries of the load log.
const loadGrain = 5 * time.Millisecond

// Report is the load report: a backend.Load and the duration of the last step.
type Report struct {
	backend.Load
	StepSeconds float64
}

// loadLog keeps the reports of the last lag, oldest first.
type loadLog struct {
	lag     time.Duration
	reports []Report
}

// note records the present report; reports within loadGrain replace each other.
func (l *loadLog) note(r Report) {
	if n := len(l.reports); n > 1 && r.At.Sub(l.reports[n-2].At) < loadGrain {
		l.reports[n-1] = r
	} else {
		l.reports = append(l.reports, r)
	}
	l.trim(r.At)
}

// trim drops reports older than the one that a reader sees now.
func (l *loadLog) trim(now time.Time) {
	seen := 0
	for i, r := range l.reports {
		if now.Sub(r.At) >= l.lag {
			seen = i
		}
	}
	if seen > 0 {
		l.reports = append(l.reports[:0], l.reports[seen:]...)
	}
}

// visible returns the report as it was lag ago.
func (l *loadLog) visible(now time.Time) Report {
	l.trim(now)
	return l.reports[0]
}
