package quota

import (
	"math"
	"slices"
	"time"
)

// rounding is the error of a sum of fractions of a request.
const rounding = 1e-6

// Ledger is an owner's account of an organisation's limit: a token bucket, and a count of
// what was leased in the sliding window. It is not safe for concurrent use.
type Ledger struct {
	limit Limit
	right Right
	// earlier is what was allowed in a window before, while the window reaches back to it.
	earlier []earlierBound
	// loweredAt is when the limit last fell.
	loweredAt time.Time
	level     float64
	start     time.Time
	at        time.Time
	// net is what was leased and passed on, less what came in and was returned. It covers
	// the window and the leases that were used at its beginning.
	net slots
	// leased is what nodes may still hold, less what came in from other owners. It counts
	// towards the size of the bucket, so that what is leased and returned again and again
	// doesn't add up.
	leased slots
	// received is what came in from other owners. It may be returned to this one.
	received slots
	// demand is what nodes of this owner asked for lately.
	demand slots
}

// earlierBound is what a ledger was allowed in windows that begin before a time.
type earlierBound struct {
	perWindow float64
	until     time.Time
}

// NewLedger returns a ledger that holds next to nothing.
func NewLedger(limit Limit, right Right, now time.Time) *Ledger {
	return &Ledger{
		limit: limit, right: right, level: startLevel, start: now, at: now,
		net: newSlots(window + leaseTime), leased: newSlots(leaseTime), demand: newSlots(leaseTime),
		received: newSlots(window),
	}
}

// advance adds what has become available since the last call. A clock that goes back adds
// nothing.
func (l *Ledger) advance(now time.Time) {
	passed := now.Sub(l.at)
	if passed <= 0 {
		return
	}
	l.at = now
	slot := l.slot(now)
	for _, s := range []*slots{&l.net, &l.leased, &l.received, &l.demand} {
		s.advance(slot)
	}
	l.refill(l.right.perSecond(l.limit)*passed.Seconds(), l.size())
}

// size returns the size of the bucket. What comes in while nodes use their leases and
// refuse requests has room.
func (l *Ledger) size() float64 {
	return l.right.burst(l.limit) + l.right.perSecond(l.limit)*(leaseTime+slotTime+maxRefusal).Seconds()
}

// refill adds to a bucket of a size what fits. Leases that nodes may still hold take up
// room.
func (l *Ledger) refill(n, size float64) float64 {
	added := min(n, max(0, size-l.level-max(0, l.leased.sum)))
	l.level += added
	return added
}

func (l *Ledger) slot(now time.Time) int64 { return int64(now.Sub(l.start) / slotTime) }

// available returns what may be leased now.
func (l *Ledger) available() float64 {
	return max(0, min(l.level, l.perWindow()-l.net.sum))
}

// perWindow returns what may be leased in the window that ends now. It is the most that
// was allowed at any time in it.
func (l *Ledger) perWindow() float64 {
	most := l.right.perWindow(l.limit)
	for _, e := range l.earlier {
		if l.at.Before(e.until) {
			most = max(most, e.perWindow)
		}
	}
	return most
}

// Set applies a limit and a right. What the earlier ones allowed is not held against a
// lower limit; under a higher one the bucket fills at the new rate.
func (l *Ledger) Set(limit Limit, right Right, now time.Time) {
	l.advance(now)
	l.earlier = slices.DeleteFunc(l.earlier, func(e earlierBound) bool { return !l.at.Before(e.until) })
	l.earlier = append(l.earlier, earlierBound{l.right.perWindow(l.limit), l.at.Add(window + leaseTime)})
	if limit.PerSecond < l.limit.PerSecond || limit.Burst < l.limit.Burst {
		l.loweredAt = l.at
	}
	l.limit, l.right = limit, right
	l.level = min(l.level, max(startLevel, right.burst(limit)))
}

// Reset empties the ledger when its owner doesn't know what others have leased meanwhile.
func (l *Ledger) Reset(now time.Time) {
	l.advance(now)
	l.level = min(l.level, startLevel)
}

// Lease grants a node requests: needed ones, and up to advance for those to come. These
// get no more than half of what is left.
func (l *Ledger) Lease(needed, advance int, now time.Time) int {
	l.advance(now)
	l.demand.add(l.demand.newest, float64(needed+advance))
	available := l.available() + rounding
	granted := int(min(float64(needed), available))
	granted += int(min(float64(advance), (available-float64(granted))/2))
	l.leased.add(l.leased.newest, float64(granted))
	l.take(float64(granted))
	return granted
}

func (l *Ledger) take(n float64) {
	l.level -= n
	l.net.add(l.net.newest, n)
}

// Return takes back requests that were leased age ago and not run, and returns how many
// fit. They count as if they hadn't been leased. Under a lower limit than at that time
// they wouldn't have been kept.
func (l *Ledger) Return(n int, age time.Duration, now time.Time) float64 {
	l.advance(now)
	leasedAt := l.at.Add(-max(0, age))
	slot := l.slot(leasedAt)
	if !l.net.add(slot, -float64(n)) || leasedAt.Before(l.loweredAt) {
		return 0
	}
	l.leased.remove(slot, float64(n))
	return l.refill(float64(n), l.size()+l.received.sum)
}

// Pass takes from the ledger, for the owner of another data centre, up to n of what its
// own nodes don't ask for.
func (l *Ledger) Pass(n float64, now time.Time) float64 {
	l.advance(now)
	spare := l.available() - l.demand.sum
	passed := max(0, min(n, spare))
	l.take(passed)
	return passed
}

// Drain takes what is left from the ledger, for the next owner.
func (l *Ledger) Drain(now time.Time) float64 {
	l.advance(now)
	left := l.available()
	l.take(left)
	return left
}

// Receive adds what another owner has passed.
func (l *Ledger) Receive(n float64, now time.Time) {
	l.advance(now)
	l.leased.add(l.leased.newest, -n)
	l.received.add(l.received.newest, n)
	l.take(-n)
}

// Missing returns how much the ledger lacks to lease n requests and what its nodes are
// likely to ask for next.
func (l *Ledger) Missing(n int, now time.Time) float64 {
	l.advance(now)
	return max(0, max(float64(n), l.demand.sum)-l.available())
}

// Wait returns the time until n requests can be leased.
func (l *Ledger) Wait(n float64, now time.Time) time.Duration {
	l.advance(now)
	missing := n - l.available()
	if missing <= 0 {
		return 0
	}
	seconds := missing / max(rounding, l.right.perSecond(l.limit))
	return time.Duration(math.Min(seconds, window.Seconds()) * float64(time.Second))
}

// Use returns how many requests a second were leased in the last window.
func (l *Ledger) Use(now time.Time) float64 {
	l.advance(now)
	return max(0, l.net.sum) / (window + leaseTime).Seconds()
}
