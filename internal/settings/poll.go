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
	// pollInterval is the time between polls of the table service by the pollers
	// of a data centre, and by a node that has not loaded its settings yet.
	pollInterval = time.Second
	// slowPollTicks is the number of poll intervals between polls by all other
	// nodes: 30 s.
	slowPollTicks = 30
	// pollersPerDataCentre is 2, so that polling continues while one poller is
	// down and its failure has not been detected yet.
	pollersPerDataCentre = 2
	// peersAskedPerTick is the number of peers from which a node without settings
	// tries to fetch them in one poll interval.
	peersAskedPerTick = 3
)

// pollLoop polls the table service every pollInterval if this node is a poller
// or has no settings yet, and every slowPollTicks intervals otherwise.
func (m *Manager) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	// Start at a phase derived from the node ID, to spread the slow polls of all
	// nodes over the period.
	tick := xxhash.Sum64String(string(m.messenger.Self())) % slowPollTicks
	m.pollOnce(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		tick++
		if _, loaded := m.state(); !loaded || tick%slowPollTicks == 0 || m.isPoller() {
			m.pollOnce(ctx)
		}
	}
}

// pollOnce updates the settings from the table service. A node that has no
// settings yet and cannot reach the table service fetches them from peers.
func (m *Manager) pollOnce(ctx context.Context) {
	_, _, err := m.refresh(ctx)
	m.mu.Lock()
	if err != nil && m.pollError == nil {
		m.logger.Warn("settings poll failed", "error", err)
	} else if err == nil && m.pollError != nil {
		m.logger.Info("settings poll succeeded after earlier failures", "version", m.tree.version)
	}
	m.pollError, m.lastPoll = err, time.Now()
	loaded := m.loaded
	m.mu.Unlock()
	if err != nil && !loaded {
		m.fetchFromPeers(ctx)
	}
}

// errStaleHead means that the head row that was read is older than the settings
// that this node already has.
var errStaleHead = errors.New("settings: the table service returned an old head row")

// refresh reads the head row and updates the tree to its version. It returns the
// tree, which has exactly the version in the head row, and the row version.
func (m *Manager) refresh(ctx context.Context) (*Tree, uint64, error) {
	h, rowVersion, err := m.store.head(ctx)
	if err != nil {
		return nil, 0, err
	}
	tree, loaded := m.state()
	if h.Version < tree.version {
		return nil, 0, errStaleHead
	}
	if h.Version == tree.version {
		if tree.sum != h.Sum {
			return nil, 0, errChecksumMismatch
		}
		if !loaded {
			m.install(tree, nil)
		}
		return tree, rowVersion, nil
	}
	return m.catchUp(ctx, tree, h, rowVersion)
}

// catchUp updates a tree to the head: it applies the missing log entries, or
// reads the full tree if they are too many, missing or do not fit.
func (m *Manager) catchUp(ctx context.Context, tree *Tree, h head, rowVersion uint64) (*Tree, uint64, error) {
	next, entries, err := m.readLog(ctx, tree, h)
	if err != nil && !isTransient(err) {
		m.logger.Info("reading the full settings tree instead of log entries", "version", tree.version, "head", h.Version, "reason", err)
		next, err = m.store.readTree(ctx)
		entries = nil
	}
	if err != nil {
		return nil, 0, err
	}
	m.install(next, entries)
	if next.version != h.Version {
		return nil, 0, errors.Wrap(errStaleHead, "settings changed during the read")
	}
	return next, rowVersion, nil
}

// errTooFarBehind means that more than limits.maxReplayedEntries log entries are
// missing.
var errTooFarBehind = errors.New("settings: too many versions behind to read the log")

// readLog reads the log entries between a tree and the head and applies them.
// It returns the new tree and the entries.
func (m *Manager) readLog(ctx context.Context, tree *Tree, h head) (*Tree, []Entry, error) {
	missing := h.Version - tree.version
	if missing > m.limits.maxReplayedEntries {
		return nil, nil, errTooFarBehind
	}
	var read []Entry
	for tree.version < h.Version {
		entries, err := m.store.entries(ctx, tree.version, min(m.store.scanPageRows, int(h.Version-tree.version)))
		if err != nil {
			return nil, nil, err
		}
		if len(entries) == 0 {
			return nil, nil, errors.Errorf("settings: log entry %d is missing", tree.version+1)
		}
		for _, e := range entries {
			if tree, err = tree.applyEntry(e); err != nil {
				return nil, nil, err
			}
		}
		read = append(read, entries...)
	}
	return tree, read, nil
}

// isPoller reports whether this node is one of the pollers of its data centre.
// The pollers are the owners of fixed keys, so all nodes agree on them. A node
// polls if it does not know the members yet.
func (m *Manager) isPoller() bool {
	view := m.view()
	if view == nil {
		return true
	}
	found := make(map[core.NodeID]bool, pollersPerDataCentre)
	// Several keys may have the same owner. With two or more nodes, 16 keys
	// practically always have two different owners.
	for i := 0; i < 16 && len(found) < pollersPerDataCentre; i++ {
		owner, ok := view.Owner(fmt.Sprintf("settings/poller/%d", i), m.dataCentre)
		if !ok {
			return true
		}
		found[owner] = true
	}
	return found[m.messenger.Self()]
}

// fetchFromPeers fetches the settings from the first of peersAskedPerTick live
// peers that can provide them. The first peer rotates from one interval to the
// next.
func (m *Manager) fetchFromPeers(ctx context.Context) {
	peers := m.livePeers()
	if len(peers) == 0 {
		return
	}
	start := int(uint64(time.Now().UnixNano()) / uint64(pollInterval) % uint64(len(peers)))
	for i := range min(peersAskedPerTick, len(peers)) {
		if err := m.fetch(ctx, peers[(start+i)%len(peers)]); err == nil {
			return
		}
	}
}
