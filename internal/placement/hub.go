package placement

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// hubTick is the time between looks at the waiting requests without a
	// message that frees a slot.
	hubTick = 20 * time.Millisecond
	// totalsEvery is the least time between totals. Nodes go by them while they
	// have to choose alone; a slot turns over about every 90 ms a replica.
	totalsEvery = 100 * time.Millisecond
	// totalsPerNode lengthens it in large fleets, so that a hub sends at most
	// 200 messages a second.
	totalsPerNode = 5 * time.Millisecond
	// listEvery is the least time between lists of the replicas of a large
	// service, of which a group is a part.
	listEvery = 100 * time.Millisecond
	// hubIdle is how long a hub that nobody addresses keeps the account of a
	// group.
	hubIdle = 3 * time.Second
)

var errStopping = errors.New("this node stops and places no more requests")

// hub is the part of a node that places requests for all nodes.
type hub struct {
	transport *peer.Transport
	registry  *replica.Registry
	yield     func(core.NodeID, core.ReplicaID)
	log       *slog.Logger
	stopping  atomic.Bool
	// begun has an entry after an account was opened.
	begun chan struct{}

	mu    sync.Mutex
	pools map[group]*account
}

// account is the pool of one group.
type account struct {
	*pool
	listed time.Time // when the replicas were listed
	heard  time.Time // the last question or counts
	sent   time.Time // the last totals
	held   int       // requests that waited since the last log line
}

func newHub(o *Options, yield func(core.NodeID, core.ReplicaID)) *hub {
	h := &hub{transport: o.Transport, registry: o.Registry, yield: yield, log: o.Log, begun: make(chan struct{}, 1), pools: make(map[group]*account)}
	o.Transport.Handle(kindAsk, h.ask)
	o.Transport.Handle(kindProbe, h.probe)
	o.Transport.Handle(kindCounts, h.counts)
	o.Transport.Handle(kindWithdraw, h.withdraw)
	return h
}

// account returns the account of a group with its replicas. The caller holds the
// lock.
func (h *hub) account(g group, now time.Time) *account {
	a, ok := h.pools[g]
	if !ok {
		a = &account{pool: newPool(), heard: now}
		h.pools[g] = a
		h.log.Info("placement begins here", "group", g.name())
		select {
		case h.begun <- struct{}{}:
		default: // it ticks already or is about to
		}
	}
	if ready := h.registry.Ready(g.Service); now.Sub(a.listed) >= listEvery || len(ready) <= groupSize {
		a.listed = now
		a.replicas = slots(a.replicas[:0], g, ready, now)
	}
	return a
}

// slots lists the replicas of a group that are not avoided, or all if there are
// no others.
func slots(out []slot, g group, ready []*replica.Replica, now time.Time) []slot {
	add := func(r *replica.Replica) {
		info := r.Info()
		if groupOf(g.Service, info.ID, g.Count) != g {
			return
		}
		out = append(out, slot{id: info.ID, dc: info.DataCentre, slots: max(1, info.Slots)})
	}
	for _, r := range ready {
		if !r.Avoided(now) {
			add(r)
		}
	}
	if len(out) == 0 {
		for _, r := range ready {
			add(r)
		}
	}
	return out
}

// probe tells a node that had no answer whether it may ask again.
func (h *hub) probe(context.Context, core.NodeID, []byte) ([]byte, error) {
	if h.stopping.Load() {
		return nil, errStopping
	}
	return nil, nil
}

// ask answers a question for a replica.
func (h *hub) ask(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	if h.stopping.Load() {
		return nil, errStopping
	}
	var question ask
	if err := msgpack.Unmarshal(body, &question); err != nil {
		return nil, err
	}
	now := time.Now()
	h.mu.Lock()
	a := h.account(question.Group, now)
	a.heard = now
	answer, done := a.ask(from, &question, now)
	if answer.Verdict == verdictQueued {
		a.held++
	}
	send := h.preempt(a, done)
	h.mu.Unlock()
	send()
	return msgpack.Marshal(&answer)
}

