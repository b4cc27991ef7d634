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

// kindList is the kind of the message that requests another node's copy of the
// fleet list.
const kindList = "fleet.list"

const (
	// PollInterval is the time between two reads of the fleet list.
	PollInterval = 1 * time.Second
	readTimeout  = 1 * time.Second
)

// Snapshot is the fleet list as read at one time.
type Snapshot struct {
	VMs []infra.VM `msgpack:"v"`
	// ReadAt is when the list was read from the platform, in Unix nanoseconds.
	ReadAt int64 `msgpack:"t"`
}

// Watcher polls the fleet list and reports its changes.
type Watcher struct {
	list      infra.FleetList
	messenger peer.Messenger
	view      func() *membership.View
	onChange  func([]infra.VM)
	log       *slog.Logger

	current     atomic.Pointer[Snapshot]
	unavailable bool // whether the last read failed; used only by Run
}

// NewWatcher returns a watcher. It calls onChange with each list that differs from
// the previous one.
func NewWatcher(list infra.FleetList, messenger peer.Messenger, view func() *membership.View,
	onChange func([]infra.VM), log *slog.Logger) *Watcher {
	w := &Watcher{list: list, messenger: messenger, view: view, onChange: onChange, log: log}
	messenger.Handle(kindList, w.handleList)
	return w
}

// Current returns the cached list, or nil if no list has been read or copied yet.
func (w *Watcher) Current() *Snapshot { return w.current.Load() }

// Run polls the list until ctx is done.
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
		w.update(vms)
		return
	}
	w.logAvailability(false, err)
	if w.current.Load() == nil {
		w.copyFromPeers(ctx)
	}
}

// update stores a list that was read from the platform. It calls onChange only if
// the list has changed.
func (w *Watcher) update(vms []infra.VM) {
	next := &Snapshot{VMs: vms, ReadAt: time.Now().UnixNano()}
	if last := w.current.Load(); last != nil && slices.Equal(last.VMs, vms) {
		w.current.Store(next)
		return
	}
	w.replace(next)
}

// logAvailability logs a change of the list's availability.
func (w *Watcher) logAvailability(available bool, err error) {
	if available == !w.unavailable {
		return
	}
	w.unavailable = !available
	if available {
		w.log.Info("fleet list available again")
		return
	}
	w.log.Warn("fleet list unavailable; using the cached copy", "error", err)
}

// copyFromPeers asks the other nodes one after another for their copy of the list
// and uses the first one that has VMs.
func (w *Watcher) copyFromPeers(ctx context.Context) {
	view := w.view()
	for _, m := range view.Members() {
		if m.ID == view.Self() || m.Address == "" {
			continue
		}
		var snapshot Snapshot
		if err := w.messenger.Call(ctx, m.ID, kindList, struct{}{}, &snapshot); err == nil && len(snapshot.VMs) > 0 {
			w.log.Info("fleet list copied from another node", "node", m.ID)
			w.replace(&snapshot)
			return
		}
	}
}

// replace stores a changed list and calls onChange.
func (w *Watcher) replace(s *Snapshot) {
	w.current.Store(s)
	w.onChange(s.VMs)
}

// handleList returns the cached list to another node.
func (w *Watcher) handleList(context.Context, core.NodeID, []byte) ([]byte, error) {
	s := w.current.Load()
	if s == nil {
		return nil, errors.New("node has no copy of the fleet list yet")
	}
	return msgpack.Marshal(s)
}
