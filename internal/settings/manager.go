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

// Manager keeps a node's settings up to date and writes operators' changes to
// the table service.
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

	mu           sync.Mutex // guards the fields up to lastPoll and serialises installs
	tree         *Tree
	loaded       bool
	recent       []Entry // newest log entries, consecutive, up to the tree's version
	recentSize   int
	subscribers  []func(*Snapshot)
	peerVersions map[core.NodeID]uint64
	pollError    error
	lastPoll     time.Time

	fetchSignal chan struct{}
	applySlot   chan struct{} // semaphore of size 1: one change is written at a time
}

// NewManager returns a manager with the default settings at version 0 and
// registers its message handlers. Run loads the actual settings.
func NewManager(o Options) *Manager {
	m := &Manager{
		store: store{o.Table, defaultLimits().scanPageRows}, limits: defaultLimits(), messenger: o.Messenger, view: o.View, dataCentre: o.DataCentre, logger: o.Logger,
		newID: randomID, ready: make(chan struct{}), tree: NewTree(), peerVersions: make(map[core.NodeID]uint64),
		fetchSignal: make(chan struct{}, 1), applySlot: make(chan struct{}, 1),
	}
	if m.logger == nil {
		m.logger = slog.Default()
	}
	m.current.Store(m.tree.Snapshot())
	m.messenger.Handle(kindFetch, m.handleFetch)
	m.messenger.Handle(kindAnnounce, m.handleAnnounce)
	return m
}

// Current returns the settings in force, never nil, without taking a lock.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// Ready returns a channel that is closed once the settings were loaded from the
// table service or a peer. Until then Current returns the defaults, without any
// deployment.
func (m *Manager) Ready() <-chan struct{} { return m.ready }

// Subscribe calls f immediately with the current snapshot and then with each
// new one in version order. f runs with the manager locked: it must not block
// and must not call any method of the manager other than Current.
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
	group.Go(func() { m.fetchLoop(ctx) })
	group.Wait()
}

// state returns the current tree and whether any settings were loaded.
func (m *Manager) state() (*Tree, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tree, m.loaded
}

// install makes a tree the current one if it is newer, notifies the subscribers
// and marks the settings as loaded. entries are the log entries between the old
// and the new tree, or nil if the full tree was read.
func (m *Manager) install(tree *Tree, entries []Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if tree.version > m.tree.version {
		m.appendRecent(tree.version, entries)
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

// appendRecent keeps the entries that follow the current tree, so that peers can
// fetch them. version is that of the new tree. If the entries do not lead up to
// it without a gap, all kept entries are dropped.
func (m *Manager) appendRecent(version uint64, entries []Entry) {
	for _, e := range entries {
		if e.Version == m.tree.version+1 && len(m.recent) == 0 || len(m.recent) > 0 && e.Version == m.recent[len(m.recent)-1].Version+1 {
			m.recent = append(m.recent, e)
			m.recentSize += e.size()
		}
	}
	if n := len(m.recent); n > 0 && m.recent[n-1].Version != version {
		m.recent, m.recentSize = nil, 0
	}
	for len(m.recent) > m.limits.maxRecentEntries || m.recentSize > m.limits.maxRecentBytes {
		m.recentSize -= m.recent[0].size()
		m.recent = m.recent[1:]
	}
}

// Status is the manager's state as shown in the state dump.
type Status struct {
	Version       uint64    `json:"version"`
	Loaded        bool      `json:"loaded"`
	Nodes         int       `json:"nodes"`
	KeptEntries   int       `json:"kept_entries"`
	Poller        bool      `json:"poller"`
	LastPoll      time.Time `json:"last_poll"`
	LastPollError string    `json:"last_poll_error,omitempty"`
}

// Status returns the manager's state for the state dump.
func (m *Manager) Status() Status {
	poller := m.isPoller()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{Version: m.tree.version, Loaded: m.loaded, Nodes: len(m.tree.nodes),
		KeptEntries: len(m.recent), Poller: poller, LastPoll: m.lastPoll}
	if m.pollError != nil {
		s.LastPollError = m.pollError.Error()
	}
	return s
}

// randomID returns 128 random bits in hexadecimal.
func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
