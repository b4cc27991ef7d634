package quota

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/routetable"
)

// simDelay is the time of a message between two nodes one way.
const simDelay = time.Millisecond

// simFleet is a fleet of services in a synctest bubble, whose messages need no network.
type simFleet struct {
	t     *testing.T
	mu    sync.Mutex
	rand  *rand.Rand
	nodes map[core.NodeID]*simNode
	ids   []core.NodeID
	orgs  atomic.Pointer[routetable.Organisations]
	view  atomic.Pointer[nodes.View]
	use   map[core.Org]*simUse
	// notRun is the share of admitted requests that no server runs. Their use is returned
	// within 4 s.
	notRun float64
	// requests are those in progress.
	requests sync.WaitGroup
	calls    atomic.Int64
	bytes    atomic.Int64
}

// simNode is a node of a simFleet, and the peer.Messenger of its service.
type simNode struct {
	fleet   *simFleet
	record  nodes.Record
	process atomic.Pointer[simProcess]
	// starting are the handlers of a process that starts.
	starting map[string]peer.Handler
	// side tells the sides of a cut apart. Nodes of different sides don't reach each other.
	side atomic.Int64
	// view, if set, is the node's own view of the directory, in place of that of the fleet.
	view atomic.Pointer[nodes.View]
	// down is set while the process doesn't run, frozen while it is stopped for a while.
	down, frozen atomic.Bool
}

// simProcess is one run of a node.
type simProcess struct {
	service  *Service
	handlers map[string]peer.Handler
	cancel   context.CancelFunc
}

// simUse is what an organisation asked for and what was admitted.
type simUse struct {
	asked    []time.Time
	admitted []time.Time
	// wanted is what one bucket for the whole fleet would have admitted.
	wanted float64
	level  float64
	at     time.Time
}

func simOrg(name core.Org, perSecond, burst float64) *routetable.Organisation {
	return &routetable.Organisation{Name: name, RequestsPerSecond: perSecond, Burst: burst}
}

// newSimFleet starts nodes in data centres of the given sizes. It must be called in a
// bubble.
func newSimFleet(t *testing.T, seed uint64, sizes []int, orgs ...*routetable.Organisation) *simFleet {
	f := &simFleet{t: t, rand: rand.New(rand.NewPCG(seed, seed)), nodes: make(map[core.NodeID]*simNode), use: make(map[core.Org]*simUse)}
	f.configure(orgs...)
	view := &nodes.View{Alive: make(map[string]nodes.Record)}
	for dataCentre, size := range sizes {
		for i := range size {
			record := simRecord(dataCentre, i)
			view.Alive[record.Owner()] = record
			f.nodes[record.ID] = &simNode{fleet: f, record: record}
			f.ids = append(f.ids, record.ID)
		}
	}
	f.view.Store(view)
	for _, id := range f.ids {
		f.nodes[id].start()
	}
	return f
}

func simRecord(dataCentre, i int) nodes.Record {
	return nodes.Record{
		ID: core.NodeID(fmt.Sprintf("n%d-%02d", dataCentre, i)), Lifetime: "1", Address: "sim", CPUCores: 1,
		DataCentre: core.DataCentre(fmt.Sprintf("dc-%d", dataCentre)),
	}
}

func (f *simFleet) configure(orgs ...*routetable.Organisation) {
	set := routetable.NewOrganisations()
	for _, org := range orgs {
		set.Add(org, nil)
	}
	f.orgs.Store(set)
}

