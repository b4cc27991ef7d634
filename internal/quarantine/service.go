package quarantine

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/wire"
)

const (
	// callTimeout bounds a call to another node. It takes a few ms between data
	// centres, and some tens of ms on a busy small VM.
	callTimeout = 200 * time.Millisecond
	// passOnAttempts and passOnDelay are the attempts to pass an entry on to a node,
	// and the time between them. A node that gets none reads it from the store.
	passOnAttempts = 4
	passOnDelay    = 300 * time.Millisecond
)

// Options are the dependencies of a Service.
type Options struct {
	Messenger peer.Messenger
	// Hubs returns the nodes that decide for a service, in the order in which to
	// report to them.
	Hubs func(core.DeploymentID) []core.NodeID
	// View returns the nodes of the fleet.
	View func() *nodes.View
	// Persist is called after an entry of this node's own has changed, so that it is
	// soon written to the store.
	Persist func()
	// Registry holds the replicas, and ReportSilent is called with one that has fallen
	// silent.
	Registry     *replica.Registry
	ReportSilent func(*replica.Replica)
	// DataCentre is that of this node.
	DataCentre core.DataCentre
	Log        *slog.Logger
	Scope      tally.Scope
}

// Service is the quarantine of a node.
type Service struct {
	Options
	list       *list
	proofs     *proofs
	counters   *counters
	silences   silences
	suspicions suspicions
	// reporting is the number of crashes that are being reported.
	reporting atomic.Int32

	mu      sync.Mutex
	tallies map[core.DeploymentID]*serviceTally
	// storedHarmless are the parts that are known as harmless in the store.
	storedHarmless map[Part]bool
}

// New returns a service whose handlers are registered. The caller starts the
// transport afterwards.
func New(o Options) *Service {
	s := &Service{
		Options: o, list: newList(o.Messenger.Self()), proofs: newProofs(), counters: newCounters(o.Scope), silences: silences{watches: make(map[silenceKey]*silenceWatch)},
		suspicions: suspicions{open: make(map[processKey]*suspicion)},
		tallies:    make(map[core.DeploymentID]*serviceTally), storedHarmless: make(map[Part]bool),
	}
	o.Messenger.Handle(kindReport, s.handleReport)
	o.Messenger.Handle(kindSilence, s.handleSilence)
	o.Messenger.Handle(kindWitness, s.handleWitness)
	o.Messenger.Handle(kindReach, s.handleReach)
	o.Messenger.Handle(kindEntries, s.handleEntries)
	return s
}

// Entries returns the node's entries ordered by part.
func (s *Service) Entries() []Entry { return s.list.all(time.Now()) }

// Blocked reports whether a request with the parts is refused, and for how long at
// least.
func (s *Service) Blocked(parts []Part) (remaining time.Duration, blocked bool) {
	if len(parts) == 0 {
		return 0, false
	}
	now := time.Now()
	e, blocked := s.list.blocked(parts, now)
	if !blocked {
		return 0, false
	}
	return max(e.Until.Sub(now), time.Second), true
}

// Watch cancels a request with ErrQuarantined when one of its parts is quarantined,
// until the returned function is called.
func (s *Service) Watch(parts []Part, cancel context.CancelCauseFunc) (stop func()) {
	if len(parts) == 0 {
		return func() {}
	}
	return s.list.watch(parts, cancel)
}

// CountRefusal counts a request that was refused because of its parts.
func (s *Service) CountRefusal() { s.counters.refused.Inc(1) }

// Lift releases a part on all nodes. It reports false if the part is not
// quarantined.
func (s *Service) Lift(part Part) bool { return s.lift(part, "an operator lifted it") }

func (s *Service) lift(part Part, reason string) bool {
	e, ok := s.list.get(part)
	if !ok || !e.active() {
		return false
	}
	e.Lifted, e.By = true, s.Messenger.Self()
	s.decide(e, reason)
	return true
}

// decide applies an entry that this node has made and passes it on.
func (s *Service) decide(e Entry, reason string) {
	now := time.Now()
	if !s.apply(e, now, reason) {
		return
	}
	s.Persist()
	notice := []Notice{newNotice(&e, now)}
	for _, record := range s.View().Records() {
		if record.ID != s.Messenger.Self() {
			go s.passOn(record.ID, notice)
		}
	}
}

// apply merges an entry into the list and logs it.
func (s *Service) apply(e Entry, now time.Time, reason string) bool {
	if !s.list.merge(e, now) {
		return false
	}
	s.counters.update(s.list, now)
	message := "part quarantined"
	if e.Lifted {
		message = "quarantine of a part lifted"
		s.acquit("", []Part{e.Part}, []time.Time{now}) // the crashes so far are no reason to quarantine it again
	}
	s.Log.Warn(message, "part", e.Part, "round", e.Round, "crashes", e.Crashes,
		"remaining_ms", e.Until.Sub(now).Milliseconds(), "by", e.By, "reason", reason)
	return true
}

