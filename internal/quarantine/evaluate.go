package quarantine

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
)

// evaluate decides on the candidates of the tally until no report has come since the
// last decision. It runs in one goroutine at most.
func (s *Service) evaluate() {
	for s.beginEvaluation() {
		s.evaluateCandidates()
	}
}

// beginEvaluation reports whether there are reports that have not been evaluated.
func (s *Service) beginEvaluation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluating, s.changed = s.changed, false
	return s.evaluating
}

// evaluateCandidates decides on the candidates until none is left or none can be
// decided on.
func (s *Service) evaluateCandidates() {
	defer contain.Recover(s.Log, "evaluation of crashes", string(s.Messenger.Self()))
	for {
		wait, candidates := s.dueCandidates(time.Now())
		switch {
		case len(candidates) > 0:
			if anyProof := s.askWitnesses(candidates); !s.quarantineFirst(anyProof) {
				return
			}
		case wait > 0:
			time.Sleep(wait)
		default:
			return
		}
	}
}

// dueCandidates returns the candidates that can be decided on now, or else the time
// until the first one can be. The time is 0 if there are no candidates.
func (s *Service) dueCandidates(now time.Time) (wait time.Duration, due []candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.tally.candidates() {
		switch left := c.dueAt().Sub(now); {
		case left <= 0:
			due = append(due, c)
		case wait == 0 || left < wait:
			wait = left
		}
	}
	return wait, due
}

// askWitnesses asks all nodes for harmless runs with the parts and acquits these
// parts. It returns when the latest harmless run with any part began.
func (s *Service) askWitnesses(candidates []candidate) (anyProof time.Time) {
	request := witnessRequest{}
	for i := range candidates {
		request.Parts = append(request.Parts, candidates[i].part)
	}
	ids := []core.NodeID{s.Messenger.Self()}
	for _, record := range s.View().Alive {
		if record.ID != s.Messenger.Self() {
			ids = append(ids, record.ID)
		}
	}
	answers := make(chan *witnessResponse, len(ids))
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, id := range ids {
		go s.askWitness(ctx, id, &request, answers)
	}
	for range ids {
		answer := <-answers
		now := time.Now()
		if answer == nil || len(answer.Ages) != len(request.Parts) {
			continue
		}
		if at := now.Add(-answer.Any); answer.Any >= 0 && at.After(anyProof) {
			anyProof = at
		}
		s.acquit(request.Parts, answer.Ages, now)
	}
	return anyProof
}

// askWitness asks one node and sends its answer, or nil if it gives none.
func (s *Service) askWitness(ctx context.Context, id core.NodeID, request *witnessRequest, answers chan<- *witnessResponse) {
	var answer *witnessResponse
	defer func() { answers <- answer }()
	defer contain.Recover(s.Log, "witness", string(id))
	var got witnessResponse
	if err := s.Messenger.Call(ctx, id, kindWitness, request, &got); err != nil {
		s.Log.Info("node did not say which parts are harmless", "node", id, "error", err)
		return
	}
	answer = &got
}

func (s *Service) acquit(parts []Part, ages []time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, part := range parts {
		if ages[i] >= 0 {
			s.tally.acquit(part, now.Add(-ages[i]))
		}
	}
}

// quarantineFirst quarantines the most specific part that is still a candidate. It
// reports whether there was one.
func (s *Service) quarantineFirst(anyProof time.Time) bool {
	now := time.Now()
	s.mu.Lock()
	var found *candidate
	for _, c := range s.tally.candidates() {
		proved := anyProof.After(c.moments[0])
		if !c.dueAt().After(now) && (proved || len(c.moments) >= minCrashesUnproved) {
			found = &c
			s.tally.explain(c.part)
			break
		}
	}
	s.mu.Unlock()
	if found == nil {
		return false
	}
	round := 1
	if e, ok := s.list.get(found.part); ok {
		round = e.Round + 1
	}
	s.decide(Entry{
		Part: found.part, Round: round, Crashes: len(found.moments), Until: now.Add(roundDuration(round)), By: s.Messenger.Self(),
	}, "requests with it crashed replicas")
	return true
}
