package relay

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
	"gentiantide.example/gentiantide/internal/settings"
)

const testDeployment core.DeploymentID = "verse-models"

// script defines how the fake engine or service handles one send.
type script struct {
	openErr       error
	delay         time.Duration // before the first token
	gap           time.Duration // before each token
	stopAt        int           // the stream fails with endErr before this token; -1: never
	endErr        error         // io.EOF: a truncated stream that ends without an error
	repeat        int           // tokens sent again from before the resume point
	skip          int           // tokens left out at stopAt
	ignoresCancel bool          // ignores cancellation until delay has passed
	hangs         bool          // hangs at stopAt until cancelled
	preemptAfter  time.Duration // preempts the slot of batch requests after this time; 0: never
}

func success() script { return script{stopAt: -1} }

// fleet is a fake of all dependencies of the relay: the dispatcher, its slots, the
// engines and the services. Each send uses the next script.
type fleet struct {
	mu              sync.Mutex
	tokens          int
	scripts         []script
	refusals        []*core.Refusal // results of the next acquisitions; nil grants a slot
	sends           int
	maybeRan        int    // sends that reached an engine and may have run
	singleReplica   bool   // there is only one replica
	preemptedGrants int    // the number of next slots that are preempted at once
	padding         string // appended to the text of each token
	granted         int
	released        int
	running         int // streams that are not closed
	slotRequests    []dispatch.Request
	requests        []backend.GenerateRequest
	observations    []dispatch.Observation
}

func (f *fleet) snapshot(change func(*settings.Deployment)) func() *settings.Snapshot {
	deployment := settings.Deployment{
		ID: testDeployment, Kind: settings.KindModel, Model: "verse", Route: "/verse/",
		OnlineDeadline: time.Minute, MaxAttempts: 4, NonIdempotentRoutes: []string{"POST /verse/issue"},
	}
	if change != nil {
		change(&deployment)
	}
	s := settings.NewSnapshot(settings.SnapshotInput{Version: 1, Deployments: []settings.Deployment{deployment}})
	return func() *settings.Snapshot { return s }
}

func (f *fleet) relay(budget Budget, change func(*settings.Deployment)) *Relay {
	return New(Config{
		Acquirer: f, Settings: f.snapshot(change), Budget: budget,
		Engines:  func(string) backend.Engine { return f },
		Services: func(string) backend.Service { return f },
	})
}

// budget is a Budget with a fixed number of retries.
type budget struct {
	mu   sync.Mutex
	left int
}

func (b *budget) RecordSuccess(core.DeploymentID, float64) {}

func (b *budget) Spend(core.DeploymentID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left--
	return b.left >= 0
}

func (f *fleet) Acquire(_ context.Context, request dispatch.Request) (dispatch.Slot, *core.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slotRequests = append(f.slotRequests, request)
	if len(f.refusals) > 0 {
		refusal := f.refusals[0]
		f.refusals = f.refusals[1:]
		if refusal != nil {
			return nil, refusal
		}
	}
	if f.singleReplica && len(request.Exclude) > 0 {
		return nil, core.Refuse(core.CodeNoBackend, "no replica is left")
	}
	f.granted++
	slot := &fakeSlot{fleet: f, id: core.ReplicaID("r" + strconv.Itoa(f.granted)), preempted: make(chan struct{})}
	if request.Class == core.ClassBatch && len(f.scripts) > 0 && f.scripts[0].preemptAfter > 0 {
		time.AfterFunc(f.scripts[0].preemptAfter, func() { close(slot.preempted) })
	}
	if f.preemptedGrants--; f.preemptedGrants >= 0 {
		close(slot.preempted)
	}
	return slot, nil
}

type fakeSlot struct {
	fleet     *fleet
	id        core.ReplicaID
	preempted chan struct{}
}

func (s *fakeSlot) Replica() core.ReplicaID    { return s.id }
func (s *fakeSlot) Address() string            { return string(s.id) }
func (s *fakeSlot) Preempted() <-chan struct{} { return s.preempted }
func (s *fakeSlot) Release(o dispatch.Observation) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.released++
	s.fleet.observations = append(s.fleet.observations, o)
}

func (f *fleet) next() script {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends++
	s := success()
	if len(f.scripts) > 0 {
		s, f.scripts = f.scripts[0], f.scripts[1:]
	}
	if s.openErr == nil || s.openErr == backend.ErrInterrupted {
		f.maybeRan++
	}
	return s
}

func (f *fleet) Generate(ctx context.Context, req backend.GenerateRequest) (backend.Stream, error) {
	s := f.next()
	f.mu.Lock()
	f.requests = append(f.requests, req)
	f.mu.Unlock()
	if s.ignoresCancel {
		time.Sleep(s.delay)
	} else if err := wait(ctx, s.delay); err != nil {
		return nil, err
	}
	if s.openErr != nil {
		return nil, s.openErr
	}
	f.mu.Lock()
	f.running++
	f.mu.Unlock()
	return &fakeStream{fleet: f, ctx: ctx, script: s, at: max(0, req.ResumeFrom-s.repeat)}, nil
}

func (f *fleet) Do(ctx context.Context, call backend.Call) (backend.CallResponse, error) {
	s := f.next()
	if err := wait(ctx, s.delay); err != nil {
		return backend.CallResponse{}, err
	}
	return backend.CallResponse{Status: 200, Body: call.Body}, s.openErr
}

func (f *fleet) Load(context.Context) (backend.Load, error) { return backend.Load{}, nil }
func (f *fleet) Order(context.Context, backend.Order) error { return nil }
func tokenText(i int) string                                { return "t" + strconv.Itoa(i) + " " }
func expectedText(n int) (text string) {
	for i := range n {
		text += tokenText(i)
	}
	return text
}

func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return backend.ErrInterrupted
	}
}

type fakeStream struct {
	fleet  *fleet
	ctx    context.Context
	script script
	at     int
	closed bool
}

func (s *fakeStream) Next() (backend.Token, error) {
	if s.ctx.Err() != nil {
		return backend.Token{}, backend.ErrInterrupted
	}
	if err := wait(s.ctx, s.script.gap); err != nil {
		return backend.Token{}, err
	}
	if s.script.stopAt >= 0 && s.at >= s.script.stopAt {
		switch {
		case s.script.hangs:
			<-s.ctx.Done()
			return backend.Token{}, backend.ErrInterrupted
		case s.script.skip > 0:
			s.at += s.script.skip
			s.script.stopAt = -1
		default:
			return backend.Token{}, s.script.endErr
		}
	}
	if s.at >= s.fleet.tokens {
		return backend.Token{}, io.EOF
	}
	token := backend.Token{Index: s.at, Text: tokenText(s.at) + s.fleet.padding}
	s.at++
	return token, nil
}

func (s *fakeStream) Finish() backend.Finish {
	return backend.Finish{Reason: "stop", PromptTokens: 3, OutputTokens: s.fleet.tokens}
}

func (s *fakeStream) Close() error {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.fleet.running--
	}
	return nil
}
