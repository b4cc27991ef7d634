package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
)

// kindList asks another node for its copy of the fleet list.
const kindList = "fleet.list"

const (
	// PollInterval is the time between two readings of the fleet list.
	PollInterval = 1 * time.Second
	readTimeout  = 1 * time.Second
)

// Copy is one reading of the fleet list.
type Copy struct {
	VMs []infra.VM `msgpack:"v"`
	// ReadAt is when the list was read from the platform, in nanoseconds.
	ReadAt int64 `msgpack:"t"`
}

// Watcher reads the fleet list at intervals.
type Watcher struct {
	list     infra.FleetList
	messages peer.Messenger
	view     func() *membership.View
	onChange func([]infra.VM)
	log      *slog.Logger

	current     atomic.Pointer[Copy]
	unavailable bool
}

// NewWatcher returns a watcher. onChange gets each new list.
func NewWatcher(list infra.FleetList, messages peer.Messenger, view func() *membership.View,
	onChange func([]infra.VM), log *slog.Logger) *Watcher {
	w := &Watcher{list: list, messages: messages, view: view, onChange: onChange, log: log}
	messages.Handle(kindList, w.handleList)
	return w
}

// Current returns the last copy of the list, or nil.
func (w *Watcher) Current() *Copy { return w.current.Load() }

// Run reads the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := w.list.List(ctx)
	if err == nil {
		w.logAvailability(true, nil)
		w.take(vms)
		return
	}
	w.logAvailability(false, err)
	if w.current.Load() == nil {
		w.askPeers(ctx)
	}
}

// take puts a list in force if it differs from the last one.
func (w *Watcher) take(vms []infra.VM) {
	next := &Copy{VMs: vms, ReadAt: time.Now().UnixNano()}
	if last := w.current.Load(); last != nil && slices.Equal(last.VMs, vms) {
		w.current.Store(next)
		return
	}
	w.apply(next)
}

func (w *Watcher) logAvailability(available bool, err error) {
	if available == !w.unavailable {
		return
	}
	w.unavailable = !available
	if available {
		w.log.Info("fleet list available again")
		return
	}
	w.log.Warn("fleet list unavailable, keeping the last copy", "error", err)
}

func (w *Watcher) askPeers(ctx context.Context) {
	view := w.view()
	for _, m := range view.Members() {
		if m.ID == view.Self() || m.Address == "" {
			continue
		}
		var answer Copy
		if err := w.messages.Call(ctx, m.ID, kindList, struct{}{}, &answer); err == nil && len(answer.VMs) > 0 {
			w.log.Info("fleet list copied from a node", "node", m.ID)
			w.apply(&answer)
			return
		}
	}
}

func (w *Watcher) apply(c *Copy) {
	w.current.Store(c)
	w.onChange(c.VMs)
}

func (w *Watcher) handleList(context.Context, core.NodeID, []byte) ([]byte, error) {
	c := w.current.Load()
	if c == nil {
		return nil, errors.New("no copy of the fleet list yet")
	}
	return msgpack.Marshal(c)
}