// passOn passes entries on to a node.
func (s *Service) passOn(to core.NodeID, entries []Notice) {
	defer contain.Recover(s.Log, "quarantine for", string(to))
	var err error
	for attempt := range passOnAttempts {
		if attempt > 0 {
			time.Sleep(passOnDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err = s.Messenger.Call(ctx, to, kindEntries, &entries, nil)
		cancel()
		if err == nil {
			return
		}
	}
	s.Log.Info("quarantine not passed on; the node reads it from the store", "node", to, "error", err)
}

func (s *Service) handleEntries(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var entries []Notice
	if err := wire.Unmarshal(body, &entries); err != nil {
		return nil, err
	}
	s.Adopt(entries, "received from "+string(from))
	return nil, nil
}

// Notices returns the entries for a peer that starts.
func (s *Service) Notices() []Notice {
	now := time.Now()
	var out []Notice
	for _, e := range s.list.all(now) {
		out = append(out, newNotice(&e, now))
	}
	return out
}

// Adopt merges the entries of another node.
func (s *Service) Adopt(entries []Notice, reason string) {
	now := time.Now()
	for i := range entries {
		s.apply(entries[i].entry(now), now, reason)
	}
}

// sendReport reports a suspect to the first hub that answers, or to this node's own tally
// if none does. The other hubs and this node keep a copy: the first one may be lost before
// it has decided, and before the crash is in the store.
func (s *Service) sendReport(suspect *report) {
	s.counters.suspects.Inc(1)
	s.Log.Info("run was at a replica when it crashed", "replica", suspect.Replica, "silent", suspect.Silent, "parts", suspect.Parts, "trial", len(suspect.Trials) > 0)
	self, kept := s.Messenger.Self(), false
	for _, hub := range s.Hubs(suspect.Service) {
		if hub == self {
			s.record(suspect)
			suspect.Copy, kept = true, true
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := s.Messenger.Call(ctx, hub, kindReport, suspect, nil)
		cancel()
		if err != nil {
			s.Log.Info("hub did not take the report of a crash", "node", hub, "replica", suspect.Replica, "error", err)
			continue
		}
		suspect.Copy = true
	}
	if !kept {
		s.record(suspect)
	}
}

func (s *Service) handleReport(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var suspect report
	if err := wire.Unmarshal(body, &suspect); err != nil {
		return nil, err
	}
	s.record(&suspect)
	return nil, nil
}

// record adds a suspect to the tally. Unless it is a copy, a trial that crashed a replica
// renews the quarantine at once, the tally is evaluated, and it is soon stored.
func (s *Service) record(suspect *report) {
	now := time.Now()
	s.Adopt(suspect.Trials, "reported with a crash")
	if !suspect.Copy {
		s.renewAfterTrial(suspect.Trials, now)
	}
	s.mu.Lock()
	t := s.tallyOf(suspect.Service)
	t.add(&crash{
		replica: suspect.Replica, started: suspect.Started, at: now.Add(-suspect.Age), silent: suspect.Silent, runs: [][]Part{suspect.Parts},
	}, now)
	t.changed = true
	if !suspect.Copy {
		s.evaluateIfChanged(suspect.Service)
		s.gatherSoon(suspect.Service, suspect.Parts)
	}
	s.mu.Unlock()
	if !suspect.Copy {
		s.Persist()
	}
}

func (s *Service) renewAfterTrial(trials []Notice, now time.Time) {
	for i := range trials {
		trial := &trials[i]
		if e, ok := s.list.get(trial.Part); ok && e.Round == trial.Round {
			round := e.Round + 1
			s.decide(Entry{Part: e.Part, Round: round, Crashes: 1, Until: now.Add(roundDuration(round)), By: s.Messenger.Self()}, "the trial crashed a replica")
		}
	}
}

func (s *Service) quarantined(part Part) bool {
	e, ok := s.list.get(part)
	return ok && e.active() && !e.forgotten(time.Now())
}

// handleWitness says when runs with the parts last proved harmless at this node.
func (s *Service) handleWitness(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var request witnessRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	now := time.Now()
	response := witnessResponse{Ages: make([]time.Duration, len(request.Parts)), Any: age(s.proofs.any(), now)}
	for i, part := range request.Parts {
		response.Ages[i] = age(s.proofs.get(part), now)
	}
	return msgpack.Marshal(&response)
}

// age returns the time since at, or a negative time if it is the zero time.
func age(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}
