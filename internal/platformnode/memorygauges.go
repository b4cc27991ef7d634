package platformnode

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/memaccount"
)

// shortageLogInterval is the least time between log lines about a shortage of memory.
const shortageLogInterval = time.Second

// memoryGauges report what is held for callers, and log that it has run short.
type memoryGauges struct {
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

func newMemoryGauges(account *memaccount.Account, scope tally.Scope, log *slog.Logger) *memoryGauges {
	return &memoryGauges{
		account: account, log: log,
		held: scope.Gauge("caller_memory_held_bytes"), limit: scope.Gauge("caller_memory_limit_bytes"),
		incomplete: scope.Gauge("caller_bodies_incomplete"), ended: scope.Counter("caller_bodies_ended"),
	}
}

func (g *memoryGauges) update(now time.Time) {
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
