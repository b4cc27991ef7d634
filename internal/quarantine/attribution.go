package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// attribution counts the crashes of a tally for the parts that may have caused them.
//
// A request that crashes replicas, and is sent again to others, is in all their crashes
// with each part of its prompt. So the crashes of a request that is blamed by itself
// count once for its parts: only different requests show that a part is the cause. Runs
// that were at these replicas beside it are victims, and no evidence against their
// parts.
type attribution struct {
	tally *crashTally
	// quarantined reports whether a part is quarantined.
	quarantined func(Part) bool
	found       map[Part]*candidate
	// presences are the crashes of parts of prompts that no quarantined request explains.
	presences map[Part]*presence
	// blamed are the requests that are quarantined or in a series of crashes.
	blamed map[Part]bool
}

// presence says in which crashes a part of prompts is, by index, and with which requests.
type presence struct {
	in       []int
	requests map[Part]bool
}

// openCrash is a crash without the parts that are cleared of it.
type openCrash struct {
	at     time.Time
	moment time.Duration
	runs   [][]Part
}

// candidates returns the parts that two crashes or more have in common, in the order
// of their number of crashes.
func (t *crashTally) candidates(quarantined func(Part) bool) []*candidate {
	a := &attribution{
		tally: t, quarantined: quarantined, found: make(map[Part]*candidate), presences: make(map[Part]*presence), blamed: make(map[Part]bool),
	}
	crashes := make([]openCrash, 0, len(t.crashes))
	for _, c := range t.crashes {
		if open := (openCrash{at: c.at, moment: c.moment(), runs: c.suspects()}); !a.explained(open) {
			crashes = append(crashes, open)
		}
	}
	a.countRequests(crashes)
	a.markRivalsOfRequests()
	a.countPromptParts(crashes)
	a.markRivalsOfParts()
	var out []*candidate
	for _, c := range a.found {
		if c.crashes > 1 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(b.depth, a.depth), cmp.Compare(a.part, b.part))
	})
	return out
}

// explained reports whether a quarantined part of prompts was in the crash. No other part
// is held responsible for it.
func (a *attribution) explained(c openCrash) bool {
	return slices.ContainsFunc(c.runs, func(run []Part) bool {
		return slices.ContainsFunc(run, func(p Part) bool { return !p.isRequest() && a.quarantined(p) })
	})
}

func (a *attribution) candidate(part Part, index int) *candidate {
	c := a.found[part]
	if c == nil {
		c = &candidate{part: part, first: index, last: -1, harmless: a.tally.harmless[part], carriers: make(map[Part]bool)}
		a.found[part] = c
	}
	return c
}

// countRequests counts the crashes for requests. Those of a quarantined request count
// for no other one.
func (a *attribution) countRequests(crashes []openCrash) {
	for i, c := range crashes {
		convicted := c.requests(a.quarantined)
		for _, request := range convicted {
			a.blamed[request] = true
		}
		if len(convicted) > 0 {
			continue
		}
		for _, request := range c.requests(nil) {
			found := a.candidate(request, i)
			found.observe(i, 0, c, false)
			found.in = append(found.in, i)
			a.blamed[request] = found.series() >= minCrashes
		}
		for _, run := range c.runs {
			a.notePresence(run, i)
		}
	}
}

func (a *attribution) notePresence(run []Part, index int) {
	request := requestOf(run)
	for _, part := range run {
		if part.isRequest() {
			continue
		}
		p := a.presences[part]
		if p == nil {
			p = &presence{requests: make(map[Part]bool)}
			a.presences[part] = p
		}
		p.requests[request] = true
		if n := len(p.in); n == 0 || p.in[n-1] != index {
			p.in = append(p.in, index)
		}
	}
}

// markRivalsOfRequests marks the requests in a series of crashes that may as well be those
// of another request, or of a part that other requests have: sound requests are sent on
// with a deadly one from replica to replica, while few are left. They differ when one of
// them comes again.
func (a *attribution) markRivalsOfRequests() {
	for request, c := range a.found {
		if !a.blamed[request] {
			continue
		}
		for other, o := range a.found {
			c.rival = c.rival || other != request && mayExplain(o.in, o.harmless, c.in, c.harmless)
		}
		for part, p := range a.presences {
			c.rival = c.rival || !p.requests[request] && mayExplain(p.in, a.tally.harmless[part], c.in, c.harmless)
		}
	}
}

// markRivalsOfParts marks the parts of prompts in crashes that may as well be those of a
// request without them.
func (a *attribution) markRivalsOfParts() {
	for part, p := range a.presences {
		c := a.found[part]
		if c == nil || c.convicted > 0 {
			continue
		}
		for request, o := range a.found {
			c.rival = c.rival || request.isRequest() && !p.requests[request] && mayExplain(o.in, o.harmless, p.in, c.harmless)
		}
	}
}

// mayExplain reports whether a suspect that is in some crashes may have caused all of
// another one's, and is no less suspect by what has proved harmless.
func mayExplain(in []int, harmless bool, others []int, othersHarmless bool) bool {
	return (!harmless || othersHarmless) && !slices.ContainsFunc(others, func(i int) bool { return !slices.Contains(in, i) })
}

// countPromptParts counts the crashes for the parts of prompts.
func (a *attribution) countPromptParts(crashes []openCrash) {
	index, seen := 0, make(map[Part]bool)
	for _, c := range crashes {
		culprits := c.requests(a.decidable)
		again := len(culprits) > 0
		for _, request := range culprits {
			again = again && seen[request]
			seen[request] = true
		}
		if again { // the crashes of a request take one index together
			continue
		}
		for _, run := range c.runs {
			if request := requestOf(run); len(culprits) == 0 || a.decidable(request) {
				a.countRun(run, request, index, c)
			}
		}
		index++
	}
}

// decidable reports whether a request is quarantined, or would be.
func (a *attribution) decidable(request Part) bool {
	c := a.found[request]
	return a.blamed[request] && (c == nil || !c.rival)
}

// countRun counts a crash for the parts of the prompt of one run. A part that has proved
// harmless needs a different request for each crash, too.
func (a *attribution) countRun(run []Part, request Part, index int, c openCrash) {
	for depth, part := range run {
		if part.isRequest() {
			continue
		}
		found := a.candidate(part, index)
		if found.carriers[request] && (found.harmless || a.blamed[request]) {
			continue
		}
		convicted := request != "" && a.quarantined(request)
		if request != "" {
			found.carriers[request] = true
		}
		if convicted {
			found.convicted++
		}
		found.observe(index, depth, c, convicted)
	}
}

// requests returns the requests among the suspects of the crash that match, each once.
// A nil function matches all.
func (c openCrash) requests(match func(Part) bool) []Part {
	var out []Part
	for _, run := range c.runs {
		if request := requestOf(run); request != "" && (match == nil || match(request)) && !slices.Contains(out, request) {
			out = append(out, request)
		}
	}
	return out
}

// requestOf returns the part of a run that identifies its request, or "" for an item.
func requestOf(run []Part) Part {
	for _, part := range run {
		if part.isRequest() {
			return part
		}
	}
	return ""
}
