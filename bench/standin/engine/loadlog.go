package engine

import (
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// minReportInterval is the minimum time between two entries of the load log.
const minReportInterval = 5 * time.Millisecond

// LoadReport is a backend.Load with the duration of the last step.
type LoadReport struct {
	backend.Load
	StepSeconds float64
}

// loadLog keeps the load reports that are younger than the lag, and the one that
// readers see now. The oldest comes first.
type loadLog struct {
	lag     time.Duration
	reports []LoadReport
}

// add appends a report. Within minReportInterval it replaces the last one
// instead.
func (l *loadLog) add(r LoadReport) {
	if n := len(l.reports); n > 1 && r.At.Sub(l.reports[n-2].At) < minReportInterval {
		l.reports[n-1] = r
	} else {
		l.reports = append(l.reports, r)
	}
	l.trim(r.At)
}

// trim drops the reports older than the one that readers see now.
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

// visible returns the report that readers see now, which is older by the lag.
func (l *loadLog) visible(now time.Time) LoadReport {
	l.trim(now)
	return l.reports[0]
}
