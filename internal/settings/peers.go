package settings

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/membership"
)

// The kinds of messages between managers.
const (
	kindFetch    = "settings.fetch"
	kindAnnounce = "settings.announce"
)

const (
	// announceBytes bounds an entry that is sent with its announcement.
	announceBytes = 16 << 10
	peerTimeout   = 2 * time.Second
	// fetchRounds bounds the messages of one fetch.
	fetchRounds = 256
)

// announcement tells a peer of an accepted change.
type announcement struct {
	Version uint64 `msgpack:"v"`
	Entry   *Entry `msgpack:"e,omitempty"`
}

// OnPeerVersion notes that a node has settings of a version. If that is higher
// than the own one, the settings are fetched from it. It does not block.
func (m *Manager) OnPeerVersion(node core.NodeID, version uint64) {
	if version <= m.Current().Version() || node == m.messenger.Self() {
		return
	}
	m.mu.Lock()
	m.hints[node] = max(version, m.hints[node])
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) followLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for ctx.Err() == nil {
			node, ok := m.bestHint()
			if !ok {
				break
			}
			if err := m.fetch(ctx, node); err != nil {
				m.logger.Info("settings fetch failed", "peer", node, "error", err)
			}
		}
	}
}

// bestHint takes the node with the highest version above the own one; nodes
// that are not ahead are forgotten.
func (m *Manager) bestHint() (core.NodeID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best core.NodeID
	version := m.tree.version
	for node, v := range m.hints {
		if v <= m.tree.version {
			delete(m.hints, node)
		} else if v > version || v == version && node < best {
			best, version = node, v
		}
	}
	delete(m.hints, best)
	return best, best != ""
}

func (m *Manager) livePeers() []core.NodeID {
	view := m.view()
	if view == nil {
		return nil
	}
	var out []core.NodeID
	for _, member := range view.Members() {
		if member.State == membership.StateLive && member.ID != m.messenger.Self() {
			out = append(out, member.ID)
		}
	}
	return out
}

// announce sends an accepted change to all live peers.
func (m *Manager) announce(e Entry) {
	message := announcement{Version: e.Version}
	if e.size() <= announceBytes {
		message.Entry = &e
	}
	for _, node := range m.livePeers() {
		_ = m.messenger.Send(node, kindAnnounce, message) // heartbeats repeat the version
	}
}

func (m *Manager) handleAnnounce(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var message announcement
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, errors.Wrap(err, "settings announcement")
	}
	if e := message.Entry; e != nil {
		tree, loaded := m.state()
		if next, err := tree.follow(*e); loaded && err == nil {
			m.install(next, []Entry{*e})
		}
	}
	m.OnPeerVersion(from, message.Version)
	return nil, nil
}

func isPlatformError(err error) bool {
	return errors.Is(err, infra.ErrUnavailable) || errors.Is(err, infra.ErrOutcomeUnknown) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
