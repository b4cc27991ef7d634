package settings

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/peer"
)

// Options are the dependencies of a Manager.
type Options struct {
	Table      infra.Table
	Messenger  peer.Messenger
	View       func() *membership.View
	DataCentre core.DataCentre
	Logger     *slog.Logger // nil: slog.Default()
}

// Manager keeps a node's settings up to date and accepts operators' changes.
type Manager struct {
	store      store
	messenger  peer.Messenger
	view       func() *membership.View
	dataCentre core.DataCentre
	logger     *slog.Logger
	newID      func() string
	limits     limits

	current atomic.Pointer[Snapshot]
	ready   chan struct{}

	mu          sync.Mutex // guards the fields below and serialises installs
	tree        *Tree
	loaded      bool
	recent      []Entry // contiguous, up to the tree's version
	recentSize  int
	subscribers []func(*Snapshot)
	hints       map[core.NodeID]uint64
	pollError   error
	polled      time.Time

	wake    chan struct{}
	editing chan struct{} // holds one token; one change is written at a time
}

// NewManager returns a manager with the defaults at version 0 and registers
// its message handlers. Run loads the settings.
func NewManager(o Options) *Manager {
	m := &Manager{
		store: store{o.Table, defaultLimits().scanPage}, limits: defaultLimits(), messenger: o.Messenger, view: o.View, dataCentre: o.DataCentre, logger: o.Logger,
		newID: randomID, ready: make(chan struct{}), tree: NewTree(), hints: make(map[core.NodeID]uint64),
		wake: make(chan struct{}, 1), editing: make(chan struct{}, 1),
	}
	if m.logger == nil {
		m.logger = slog.Default()
	}
	m.current.Store(m.tree.Snapshot())
	m.messenger.Handle(kindFetch, m.handleFetch)
	m.messenger.Handle(kindAnnounce, m.handleAnnounce)
	return m
}

// Current returns the settings in force, never nil. It takes no lock.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Ready is closed once the settings were loaded from the table service or a
// peer; until then Current has the defaults and no deployments.
func (m *Manager) Ready() <-chan struct{} { return m.ready }

// Subscribe calls f with the current snapshot at once and with each later one,
// in the order of their versions. f must not block and must not call the
// manager's other methods than Current.
func (m *Manager) Subscribe(f func(*Snapshot)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, f)
	f(m.current.Load())
}

// Run keeps the settings up to date until the context ends.
func (m *Manager) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { m.pollLoop(ctx) })
	group.Go(func() { m.followLoop(ctx) })
	group.Wait()
}

// state returns the tree and whether it was loaded.
func (m *Manager) state() (*Tree, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tree, m.loaded
}

// install puts a tree in force if it is newer than the one in force, or the
// first one loaded. entries lead from the old tree to the new one; nil means
// that the tree was fetched as a whole.
func (m *Manager) install(tree *Tree, entries []Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if tree.version > m.tree.version {
		m.remember(tree.version, entries)
		m.tree = tree
		snapshot := tree.Snapshot()
		m.current.Store(snapshot)
		for _, f := range m.subscribers {
			f(snapshot)
		}
	}
	if !m.loaded {
		m.loaded = true
		close(m.ready)
	}
}

// remember keeps the entries of versions above the tree's for peers.
func (m *Manager) remember(version uint64, entries []Entry) {
	for _, e := range entries {
		if e.Version == m.tree.version+1 && len(m.recent) == 0 || len(m.recent) > 0 && e.Version == m.recent[len(m.recent)-1].Version+1 {
			m.recent = append(m.recent, e)
			m.recentSize += e.size()
		}
	}
	if n := len(m.recent); n > 0 && m.recent[n-1].Version != version {
		m.recent, m.recentSize = nil, 0
	}
	for len(m.recent) > m.limits.keptEntries || m.recentSize > m.limits.keptBytes {
		m.recentSize -= m.recent[0].size()
		m.recent = m.recent[1:]
	}
}

// Status describes the manager for the state dump.
type Status struct {
	Version      uint64    `json:"version"`
	Loaded       bool      `json:"loaded"`
	Nodes        int       `json:"nodes"`
	KeptEntries  int       `json:"kept_entries"`
	Poller       bool      `json:"poller"`
	LastPoll     time.Time `json:"last_poll"`
	LastPollFail string    `json:"last_poll_error,omitempty"`
}

// Status returns the manager's state.
func (m *Manager) Status() Status {
	poller := m.isPoller()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{Version: m.tree.version, Loaded: m.loaded, Nodes: len(m.tree.nodes),
		KeptEntries: len(m.recent), Poller: poller, LastPoll: m.polled}
	if m.pollError != nil {
		s.LastPollFail = m.pollError.Error()
	}
	return s
}

func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
