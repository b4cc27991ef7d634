package placement

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/promptcache"
)

const (
	// readRate is the number of prompt tokens that a replica reads in a millisecond. The
	// engines in service read 66 to 168.
	readRate = 100.0
	// fullLoadCost is the time in ms that one would give to place a request at an idle
	// replica rather than at one with all slots in use but one: a replica that slows down
	// or fails takes the requests of all its slots with it. An engine begins its output
	// after 30 ms, whether one or eight requests run there.
	fullLoadCost = 30.0
	// defaultKeptTokens is how many tokens a replica keeps whose memory the configuration
	// does not name.
	defaultKeptTokens = 100_000
	// meanTokensDecay is the weight of earlier requests in the moving average of the
	// tokens that a running request occupies.
	meanTokensDecay = 0.99
	// promptsLogInterval is the least time between log lines about the prompts.
	promptsLogInterval = 5 * time.Second
)

// prompts weighs what replicas keep of the beginning of a prompt against their load.
type prompts struct {
	view *promptcache.View
	// memory is the number of tokens that a replica holds, or 0 if it is unknown.
	memory int
	// meanTokens is how many tokens a running request occupies.
	meanTokens float64
	stats      promptStats
	loggedAt   time.Time
}

// promptStats are counts since the last log line.
type promptStats struct {
	requests int
	// tokens is the length of the prompts, and kept what of it the chosen replicas keep.
	tokens, kept int
	// passedOver counts the requests for which another replica kept more that was too busy,
	// too slow or excluded.
	passedOver int
}

func newPrompts() *prompts { return &prompts{view: promptcache.NewView()} }

// match notes at each opening how much of a request's prompt its replica keeps. It
// returns the largest such number.
func (p *prompts) match(o *openings, parts []promptcache.Part) int {
	most := 0
	for _, r := range o.list {
		r.kept = 0
		if len(parts) > 0 {
			r.kept = p.view.Match(r.process(), parts)
			most = max(most, r.kept)
		}
	}
	return most
}

// sent records that a replica gets a request.
func (p *prompts) sent(r *opening, q *queuedRequest, most int) {
	if len(q.prompt) == 0 {
		return
	}
	if q.tokens > 0 {
		p.meanTokens = meanTokensDecay*p.meanTokens + (1-meanTokensDecay)*float64(q.tokens)
	}
	p.stats.requests++
	p.stats.tokens += promptcache.Tokens(q.prompt)
	p.stats.kept += r.kept
	if r.kept < most {
		p.stats.passedOver++
	}
	p.view.Sent(r.process(), q.prompt, p.capacity(r.slots))
}

// capacity is how many tokens a replica keeps beside the requests that run there.
func (p *prompts) capacity(slots int) int {
	if p.memory == 0 {
		return defaultKeptTokens
	}
	return max(0, p.memory-int(float64(slots)*p.meanTokens))
}

// setReplicas forgets the replicas that are gone.
func (p *prompts) setReplicas(replicas []replicaSlots) {
	known := make(map[core.ReplicaID]bool, len(replicas))
	for _, r := range replicas {
		known[r.id] = true
	}
	p.view.Retain(func(id core.ReplicaID) bool { return known[id] })
}

// takeStats returns the counts since the last log line, if one is due.
func (p *prompts) takeStats(now time.Time) (promptStats, bool) {
	if p.stats.requests == 0 || now.Sub(p.loggedAt) < promptsLogInterval {
		return promptStats{}, false
	}
	stats := p.stats
	p.stats, p.loggedAt = promptStats{}, now
	return stats, true
}

func (r *replicaSlots) process() promptcache.Process {
	return promptcache.Process{Replica: r.id, Started: r.started, Version: r.version}
}

// promptSaving is what a replica saves that keeps the beginning of a prompt, in the unit
// of score: the time to read it, by which the request starts sooner, and by which those
// that run there are held up less.
func (o *opening) promptSaving() float64 {
	if o.kept == 0 {
		return 0
	}
	running := float64(min(o.busy, o.slots))
	return float64(o.kept) / readRate * (o.slowdown + running) / fullLoadCost
}
