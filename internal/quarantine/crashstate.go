package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

// maxStoredCrashes bounds the crashes in the store, of which each node reads all with
// each renewal of its lease. The latest ones count.
const maxStoredCrashes = 64

// crashState is the evidence of crashes as shared state of the nodes: it outlives the
// hub to which the crashes were reported, and the nodes that reported them.
type crashState struct{ service *Service }

// Crashes returns the crashes that nodes count as state that they share.
func (s *Service) Crashes() nodes.SharedState { return crashState{s} }

// Reconcile implements nodes.SharedState.
func (st crashState) Reconcile(stored []byte, clock time.Duration) (update []byte, changed bool) {
	s, now := st.service, time.Now()
	s.mergeEvidence(s.decodeStored("crashes", stored), clock, now, true)
	s.contributeProofs()
	s.evaluateAsFirstHub()
	out, news := s.evidence(now, func(c *crash) time.Duration {
		if c.stored {
			return c.clock
		}
		return clock - now.Sub(c.at)
	})
	switch {
	case len(out.Crashes) == 0:
		return nil, len(stored) > 0
	case !news:
		return nil, false
	}
	update, err := msgpack.Marshal(out)
	if err != nil {
		s.Log.Error("crashes cannot be encoded; they are not stored", "error", err)
		return nil, false
	}
	return update, true
}

// decodeStored returns the evidence in a shared state of a name, or none if it cannot be
// decoded.
func (s *Service) decodeStored(name string, stored []byte) *evidence {
	known, err := decodeEvidence(stored)
	if len(stored) > 0 && err != nil {
		s.Log.Error("stored evidence of crashes cannot be decoded; it is replaced", "state", name, "error", err)
	}
	return known
}

// mergeEvidence adds the evidence of other nodes to the tallies. clock is the time now of
// the clock of its times. stored says whether it is in the store.
func (s *Service) mergeEvidence(e *evidence, clock time.Duration, now time.Time, stored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	harmless := e.named(e.Harmless)
	if stored {
		s.forgetStored()
		for _, part := range harmless {
			s.storedHarmless[part] = true
		}
	}
	for i := range e.Crashes {
		from := &e.Crashes[i]
		at := now.Add(min(0, from.At-clock))
		if now.Sub(at) > crashRetention {
			continue
		}
		t := s.tallyOf(from.Service)
		c, news := t.merge(from, at, now)
		for _, run := range from.Runs {
			news = c.addRun(e.named(run)) || news
		}
		for _, part := range e.named(from.Cleared) {
			news = c.clear(part) || news
		}
		for _, part := range harmless {
			if c.hasPart(part) && !t.harmless[part] {
				t.markHarmless(part)
				news = true
			}
		}
		if stored {
			c.stored, c.clock, c.storedFacts = true, from.At, len(from.Runs)+len(from.Cleared)
		}
		t.changed = t.changed || news
	}
	s.forget(now)
}

// forgetStored forgets what is in the store, before what was read from it is merged. The
// caller holds the lock.
func (s *Service) forgetStored() {
	s.storedHarmless = make(map[Part]bool)
	for _, t := range s.tallies {
		for _, c := range t.crashes {
			c.stored = false
		}
	}
}

// merge returns the crash of the tally that another node knows, and whether it is new.
func (t *crashTally) merge(from *crashEvidence, at, now time.Time) (c *crash, isNew bool) {
	found := &crash{replica: from.Replica, started: from.Started, at: at, silent: from.Silent}
	for _, c := range t.crashes {
		if c.of(found, sameStoredTime) {
			return c, false
		}
	}
	t.expire(now)
	t.insert(found)
	return found, true
}

// contributeProofs clears the parts of crashes with which runs at this node have proved
// harmless since.
func (s *Service) contributeProofs() {
	for service, parts := range s.crashParts() {
		times := make([]time.Time, len(parts))
		for i, part := range parts {
			times[i] = s.proofs.get(part)
		}
		s.acquit(service, parts, times)
	}
}

func (s *Service) crashParts() map[core.DeploymentID][]Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[core.DeploymentID][]Part, len(s.tallies))
	for service, t := range s.tallies {
		out[service] = partsOf(t.runs())
	}
	return out
}

// CrashCopy returns the crashes that this node knows, for a peer that starts while the
// store is away.
func (s *Service) CrashCopy() ([]byte, error) {
	now := time.Now()
	out, _ := s.evidence(now, func(c *crash) time.Duration { return c.at.Sub(now) })
	return msgpack.Marshal(out)
}

// AdoptCrashes merges the crashes that a peer knows.
func (s *Service) AdoptCrashes(data []byte) error {
	copied, err := decodeEvidence(data)
	if err != nil {
		return err
	}
	s.mergeEvidence(copied, 0, time.Now(), false)
	return nil
}

// evidence returns the evidence of this node, with the times of crashes that a function
// gives, and whether it is more than what the store has.
func (s *Service) evidence(now time.Time, timeOf func(*crash) time.Duration) (out *evidence, news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out = &evidence{}
	index := newPartIndex(out)
	var harmless []Part
	for _, counted := range s.latestCrashes(now) {
		c := counted.crash
		from := index.ofCrash(counted, timeOf(c))
		for _, run := range c.runs {
			for _, part := range run {
				if s.tallies[counted.service].harmless[part] && !slices.Contains(harmless, part) {
					harmless = append(harmless, part)
					news = news || !s.storedHarmless[part]
				}
			}
		}
		out.Crashes = append(out.Crashes, from)
		news = news || !c.stored || c.storedFacts < len(c.runs)+len(c.cleared)
	}
	out.Harmless = index.of(harmless)
	return out, news
}

// countedCrash is a crash of a service.
type countedCrash struct {
	*crash
	service core.DeploymentID
}

// latestCrashes returns the latest crashes that count, in the order of time. The caller
// holds the lock.
func (s *Service) latestCrashes(now time.Time) []countedCrash {
	var out []countedCrash
	for service, t := range s.tallies {
		for _, c := range t.crashes {
			if now.Sub(c.at) <= crashRetention {
				out = append(out, countedCrash{c, service})
			}
		}
	}
	slices.SortFunc(out, func(a, b countedCrash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.service, b.service), cmp.Compare(a.replica, b.replica))
	})
	return out[max(0, len(out)-maxStoredCrashes):]
}
