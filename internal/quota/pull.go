package quota

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
)

const (
	// pullTimeout bounds the call to the owner of another data centre.
	pullTimeout = 30 * time.Millisecond
	// pullInterval is the time after a call that did not bring all that was missing until
	// the next.
	pullInterval = 50 * time.Millisecond
	// missedTime is how long the owner of another data centre that did not answer counts
	// as out of reach.
	missedTime = time.Second
)

// pullDue reports whether other owners are to be asked, or are being asked. The caller
// holds the ledger's lock.
func (s *Service) pullDue(o *ownedLedger, now time.Time) bool {
	return o.pull != nil || now.Sub(o.shortAt) >= pullInterval && len(s.candidates().byDataCentre) > 1
}

// startPull asks the owners of the other data centres for a part of their ledgers, unless
// that is in progress. The channel is closed when it has ended. The caller holds the
// ledger's lock.
func (s *Service) startPull(o *ownedLedger, limit Limit, missing float64) <-chan struct{} {
	if o.pull != nil {
		return o.pull
	}
	done := make(chan struct{})
	o.pull = done
	go func() {
		defer contain.Recover(s.Log, "limit of organisation", string(o.org))
		defer func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.pull = nil
			close(done)
		}()
		s.pull(o, limit, missing)
	}()
	return done
}

// pull asks each of the others for all that is missing: one may have what the rest lack.
func (s *Service) pull(o *ownedLedger, limit Limit, missing float64) {
	c := s.candidates()
	var wait sync.WaitGroup
	var mu sync.Mutex
	got, missed := 0.0, false
	for _, dataCentre := range c.dataCentres() {
		if dataCentre == s.Self.DataCentre {
			continue
		}
		wait.Go(func() {
			defer contain.Recover(s.Log, "limit of organisation", string(o.org))
			n, ok := s.pullFrom(c.owners(o.org, dataCentre), &passRequest{Org: o.org, Limit: limit, Count: missing})
			mu.Lock()
			defer mu.Unlock()
			got += n
			missed = missed || !ok
		})
	}
	wait.Wait()
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if missed {
		o.missedAt = now
	}
	if got < missing {
		o.shortAt = now
	}
	if got > 0 {
		o.ledger.Receive(got, now)
		s.counters.passed.Inc(1)
	}
}

// pullFrom asks the first owner of a data centre that answers.
func (s *Service) pullFrom(owners []core.NodeID, req *passRequest) (float64, bool) {
	for _, id := range owners {
		if _, down := s.peers.downFor(id, time.Now()); down {
			continue
		}
		var answer passAnswer
		if s.call(context.Background(), id, kindPass, req, &answer, pullTimeout) == nil {
			if !(answer.Count >= 0 && answer.Count <= req.Count) {
				return 0, true
			}
			return answer.Count, true
		}
	}
	return 0, false
}

func (s *Service) handlePass(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var req passRequest
	if err := msgpack.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	s.noteCaller(from)
	if s.stopping.Load() {
		return nil, errStopping
	}
	if !(req.Count > 0) { // also if it is no number, which the ledger would keep
		return msgpack.Marshal(&passAnswer{})
	}
	now := time.Now()
	s.wake(now)
	limit := s.limitFor(req.Org, req.Limit)
	o := s.ledger(req.Org, limit, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.askedAt = now
	s.set(o, limit, now)
	return msgpack.Marshal(&passAnswer{Count: o.ledger.Pass(req.Count, now)})
}
