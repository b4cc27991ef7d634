package quota

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// ledgerTime is how long a ledger is kept that no node has asked for.
const ledgerTime = 30 * time.Second

// ownedLedger is a ledger that this node keeps.
type ownedLedger struct {
	org core.Org

	mu     sync.Mutex
	ledger *Ledger
	// promised is the number of refused requests whose turn has not come yet.
	promised float64
	noted    time.Time
	askedAt  time.Time
	// pull is the call to other owners in progress, and shortAt when the last one that
	// did not bring all that was missing has ended.
	pull    chan struct{}
	shortAt time.Time
	// missedAt is when the owner of another data centre last didn't answer.
	missedAt time.Time
	refused  int64
}

// promise counts refused requests and returns the time until the last of them gets its
// turn.
func (o *ownedLedger) promise(n int, now time.Time) time.Duration {
	rate := max(rounding, o.ledger.right.perSecond(o.ledger.limit))
	o.promised = max(0, o.promised-now.Sub(o.noted).Seconds()*rate) + float64(n)
	o.noted = now
	o.promised = min(o.promised, rate*window.Seconds())
	o.refused += int64(n)
	return o.ledger.Wait(o.promised, now)
}

// ledger returns the ledger of an organisation, which is created if there is none.
func (s *Service) ledger(org core.Org, limit Limit, now time.Time) *ownedLedger {
	right := s.right(org, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.ledgers[org]
	if o == nil {
		o = &ownedLedger{org: org, ledger: NewLedger(limit, right, now), askedAt: now, noted: now}
		s.ledgers[org] = o
	}
	return o
}

// set applies the limit and the right that hold now.
func (s *Service) set(o *ownedLedger, limit Limit, now time.Time) {
	right := s.right(o.org, now)
	right.Missed = !o.missedAt.IsZero() && now.Sub(o.missedAt) < missedTime
	if o.ledger.limit != limit || o.ledger.right != right {
		o.ledger.Set(limit, right, now)
	}
}

// right returns which part of an organisation's limit this node may lease.
func (s *Service) right(org core.Org, now time.Time) Right {
	c := s.candidates()
	dataCentres := c.dataCentresKnown
	owners := c.owners(org, s.Self.DataCentre)
	if len(owners) == 1 && owners[0] == s.Messenger.Self() {
		return dataCentreRight(dataCentres) // nobody else takes it
	}
	if s.peers.lastHeard(now) >= touchTime {
		return loneRight(c.nodes, dataCentres)
	}
	if s.peers.returned(now) {
		return takeoverRight(dataCentres)
	}
	for _, id := range owners {
		if id == s.Messenger.Self() {
			return dataCentreRight(dataCentres)
		}
		if down, ok := s.peers.downFor(id, now); !ok || down < takeoverTime {
			break
		}
	}
	return takeoverRight(dataCentres)
}

// limitFor returns the limit by the configuration of this node. If it doesn't know the
// organisation yet, that is the limit of the node that asked first.
func (s *Service) limitFor(org core.Org, asked Limit) Limit {
	if orgs := s.Organisations(); orgs != nil {
		if known := orgs.ByName(org); known != nil && known.Limited() {
			return limitOf(known)
		}
	}
	s.mu.Lock()
	o := s.ledgers[org]
	s.mu.Unlock()
	if o == nil {
		return asked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.limit
}

// owns reports whether this node keeps any ledger.
func (s *Service) owns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ledgers) > 0
}

// refreshLedgers creates the ledgers of which this node is the first owner, so that they
// fill, and drops those that are not used. Other nodes may know organisations that this
// one does not know yet: a ledger that was dropped would begin anew with each of their asks.
func (s *Service) refreshLedgers(d *duties, now time.Time) {
	s.wake(now)
	if !s.stopping.Load() {
		for name, org := range d.first {
			o := s.ledger(name, limitOf(org), now)
			o.mu.Lock()
			s.set(o, limitOf(org), now)
			o.mu.Unlock()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, o := range s.ledgers {
		o.mu.Lock()
		if d.first[name] == nil && now.Sub(o.askedAt) > ledgerTime {
			delete(s.ledgers, name)
		}
		o.mu.Unlock()
	}
}

// noteTick notes that a round was done.
func (s *Service) noteTick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickedAt = now
}

// wake empties the ledgers if the process was stopped for a while: others have leased
// its share meanwhile.
func (s *Service) wake(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.tickedAt) <= wakeGap {
		return
	}
	s.tickedAt = now
	s.peers.woken(now)
	for _, o := range s.ledgers {
		o.mu.Lock()
		o.ledger.Reset(now)
		o.mu.Unlock()
	}
}
