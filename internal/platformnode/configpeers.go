package platformnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/wire"
)

const (
	// kindConfig is the kind of the call that asks a peer for a newer configuration.
	kindConfig = "entry.config"
	// configCheckInterval is the time between checks whether the configuration was
	// confirmed.
	configCheckInterval = 100 * time.Millisecond
	// configSilence is the age of the last confirmation from which a node asks peers. The
	// store confirms the configuration every 2 s while it does not change.
	configSilence = 2500 * time.Millisecond
	// configFailingSilence is the same if the store has refused the last call.
	configFailingSilence = 300 * time.Millisecond
	// configPeers is the number of peers in a round. With a third of the nodes cut off
	// from the store, a round fails once in 27 times.
	configPeers = 3
	// configCallTimeout bounds the call to one peer, which takes a few ms.
	configCallTimeout = 300 * time.Millisecond
	// minConfigPause and maxConfigPause are the time between rounds after one that has
	// brought something, and after several that have not. While the store is away from
	// all nodes, each makes three to six calls a second.
	minConfigPause = 300 * time.Millisecond
	maxConfigPause = time.Second
)

// configQuestion asks a peer for its configuration if that is newer.
type configQuestion struct {
	Version int64 `msgpack:"v"`
}

// configAnswer is the configuration of a peer.
type configAnswer struct {
	Version int64 `msgpack:"v"`
	// Confirmed is set if the version was confirmed, Age ago, to be the newest.
	Confirmed bool          `msgpack:"c"`
	Age       time.Duration `msgpack:"a"`
	// Rows are those of the configuration if it is newer than the asking node's.
	Rows []infra.VersionedRow `msgpack:"r,omitempty"`
}

// serveConfig answers a peer that has not heard of the store.
func (n *Node) serveConfig(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var question configQuestion
	if err := wire.Unmarshal(body, &question); err != nil {
		return nil, err
	}
	var answer configAnswer
	answer.Age, answer.Confirmed = n.configAge(time.Now()) // before the version, which may become newer
	table := n.configs.Table.Load()
	if table == nil {
		return nil, errTablesNotLoaded
	}
	if answer.Version = table.Version; table.Version > question.Version {
		answer.Rows = n.configWatcher.Copy()
		for i := range answer.Rows {
			answer.Rows[i].Table = n.configWatcher.Table
		}
	}
	return msgpack.Marshal(&answer)
}

// followPeersConfig asks peers for a newer configuration while the store does not confirm
// the present one, if that names organisations: a key that was taken away must not be used
// at nodes that only the store has lost.
func (n *Node) followPeersConfig(ctx context.Context) {
	ticker := time.NewTicker(configCheckInterval)
	defer ticker.Stop()
	pause, next := minConfigPause, time.Time{}
	for {
		var now time.Time
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		}
		switch {
		case !n.doubtsConfig(now):
			pause, next = minConfigPause, time.Time{}
		case now.Before(next):
		default:
			if n.askForConfig(ctx) {
				pause = minConfigPause
			} else {
				pause = min(2*pause, maxConfigPause)
			}
			next = now.Add(pause/2 + rand.N(pause/2))
		}
	}
}

// doubtsConfig reports whether there may be a newer configuration than the present one.
func (n *Node) doubtsConfig(now time.Time) bool {
	table := n.configs.Table.Load()
	if table == nil || table.Organisations == nil {
		return false
	}
	age, known := n.configWatcher.ContactAge(now)
	return !known || age > configSilence || n.configWatcher.Failing() && age > configFailingSilence
}

// askForConfig asks some peers, and reports whether one has confirmed the configuration
// later than before or has a newer one.
func (n *Node) askForConfig(ctx context.Context) bool {
	before, known := n.confirmation.at(time.Now())
	var calls sync.WaitGroup
	for _, record := range n.somePeers(configPeers) {
		calls.Go(func() {
			defer contain.Recover(n.log, "question for the configuration", string(record.ID))
			n.askPeerForConfig(ctx, record.ID)
		})
	}
	calls.Wait()
	after, confirmed := n.confirmation.at(time.Now())
	return confirmed && (!known || after.After(before))
}

// askPeerForConfig asks one peer and applies what it has.
func (n *Node) askPeerForConfig(ctx context.Context, peer core.NodeID) {
	version := int64(0)
	if table := n.configs.Table.Load(); table != nil {
		version = table.Version
	}
	ctx, cancel := context.WithTimeout(ctx, configCallTimeout)
	defer cancel()
	asked := time.Now()
	var answer configAnswer
	if err := n.peers.Call(ctx, peer, kindConfig, &configQuestion{Version: version}, &answer); err != nil {
		n.log.Debug("no configuration from peer", "node", peer, "error", err)
		return
	}
	if n.configWatcher.Adopt(answer.Rows) {
		n.log.Info("configuration received from peer", "node", peer, "config", answer.Version, "before", version, "confirmed", answer.Confirmed, "config_age_ms", answer.Age.Milliseconds())
	}
	if table := n.configs.Table.Load(); answer.Confirmed && table != nil && table.Version >= answer.Version {
		n.confirmation.confirm(asked.Add(-answer.Age))
	}
}

// somePeers returns up to count other nodes, drawn at random.
func (n *Node) somePeers(count int) []nodes.Record {
	self, all := n.nodes.Self(), n.nodes.View().Records()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	out := make([]nodes.Record, 0, count)
	for _, record := range all {
		if record.ID != self.ID && len(out) < count {
			out = append(out, record)
		}
	}
	return out
}