// stop ends all services. The bubble ends when their goroutines have.
func (f *simFleet) stop() {
	for _, n := range f.nodes {
		n.process.Load().cancel()
	}
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

func (n *simNode) start() {
	n.starting = make(map[string]peer.Handler)
	service := New(Options{
		Messenger: n, Self: n.record, View: n.currentView, AddNode: func(nodes.Record) bool { return false },
		Organisations: n.fleet.orgs.Load, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.process.Store(&simProcess{service, n.starting, cancel})
	go service.Run(ctx)
}

func (n *simNode) currentView() *nodes.View {
	if own := n.view.Load(); own != nil {
		return own
	}
	return n.fleet.view.Load()
}

// restart kills the process and starts another one after a while.
func (n *simNode) restart(after time.Duration) {
	n.down.Store(true)
	n.process.Load().cancel()
	time.AfterFunc(after, func() {
		n.start()
		n.down.Store(false)
	})
}

func (n *simNode) Self() core.NodeID { return n.record.ID }

func (n *simNode) Handle(kind string, handler peer.Handler) { n.starting[kind] = handler }

func (n *simNode) Call(ctx context.Context, to core.NodeID, kind string, req, resp any) error {
	body, err := msgpack.Marshal(req)
	if err != nil {
		return err
	}
	n.fleet.calls.Add(1)
	n.fleet.bytes.Add(int64(len(body)))
	target := n.fleet.nodes[to]
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	go func() {
		if !n.reaches(target) {
			if target.down.Load() {
				done <- result{err: peer.ErrUnavailable}
			}
			return // lost
		}
		time.Sleep(simDelay)
		response, err := target.process.Load().handlers[kind](context.Background(), n.record.ID, body)
		time.Sleep(simDelay)
		if n.reaches(target) {
			done <- result{response, err}
		}
	}()
	select {
	case r := <-done:
		if r.err != nil || resp == nil {
			return r.err
		}
		n.fleet.bytes.Add(int64(len(r.body)))
		return msgpack.Unmarshal(r.body, resp)
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "call")
	}
}

func (n *simNode) Send(to core.NodeID, kind string, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return err
	}
	n.fleet.calls.Add(1)
	n.fleet.bytes.Add(int64(len(body)))
	go func() {
		if target := n.fleet.nodes[to]; n.reaches(target) {
			time.Sleep(simDelay)
			_, _ = target.process.Load().handlers[kind](context.Background(), n.record.ID, body)
		}
	}()
	return nil
}

func (n *simNode) reaches(target *simNode) bool {
	return !target.down.Load() && !n.down.Load() && !target.frozen.Load() && !n.frozen.Load() &&
		(target == n || n.side.Load() == target.side.Load())
}

// send sends requests of an organisation for a while, at random times, at nodes that pick
// returns.
func (f *simFleet) send(org *routetable.Organisation, perSecond float64, during time.Duration, pick func() core.NodeID) {
	end := time.Now().Add(during)
	for {
		f.mu.Lock()
		pause := time.Duration(f.rand.ExpFloat64() / perSecond * float64(time.Second))
		id := pick()
		f.mu.Unlock()
		if time.Now().Add(pause).After(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(pause)
		f.requests.Go(func() { f.request(org, f.nodes[id]) })
	}
}

// request is one request at a node.
func (f *simFleet) request(org *routetable.Organisation, n *simNode) (forward.QuotaDecision, bool) {
	if n.down.Load() || n.frozen.Load() {
		return forward.QuotaDecision{}, false
	}
	current := f.orgs.Load().ByName(org.Name)
	f.ask(current, time.Now())
	process := n.process.Load()
	decision := process.service.Admit(current, time.Now())
	if wait, fails := f.fails(); decision.Admitted && fails {
		time.Sleep(wait)
		process.service.Return(current, decision, time.Now())
		return decision, true
	}
	if decision.Admitted && !n.down.Load() && process == n.process.Load() {
		f.mu.Lock()
		f.use[org.Name].admitted = append(f.use[org.Name].admitted, time.Now())
		f.mu.Unlock()
	}
	return decision, true
}

// fails reports whether an admitted request is not run, and after what time.
func (f *simFleet) fails() (after time.Duration, fails bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notRun == 0 || f.rand.Float64() >= f.notRun {
		return 0, false
	}
	return time.Duration(f.rand.IntN(4000)) * time.Millisecond, true
}

// ask counts a request in the bucket of the whole fleet.
func (f *simFleet) ask(org *routetable.Organisation, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.use[org.Name]
	if u == nil {
		u = &simUse{level: org.Burst, at: now}
		f.use[org.Name] = u
	}
	u.level = min(org.Burst, u.level+org.RequestsPerSecond*now.Sub(u.at).Seconds())
	u.at = now
	u.asked = append(u.asked, now)
	if u.level >= 1 {
		u.level--
		u.wanted++
	}
}

// any returns a function that picks nodes with uneven shares.
func (f *simFleet) any() func() core.NodeID {
	return func() core.NodeID { return f.ids[int(math.Pow(f.rand.Float64(), 1.5)*float64(len(f.ids)))] }
}

// mostInWindow returns the most that were admitted in a window, of those after a time.
func (u *simUse) mostInWindow(after time.Time) int {
	most, first := 0, 0
	for i, at := range u.admitted {
		if at.Before(after) {
			first = i + 1
			continue
		}
		for at.Sub(u.admitted[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// overage and slack are what the rule allows in a window beyond the limit, as a fraction
// and in requests.
const overage, slack = 0.1, 20

// allowed is what the rule allows in a window.
func allowed(perSecond, burst float64) int {
	return int((perSecond*window.Seconds()+burst)*(1+overage) + slack)
}

// checkRule fails if more was admitted in a window than the rule allows.
func (f *simFleet) checkRule(org *routetable.Organisation, after time.Time) {
	f.t.Helper()
	f.requests.Wait()
	u := f.use[org.Name]
	if u == nil {
		return
	}
	if most, limit := u.mostInWindow(after), allowed(org.RequestsPerSecond, org.Burst); most > limit {
		f.t.Errorf("organisation %s: %d admitted in a window, %d allowed", org.Name, most, limit)
	}
}

// checkServed fails if less than a part of what one bucket would admit was admitted.
func (f *simFleet) checkServed(org *routetable.Organisation, part float64) {
	f.t.Helper()
	f.requests.Wait()
	u := f.use[org.Name]
	served := min(1, float64(len(u.admitted))/u.wanted)
	f.t.Logf("organisation %s: asked %d, within the limit %.0f, admitted %d (%.3f), most in a window %d of %d",
		org.Name, len(u.asked), u.wanted, len(u.admitted), served, u.mostInWindow(time.Time{}), allowed(org.RequestsPerSecond, org.Burst))
	if served < part {
		f.t.Errorf("organisation %s: %.3f of what is within the limit was admitted, want %.2f", org.Name, served, part)
	}
}

// in returns a function that picks nodes of a data centre.
func (f *simFleet) in(dataCentre core.DataCentre) func() core.NodeID {
	return func() core.NodeID {
		for {
			if id := f.ids[f.rand.IntN(len(f.ids))]; f.nodes[id].record.DataCentre == dataCentre {
				return id
			}
		}
	}
}

// cut moves the nodes of a data centre to a side.
func (f *simFleet) cut(dataCentre core.DataCentre, side int64) {
	for _, n := range f.nodes {
		if n.record.DataCentre == dataCentre {
			n.side.Store(side)
		}
	}
}
