package quota

import (
	"context"
	"maps"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// askTimeout bounds the call to one owner.
	askTimeout = 60 * time.Millisecond
	// maxAdmissionWait is how long a request waits for the owners' answers. Most requests
	// must begin within 300 ms.
	maxAdmissionWait = 130 * time.Millisecond
	// maxTurnWait is how long a request waits for its turn instead of being refused.
	maxTurnWait = 50 * time.Millisecond
	// minRetryAfter is the least time to retry. A caller that comes back through another
	// data centre gets what the first one's ledger no longer keeps for it.
	minRetryAfter = leaseTime + slotTime
	// unansweredTime is how long a node doesn't ask after no owner has answered.
	unansweredTime = 100 * time.Millisecond
)

// nodeAccount is the account of an organisation at this node.
type nodeAccount struct {
	org core.Org

	mu sync.Mutex
	account
	limit Limit
	// alone admits requests while no owner answers.
	alone *Ledger
	// waiting is the number of requests that wait for the end of the round, in which the
	// owner is asked.
	waiting         int
	round           chan struct{}
	unansweredUntil time.Time
	answer          askAnswer
	answeredAt      time.Time
}

// nodeAccount returns the account of an organisation.
func (s *Service) nodeAccount(org *routetable.Organisation, now time.Time) *nodeAccount {
	if a := (*s.accounts.Load())[org.Name]; a != nil {
		return a
	}
	s.accountsMu.Lock()
	defer s.accountsMu.Unlock()
	current := *s.accounts.Load()
	if a := current[org.Name]; a != nil {
		return a
	}
	limit := limitOf(org)
	c := s.candidates()
	a := &nodeAccount{org: org.Name, limit: limit, alone: NewLedger(limit, loneRight(c.nodes, c.dataCentresKnown), now)}
	a.alone.level = 0
	next := maps.Clone(current)
	next[org.Name] = a
	s.accounts.Store(&next)
	return a
}

// forgetAccounts drops the accounts of organisations that are not limited any more.
func (s *Service) forgetAccounts(limited map[core.Org]*routetable.Organisation) {
	s.accountsMu.Lock()
	defer s.accountsMu.Unlock()
	current := *s.accounts.Load()
	next := maps.Clone(current)
	maps.DeleteFunc(next, func(org core.Org, _ *nodeAccount) bool { return limited[org] == nil })
	if len(next) != len(current) {
		s.accounts.Store(&next)
	}
}

// Admit implements forward.Quota.
func (s *Service) Admit(org *routetable.Organisation, now time.Time) forward.QuotaDecision {
	if !org.Limited() {
		return forward.QuotaDecision{Admitted: true, AdmittedAt: now}
	}
	a := s.nodeAccount(org, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limitOf(org)
	arrivedAt := now
	for arrives := true; ; arrives = false {
		switch a.admit(arrives, now) {
		case admitted:
			if a.low() && a.round == nil && !now.Before(a.unansweredUntil) {
				s.startRound(a)
			}
			s.counters.admitted.Inc(1)
			return forward.QuotaDecision{Admitted: true, AdmittedAt: now}
		case refused:
			turn := a.retryAt.Sub(now)
			if turn > maxTurnWait || now.Sub(arrivedAt)+turn > maxAdmissionWait {
				return s.refuse(a, now)
			}
			a.mu.Unlock()
			time.Sleep(turn)
			a.mu.Lock()
			now = time.Now()
			continue
		}
		left := maxAdmissionWait - now.Sub(arrivedAt)
		if left <= 0 || now.Before(a.unansweredUntil) {
			return s.admitAlone(a, now)
		}
		s.await(a, left)
		now = time.Now()
	}
}

// await waits for the end of the round in which the owner is asked. The caller holds the
// lock, which is free meanwhile.
func (s *Service) await(a *nodeAccount, most time.Duration) {
	a.waiting++
	if a.round == nil {
		s.startRound(a)
	}
	round := a.round
	a.mu.Unlock()
	timer := time.NewTimer(most)
	select {
	case <-round:
	case <-timer.C:
	}
	timer.Stop()
	a.mu.Lock()
	a.waiting--
}

// refuse returns the decision on a request beyond the limit.
func (s *Service) refuse(a *nodeAccount, now time.Time) forward.QuotaDecision {
	s.counters.refused.Inc(1)
	wait := max(minRetryAfter, a.retryAt.Sub(now))
	return forward.QuotaDecision{RetryAfter: wait, Share: a.answer.Rate, Use: a.answer.Use, Owner: a.answer.Owner, Age: now.Sub(a.answeredAt)}
}

// admitAlone decides on a request while no owner answers.
func (s *Service) admitAlone(a *nodeAccount, now time.Time) forward.QuotaDecision {
	c := s.candidates()
	a.alone.Set(a.limit, loneRight(c.nodes, c.dataCentresKnown), now)
	if a.alone.Lease(1, 0, now) == 1 {
		s.counters.alone.Inc(1)
		return forward.QuotaDecision{Admitted: true, AdmittedAt: now}
	}
	a.retryAt = now.Add(max(unansweredTime, a.alone.Wait(1, now)))
	a.answer = askAnswer{Rate: a.alone.right.perSecond(a.limit), Use: a.alone.Use(now), Owner: s.Messenger.Self()}
	a.answeredAt = now
	return s.refuse(a, now)
}

// Return implements forward.Quota.
func (s *Service) Return(org *routetable.Organisation, decision forward.QuotaDecision, now time.Time) {
	if !decision.Admitted || !org.Limited() {
		return
	}
	a := s.nodeAccount(org, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	// The owner has counted it up to leaseTime before.
	a.giveBack(lease{left: 1, at: decision.AdmittedAt.Add(-leaseTime)})
}

// startRound asks the owner in the background. The caller holds the lock.
func (s *Service) startRound(a *nodeAccount) {
	a.round = make(chan struct{})
	go func() {
		defer contain.Recover(s.Log, "limit of organisation", string(a.org))
		s.runRound(a)
	}()
}

func (s *Service) runRound(a *nodeAccount) {
	a.mu.Lock()
	askedAt := time.Now()
	req := &askRequest{Org: a.org, Limit: a.limit, Needed: a.waiting, Advance: a.advance(), Returns: a.takeReturns(askedAt)}
	a.mu.Unlock()
	s.counters.asks.Inc(1)
	answer, err := s.ask(context.Background(), req)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		s.counters.unanswered.Inc(1)
		a.unansweredUntil = now.Add(unansweredTime)
	} else {
		a.answer, a.answeredAt = *answer, now
		a.granted(min(max(0, answer.Granted), req.Needed+req.Advance), askedAt, now)
		if answer.Granted < req.Needed {
			a.refusedFor(answer.Wait, now)
		}
	}
	close(a.round)
	a.round = nil
}

// giveBack returns to the owners what leases that are over have left.
func (s *Service) giveBack(now time.Time) {
	for _, a := range *s.accounts.Load() {
		a.mu.Lock()
		a.expire(now)
		returns := a.takeReturns(now)
		a.mu.Unlock()
		if len(returns) == 0 {
			continue
		}
		for _, id := range s.askOrder(a.org, now) {
			if s.Messenger.Send(id, kindReturn, &returnNotice{Org: a.org, Returns: returns}) == nil {
				break
			}
		}
	}
}
