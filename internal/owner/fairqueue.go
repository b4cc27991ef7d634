package owner

import "gentiantide.example/gentiantide/internal/core"

// fairQueue implements start-time fair queueing between organisations. Virtual
// times are in seconds of service divided by weight.
type fairQueue struct {
	virtualTime float64
	finishTimes map[core.Org]float64
}

// startTime returns the virtual start time of the organisation's next work. An
// organisation that was idle starts at the current virtual time, so it gains no
// credit while idle.
func (q *fairQueue) startTime(org core.Org) float64 { return max(q.virtualTime, q.finishTimes[org]) }

// charge adds granted work to the organisation's virtual time. minStart is the
// smallest virtual time of the organisations that compete for the slot.
func (q *fairQueue) charge(org core.Org, cost float64, weight int, minStart float64) {
	start := q.startTime(org)
	q.virtualTime = max(q.virtualTime, min(start, minStart))
	q.finishTimes[org] = start + cost/float64(max(1, weight))
}

// prune removes organisations that are not ahead of the current virtual time;
// they start at that time in any case.
func (q *fairQueue) prune() {
	for org, t := range q.finishTimes {
		if t <= q.virtualTime {
			delete(q.finishTimes, org)
		}
	}
}
