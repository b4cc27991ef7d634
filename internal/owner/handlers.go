package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

func (s *Service) registerHandlers() {
	s.options.Messenger.Handle(KindReserve, s.onReserve)
	s.options.Messenger.Handle(KindRelease, s.onRelease)
	s.options.Messenger.Handle(KindObserve, s.onObserve)
	s.options.Messenger.Handle(KindRegister, s.onRegister)
	s.options.Messenger.Handle(KindCheck, s.onCheck)
}

func (s *Service) onObserve(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var m ObserveMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode observe message")
	}
	s.Observe(m)
	return nil, nil
}

func (s *Service) onReserve(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var m ReserveMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode reserve message")
	}
	return msgpack.Marshal(s.Reserve(from, m))
}

func (s *Service) onRelease(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var m ReleaseMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode release message")
	}
	s.Release(m)
	return nil, nil
}

func (s *Service) onRegister(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var m RegisterMessage
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode register message")
	}
	s.Register(from, m)
	return nil, nil
}

func (s *Service) onCheck(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var summary Summary
	if err := msgpack.Unmarshal(body, &summary); err != nil {
		return nil, errors.Wrap(err, "decode reservation summary")
	}
	return msgpack.Marshal(CheckResponse{Matches: s.MatchesSummary(from, summary)})
}

// ledgerRequest converts a message to a Request. It turns durations into times
// of this node's clock and adds the weight of the organisation.
func (s *Service) ledgerRequest(holder core.NodeID, m ReserveMessage, now time.Time) Request {
	r := Request{
		ID: m.ID, Holder: holder, Class: m.Class, Org: m.Org, Tokens: m.Tokens, NoWait: m.NoWait,
		Probe:  m.Probe,
		Weight: s.options.Settings().Organisation(m.Org).Weight,
	}
	if m.Remaining != 0 {
		r.Deadline = now.Add(m.Remaining)
	}
	if m.Finish != 0 {
		r.Finish = now.Add(m.Finish)
	}
	if m.Due != 0 {
		r.Due = time.UnixMilli(m.Due)
	}
	return r
}

func (s *Service) listedReservation(holder core.NodeID, item RegisterItem, now time.Time) ListedReservation {
	return ListedReservation{
		Request: Request{
			ID: item.ID, Holder: holder, Class: item.Class, Org: item.Org, Tokens: item.Tokens,
			Weight: s.options.Settings().Organisation(item.Org).Weight,
		},
		Since:   now.Add(-item.Age),
		Waiting: item.Waiting,
	}
}
