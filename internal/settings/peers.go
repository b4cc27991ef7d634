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

// The kinds of messages between the managers of different nodes.
const (
	kindFetch    = "settings.fetch"
	kindAnnounce = "settings.announce"
)

const (
	// maxAnnouncedEntryBytes is the largest log entry that is sent with its
	// announcement. Peers fetch larger ones.
	maxAnnouncedEntryBytes = 16 << 10
	peerTimeout            = 2 * time.Second
	// maxFetchCalls bounds the calls to a peer in one fetch.
	maxFetchCalls = 256
)

// announcement notifies a peer of an accepted change.
type announcement struct {
	Version uint64 `msgpack:"v"`
	Entry   *Entry `msgpack:"e,omitempty"`
}

// OnPeerVersion records the settings version that a peer reported. If it is
// higher than the local version, the settings are fetched from that peer in the
// background. OnPeerVersion does not block.
func (m *Manager) OnPeerVersion(node core.NodeID, version uint64) {
	if version <= m.Current().Version() || node == m.messenger.Self() {
		return
	}
	m.mu.Lock()
	m.peerVersions[node] = max(version, m.peerVersions[node])
	m.mu.Unlock()
	select {
	case m.fetchSignal <- struct{}{}:
	default:
	}
}

// fetchLoop fetches settings from peers that reported a higher version.
func (m *Manager) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.fetchSignal:
		}
		for ctx.Err() == nil {
			node, ok := m.nextFetchPeer()
			if !ok {
				break
			}
			if err := m.fetch(ctx, node); err != nil {
				m.logger.Info("settings fetch failed", "peer", node, "error", err)
			}
		}
	}
}

// nextFetchPeer removes and returns the peer with the highest reported version.
// It drops peers that are not ahead of this node and returns false if none is.
func (m *Manager) nextFetchPeer() (core.NodeID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best core.NodeID
	version := m.tree.version
	for node, v := range m.peerVersions {
		if v <= m.tree.version {
			delete(m.peerVersions, node)
		} else if v > version || v == version && node < best {
			best, version = node, v
		}
	}
	delete(m.peerVersions, best)
	return best, best != ""
}

// livePeers returns the live members other than this node.
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
	if e.size() <= maxAnnouncedEntryBytes {
		message.Entry = &e
	}
	for _, node := range m.livePeers() {
		_ = m.messenger.Send(node, kindAnnounce, message) // a lost message does no harm: heartbeats repeat the version
	}
}

func (m *Manager) handleAnnounce(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var message announcement
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, errors.Wrap(err, "settings: decode announcement")
	}
	if e := message.Entry; e != nil {
		tree, loaded := m.state()
		if next, err := tree.applyEntry(*e); loaded && err == nil {
			m.install(next, []Entry{*e})
		}
	}
	m.OnPeerVersion(from, message.Version)
	return nil, nil
}

// isTransient reports whether the error is an outage of the table service, an
// unknown outcome or an ended context, as opposed to unusable data.
func isTransient(err error) bool {
	return errors.Is(err, infra.ErrUnavailable) || errors.Is(err, infra.ErrOutcomeUnknown) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
