package settings

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// pollInterval is the time between polls of the two pollers of a data
	// centre, and of a node that has no settings yet.
	pollInterval = time.Second
	// slowPolls is the number of intervals between polls of other nodes: 30 s.
	slowPolls = 30
	// pollersPerDataCentre is 2, so that one may be down unnoticed.
	pollersPerDataCentre = 2
	// askedPeers is the number of peers that a node without settings asks in
	// one interval.
	askedPeers = 3
)

func (m *Manager) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	// The phase spreads the slow polls of the nodes over the interval.
	tick := xxhash.Sum64String(string(m.messenger.Self())) % slowPolls
	m.pollOnce(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		tick++
		if _, loaded := m.state(); !loaded || tick%slowPolls == 0 || m.isPoller() {
			m.pollOnce(ctx)
		}
	}
}

// pollOnce reads the table service; a node without settings that cannot
// reach it asks its peers.
func (m *Manager) pollOnce(ctx context.Context) {
	_, _, err := m.refresh(ctx)
	m.mu.Lock()
	if err != nil && m.pollError == nil {
		m.logger.Warn("settings poll failed", "error", err)
	} else if err == nil && m.pollError != nil {
		m.logger.Info("settings poll succeeds again", "version", m.tree.version)
	}
	m.pollError, m.polled = err, time.Now()
	loaded := m.loaded
	m.mu.Unlock()
	if err != nil && !loaded {
		m.askPeers(ctx)
	}
}

// errStale means that the table service answered with an older head than one
// that it answered with before.
var errStale = errors.New("settings: the table service answered with an old head")

// refresh reads the head and brings the tree up to it. The tree that it
// returns has exactly the version of the head row.
func (m *Manager) refresh(ctx context.Context) (*Tree, uint64, error) {
	h, row, err := m.store.head(ctx)
	if err != nil {
		return nil, 0, err
	}
	tree, loaded := m.state()
	if h.Version < tree.version {
		return nil, 0, errStale
	}
	if h.Version == tree.version {
		if tree.sum != h.Sum {
			return nil, 0, errDiverged
		}
		if !loaded {
			m.install(tree, nil)
		}
		return tree, row, nil
	}
	return m.catchUp(ctx, tree, h, row)
}

func (m *Manager) catchUp(ctx context.Context, tree *Tree, h head, row uint64) (*Tree, uint64, error) {
	next, entries, err := m.readLog(ctx, tree, h)
	if err != nil && !isPlatformError(err) {
		m.logger.Info("settings read as a whole", "version", tree.version, "head", h.Version, "reason", err)
		next, err = m.store.whole(ctx)
		entries = nil
	}
	if err != nil {
		return nil, 0, err
	}
	m.install(next, entries)
	if next.version != h.Version {
		return nil, 0, errors.Wrap(errStale, "settings changed while they were read")
	}
	return next, row, nil
}

// errFarBehind means that too many log entries are missing.
var errFarBehind = errors.New("settings: too many versions behind")

// readLog reads the entries between a tree and the head.
func (m *Manager) readLog(ctx context.Context, tree *Tree, h head) (*Tree, []Entry, error) {
	missing := h.Version - tree.version
	if missing > m.limits.catchUp {
		return nil, nil, errFarBehind
	}
	var read []Entry
	for tree.version < h.Version {
		entries, err := m.store.entries(ctx, tree.version, min(m.store.scanPage, int(h.Version-tree.version)))
		if err != nil {
			return nil, nil, err
		}
		if len(entries) == 0 {
			return nil, nil, errors.Errorf("settings: log entry %d is missing", tree.version+1)
		}
		for _, e := range entries {
			if tree, err = tree.follow(e); err != nil {
				return nil, nil, err
			}
		}
		read = append(read, entries...)
	}
	return tree, read, nil
}

// isPoller reports whether this node is one of its data centre's pollers.
func (m *Manager) isPoller() bool {
	view := m.view()
	if view == nil {
		return true
	}
	found := make(map[core.NodeID]bool, pollersPerDataCentre)
	// Several keys may have the same owner; with two or more nodes 16 keys
	// have two owners in practice.
	for i := 0; i < 16 && len(found) < pollersPerDataCentre; i++ {
		owner, ok := view.Owner(fmt.Sprintf("settings/poller/%d", i), m.dataCentre)
		if !ok {
			return true
		}
		found[owner] = true
	}
	return found[m.messenger.Self()]
}

// askPeers fetches the settings from the first of a few live peers that has
// them.
func (m *Manager) askPeers(ctx context.Context) {
	peers := m.livePeers()
	if len(peers) == 0 {
		return
	}
	start := int(uint64(time.Now().UnixNano()) / uint64(pollInterval) % uint64(len(peers)))
	for i := range min(askedPeers, len(peers)) {
		if err := m.fetch(ctx, peers[(start+i)%len(peers)]); err == nil {
			return
		}
	}
}
