package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
)

// announceTimeout bounds the call to one node. A node that doesn't get it finds out by
// itself.
const announceTimeout = 200 * time.Millisecond

var errStopping = errors.New("node stops")

// Stop makes other nodes ask the next owners. It returns when they know, or ctx has ended.
func (s *Service) Stop(ctx context.Context) {
	s.stopping.Store(true)
	if len(s.duties().limited) > 0 {
		s.announce(ctx, true)
		s.handOver(ctx)
	}
}

// handOver leaves the next owners what the ledgers of this node have, if it is the owner
// now: what it holds from a time at which it was one is in the ledger of another. What an
// owner gets that does not answer is not offered to another, unless the owner has refused
// it.
func (s *Service) handOver(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	owned := slices.Collect(maps.Values(s.ledgers))
	s.mu.Unlock()
	var wait sync.WaitGroup
	for _, o := range owned {
		o.mu.Lock()
		s.set(o, o.ledger.limit, now)
		if o.ledger.right.Share < dataCentreRight(s.candidates().dataCentresKnown).Share {
			o.mu.Unlock()
			continue
		}
		message := &passRequest{Org: o.org, Limit: o.ledger.limit, Count: o.ledger.Drain(now)}
		o.mu.Unlock()
		wait.Go(func() {
			defer contain.Recover(s.Log, "limit of organisation", string(o.org))
			for _, id := range s.candidates().owners(o.org, s.Self.DataCentre) {
				if _, down := s.peers.downFor(id, time.Now()); down || id == s.Messenger.Self() {
					continue
				}
				var refusal *peer.RemoteError
				if err := s.call(ctx, id, kindHandOver, message, nil, announceTimeout); !errors.As(err, &refusal) {
					return
				}
			}
		})
	}
	wait.Wait()
}

func (s *Service) handleHandOver(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var message passRequest
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	if s.stopping.Load() {
		return nil, errStopping
	}
	s.noteCaller(from)
	now := time.Now()
	limit := s.limitFor(message.Org, message.Limit)
	o := s.ledger(message.Org, limit, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.askedAt = now
	s.set(o, limit, now)
	if message.Count > 0 {
		most := dataCentreRight(s.candidates().dataCentresKnown).burst(limit)
		o.ledger.Receive(min(message.Count, most), now)
	}
	return nil, nil
}

// announce tells the nodes that this one has started or stops. Nodes that read the
// directory at other times would use two owners until then.
func (s *Service) announce(ctx context.Context, stopping bool) {
	view := s.View()
	if view == nil {
		return
	}
	message := &announcement{Node: s.Self, Stopping: stopping}
	var wait sync.WaitGroup
	for _, record := range view.Records() {
		if record.ID == s.Messenger.Self() || record.DataCentre != s.Self.DataCentre {
			continue
		}
		wait.Go(func() {
			defer contain.Recover(s.Log, "announcement to", string(record.ID))
			_ = s.call(ctx, record.ID, kindAnnounce, message, nil, announceTimeout)
		})
	}
	wait.Wait()
}

func (s *Service) handleAnnouncement(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var message announcement
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	if message.Node.ID != from {
		return nil, errors.Errorf("node %s announced by node %s", message.Node.ID, from)
	}
	now := time.Now()
	if message.Stopping {
		s.peers.stopped(from, now)
		return nil, nil
	}
	s.peers.heard(from, now)
	if message.Node.Address != "" && s.AddNode(message.Node) {
		s.Log.Info("a node that the table did not show has started", "node", from)
	}
	return nil, nil
}