// preempt picks the batch work that leaves its slot to the placed request. The
// question to it is sent by the function returned, without the lock.
func (h *hub) preempt(a *account, done *placed) func() {
	if done == nil || !done.preempts {
		return func() {}
	}
	holder, ok := a.batchHolder(done.replica)
	if !ok {
		return func() {}
	}
	return func() { h.yield(holder, done.replica) }
}

// counts takes what a node has at its replicas, which may free slots.
func (h *hub) counts(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var c counts
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	now := time.Now()
	h.mu.Lock()
	a := h.account(c.Group, now)
	a.heard = now
	a.tell(from, &c, now)
	send := h.pump(a, now)
	h.mu.Unlock()
	send()
	return nil, nil
}

// withdraw ends a request that waits, or a grant that is not used.
func (h *hub) withdraw(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var w withdraw
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	now := time.Now()
	h.mu.Lock()
	a := h.account(w.Group, now)
	a.withdraw(from, w.ID)
	send := h.pump(a, now)
	h.mu.Unlock()
	send()
	return nil, nil
}

// pump places waiting requests. The function returned tells their nodes.
func (h *hub) pump(a *account, now time.Time) func() {
	done := a.pump(now)
	if len(done) == 0 {
		return func() {}
	}
	yields := make([]func(), len(done))
	for i, d := range done {
		yields[i] = h.preempt(a, d)
	}
	return func() {
		for i, d := range done {
			yields[i]()
			if err := h.transport.Send(d.node, kindGranted, &granted{ID: d.id, Replica: d.replica, Grant: d.grant}); err != nil {
				h.log.Info("grant not sent, the node asks again", "node", d.node, "error", err)
			}
		}
	}
}

// tick looks at every account: what has expired, who may go, who is to be told.
// It reports whether there are accounts left.
func (h *hub) tick(now time.Time) bool {
	var sends []func()
	h.mu.Lock()
	for g, a := range h.pools {
		h.account(g, now).expire(now)
		if now.Sub(a.heard) > hubIdle {
			delete(h.pools, g)
			h.log.Info("placement ends here", "group", g.name())
			continue
		}
		sends = append(sends, h.pump(a, now))
		if now.Sub(a.sent) >= max(totalsEvery, time.Duration(len(a.nodes))*totalsPerNode) {
			a.sent = now
			sends = append(sends, h.totals(g, a))
		}
	}
	busy := len(h.pools) > 0
	h.mu.Unlock()
	for _, send := range sends {
		send()
	}
	return busy
}

// totals tells the nodes that use this hub the work at the replicas.
func (h *hub) totals(g group, a *account) func() {
	message := &totals{Group: g}
	for _, r := range a.replicas {
		sum := a.sum(r.id)
		message.Replicas = append(message.Replicas, count{ID: r.id, Online: sum.online + a.pending[r.id], Batch: sum.batch})
	}
	if a.held > 0 {
		h.log.Info("requests waited for a slot", "count", a.held, "waiting", len(a.waiting), "replicas", len(a.replicas),
			"service_ms", int64(a.turnover.service*1e3))
		a.held = 0
	}
	body, err := msgpack.Marshal(message)
	if err != nil {
		h.log.Error("totals cannot be encoded", "error", err)
		return func() {}
	}
	nodes := slices.Collect(maps.Keys(a.nodes))
	return func() {
		for _, node := range nodes {
			if err := h.transport.Send(node, kindTotals, msgpack.RawMessage(body)); err != nil {
				h.log.Debug("totals not sent", "node", node, "error", err)
			}
		}
	}
}

// run ticks while there are accounts, until ctx ends.
func (h *hub) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.begun:
		}
		ticker := time.NewTicker(hubTick)
		for busy := true; busy; {
			select {
			case <-ctx.Done():
				ticker.Stop()
				return
			case now := <-ticker.C:
				busy = h.tick(now)
			}
		}
		ticker.Stop()
	}
}
