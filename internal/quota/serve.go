package quota

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// relayTimeout bounds the call to the owner before this one. The node that asks waits
	// askTimeout for the answer.
	relayTimeout = 25 * time.Millisecond
	// probeTimeout bounds a probe, which a small busy VM answers in some tens of ms.
	probeTimeout = 200 * time.Millisecond
)

var errNoOwner = errors.New("node owns no limits and reaches no owner")

func (s *Service) handleAsk(ctx context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var req askRequest
	if err := msgpack.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	s.noteCaller(from)
	answer, err := s.serve(ctx, &req)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(answer)
}

// serve answers a request for a lease. A node that is not the first owner passes it on to
// one before it that answers.
func (s *Service) serve(ctx context.Context, req *askRequest) (*askAnswer, error) {
	if s.stopping.Load() {
		return nil, errStopping
	}
	owners := s.candidates().owners(req.Org, s.Self.DataCentre)
	own := slices.Index(owners, s.Messenger.Self())
	if !req.Relayed {
		before := owners
		if own >= 0 {
			before = owners[:own]
		}
		if answer := s.relay(ctx, before, req); answer != nil {
			return answer, nil
		}
	}
	if own < 0 {
		return nil, errNoOwner
	}
	return s.lease(ctx, req), nil
}

// relay passes a request on to the first of some owners that answers. One that has not may
// have taken the returns, which the request then no longer holds.
func (s *Service) relay(ctx context.Context, owners []core.NodeID, req *askRequest) *askAnswer {
	relayed := *req
	relayed.Relayed = true
	for _, id := range owners {
		if _, down := s.peers.downFor(id, time.Now()); down {
			continue
		}
		var answer askAnswer
		if s.call(ctx, id, kindAsk, &relayed, &answer, relayTimeout) == nil {
			return &answer
		}
		req.Returns, relayed.Returns = nil, nil
	}
	return nil
}

// lease answers a request from the ledger of this node.
func (s *Service) lease(ctx context.Context, req *askRequest) *askAnswer {
	now := time.Now()
	s.wake(now)
	limit := s.limitFor(req.Org, req.Limit)
	o := s.ledger(req.Org, limit, now)
	needed := max(0, req.Needed)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.askedAt = now
	s.set(o, limit, now)
	for _, r := range req.Returns {
		o.ledger.Return(max(0, r.Count), r.Age, now)
	}
	granted := o.ledger.Lease(needed, max(0, req.Advance), now)
	if missing := o.ledger.Missing(max(0, needed-granted), now); missing > 0 && s.pullDue(o, now) {
		done := s.startPull(o, limit, missing)
		if granted < needed {
			o.mu.Unlock()
			select {
			case <-done:
			case <-ctx.Done():
			}
			o.mu.Lock()
			now = time.Now()
			granted += o.ledger.Lease(needed-granted, 0, now)
		}
	}
	answer := &askAnswer{Granted: granted, Rate: o.ledger.right.perSecond(limit), Use: o.ledger.Use(now), Owner: s.Messenger.Self()}
	if granted < needed {
		answer.Wait = max(time.Millisecond, o.promise(needed-granted, now))
	}
	return answer
}

func (s *Service) handleReturn(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var notice returnNotice
	if err := msgpack.Unmarshal(body, &notice); err != nil {
		return nil, err
	}
	s.noteCaller(from)
	s.mu.Lock()
	o := s.ledgers[notice.Org]
	s.mu.Unlock()
	if o == nil {
		return nil, nil // leased by an owner that has gone: counts as used
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range notice.Returns {
		o.ledger.Return(max(0, r.Count), r.Age, now)
	}
	return nil, nil
}
