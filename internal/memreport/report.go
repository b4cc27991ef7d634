// Package memreport reports what a process holds for its callers, as metrics and as a log
// line when that runs short.
package memreport

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/memaccount"
)

// interval is the time between updates.
const interval = 100 * time.Millisecond

// shortageLogInterval is the least time between log lines about a shortage of memory.
const shortageLogInterval = time.Second

// Report reports what an account holds, and logs that it has run short.
type Report struct {
	account     *memaccount.Account
	log         *slog.Logger
	held, limit tally.Gauge
	incomplete  tally.Gauge
	ended       tally.Counter
	counted     int64 // of the bodies ended
	// logged is what the last line said, at lastLine.
	logged   memaccount.Stats
	lastLine time.Time
}

// New returns the report of an account.
func New(account *memaccount.Account, scope tally.Scope, log *slog.Logger) *Report {
	return &Report{
		account: account, log: log,
		held: scope.Gauge("caller_memory_held_bytes"), limit: scope.Gauge("caller_memory_limit_bytes"),
		incomplete: scope.Gauge("caller_bodies_incomplete"), ended: scope.Counter("caller_bodies_ended"),
	}
}

// Update sets the metrics, and logs a shortage since the last line.
func (g *Report) Update(now time.Time) {
	stats := g.account.Stats()
	g.held.Update(float64(stats.Used))
	g.limit.Update(float64(g.account.Limit()))
	g.incomplete.Update(float64(stats.Open))
	g.ended.Inc(stats.Ended - g.counted)
	g.counted = stats.Ended
	if stats.Refused == g.logged.Refused && stats.Ended == g.logged.Ended || now.Sub(g.lastLine) < shortageLogInterval {
		return
	}
	g.log.Warn("memory for callers' requests is short", "held", stats.Used, "limit", g.account.Limit(), "incomplete", stats.Open,
		"refused", stats.Refused-g.logged.Refused, "ended", stats.Ended-g.logged.Ended)
	g.logged, g.lastLine = stats, now
}

// Run updates the report until ctx ends.
func (g *Report) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.Update(now)
		}
	}
}
