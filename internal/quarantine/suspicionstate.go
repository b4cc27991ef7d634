package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

// suspicionState is the suspicions as shared state of the nodes: all nodes that know of a
// silent replica may be killed before they have compared what they see.
type suspicionState struct{ service *Service }

// Suspicions returns the replicas that have fallen silent as state that nodes share.
func (s *Service) Suspicions() nodes.SharedState { return suspicionState{s} }

// Reconcile implements nodes.SharedState.
func (st suspicionState) Reconcile(stored []byte, clock time.Duration) (update []byte, changed bool) {
	s, now := st.service, time.Now()
	known := s.decodeStored("silences", stored)
	s.adoptSuspicions(known, clock, now)
	out := s.suspicions.latest(now)
	s.watchAsHub(out)
	next := newSuspicionEvidence(out, func(at time.Time) time.Duration { return clock - now.Sub(at) })
	switch {
	case !next.addsTo(known):
		return nil, false
	case len(out) == 0:
		return nil, true
	}
	update, err := msgpack.Marshal(next)
	if err != nil {
		s.Log.Error("replicas that fell silent cannot be encoded; they are not stored", "error", err)
		return nil, false
	}
	return update, true
}

// newSuspicionEvidence returns suspicions with the times that a function gives.
func newSuspicionEvidence(all []*suspicion, timeOf func(time.Time) time.Duration) *evidence {
	out := &evidence{}
	index := newPartIndex(out)
	for _, c := range all {
		out.Crashes = append(out.Crashes, index.ofCrash(c.countedCrash, timeOf(c.at)))
	}
	return out
}

// adoptSuspicions adds those of other nodes. clock is the time now of the clock of their
// times.
func (s *Service) adoptSuspicions(e *evidence, clock time.Duration, now time.Time) {
	for i := range e.Crashes {
		from := &e.Crashes[i]
		found := &crash{replica: from.Replica, started: from.Started, at: now.Add(min(0, from.At-clock)), silent: true}
		if now.Sub(found.at) > suspicionRetention {
			continue
		}
		for _, run := range from.Runs {
			found.addRun(e.named(run))
		}
		s.suspicions.add(&suspicion{countedCrash: countedCrash{found, from.Service}})
	}
}

// watchAsHub watches the replicas of suspicions if this node is a hub of their services.
// It knows a replica by then, or will soon.
func (s *Service) watchAsHub(all []*suspicion) {
	for _, c := range all {
		if c.watched || !slices.Contains(s.Hubs(c.service), s.Messenger.Self()) {
			continue
		}
		target := s.Registry.Get(c.replica)
		if target == nil || target.Info().Started != c.started {
			continue
		}
		s.suspicions.markWatched(c.key())
		s.Log.Info("other node found a replica silent", "replica", c.replica, "runs", len(c.runs))
		s.silences.addSuspicion(s, target, c)
	}
}

// announce tells the hubs and the store of a replica that has fallen silent and of the
// runs there. This node may be killed before it has compared what it sees.
func (s *Service) announce(found *suspicion) {
	found.watched = true
	if len(found.runs) == 0 || !s.suspicions.add(found) {
		return
	}
	s.Persist()
	message := newSuspicionEvidence([]*suspicion{found}, func(at time.Time) time.Duration { return -time.Since(at) })
	for _, hub := range s.Hubs(found.service) {
		if hub != s.Messenger.Self() {
			go s.announceTo(hub, message)
		}
	}
}

// reportFor sends the report of a node that may be gone, in a goroutine of its own.
func (s *Service) reportFor(suspect *report) {
	s.reporting.Add(1)
	go func() {
		defer contain.Recover(s.Log, "suspect of a crash", string(suspect.Replica))
		s.reportCrash(func() *report { return suspect }, func(*report) bool { return true })
	}()
}

func (s *Service) announceTo(hub core.NodeID, message *evidence) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	defer contain.Recover(s.Log, "silent replica for", string(hub))
	if err := s.Messenger.Call(ctx, hub, kindSilence, message, nil); err != nil {
		s.Log.Info("hub was not told of a silent replica; it reads of it from the store", "node", hub, "error", err)
	}
}

func (s *Service) handleSilence(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	message, err := decodeEvidence(body)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	s.adoptSuspicions(message, 0, now)
	s.watchAsHub(s.suspicions.latest(now))
	return nil, nil
}
