package quarantine

import (
	"context"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
)

const (
	// evaluationInterval is the longest time between two looks at a candidate that
	// cannot be decided on yet.
	evaluationInterval = 100 * time.Millisecond
	// maxWitnessParts bounds the parts in one question to the nodes.
	maxWitnessParts = 64
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

// evaluateCandidates decides on the suspects, one after the other, until the crashes do
// not suffice for a decision.
func (s *Service) evaluateCandidates() {
	defer contain.Recover(s.Log, "evaluation of crashes", string(s.Messenger.Self()))
	for {
		candidates := s.candidates()
		asked := suspects(candidates)
		if len(asked) == 0 {
			return
		}
		if wait := time.Until(firstDue(asked)); wait > 0 {
			time.Sleep(min(wait, evaluationInterval)) // further crashes may change the suspects
			continue
		}
		anyProof := s.askWitnesses(append(asked, candidates...))
		if !s.decideOnSuspects(asked, anyProof) {
			return
		}
	}
}

// firstDue returns when the first of the candidates can be decided on.
func firstDue(candidates []*candidate) time.Time {
	first := candidates[0].dueAt()
	for _, c := range candidates {
		if due := c.dueAt(); due.Before(first) {
			first = due
		}
	}
	return first
}

func (s *Service) candidates() []*candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tally.candidates()
}

// askWitnesses asks all nodes for harmless runs with the parts and acquits these
// parts. It returns when the latest harmless run with any part began.
func (s *Service) askWitnesses(candidates []*candidate) (anyProof time.Time) {
	request := witnessRequest{}
	for _, c := range candidates[:min(len(candidates), maxWitnessParts)] {
		request.Parts = append(request.Parts, c.part)
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

// decideOnSuspects quarantines the first suspect that is convincing, after the
// witnesses have spoken. It reports whether the candidates must be looked at again: a
// part was quarantined, a suspect is not due yet, or others are suspected than before.
func (s *Service) decideOnSuspects(asked []*candidate, anyProof time.Time) bool {
	now := time.Now()
	chosen, again := s.chooseSuspect(asked, anyProof, now)
	if chosen == nil {
		return again
	}
	round, reason := 1, "requests with it crashed replicas"
	if e, ok := s.list.get(chosen.part); ok {
		round = e.Round + 1
	}
	if chosen.part.isRequest() {
		reason = "the request crashed replicas"
	}
	s.decide(Entry{
		Part: chosen.part, Round: round, Crashes: chosen.crashes, Until: now.Add(roundDuration(round)), By: s.Messenger.Self(),
	}, reason)
	return true
}

// chooseSuspect returns the suspect to quarantine and takes its crashes out of the
// tally. If there is none, it reports whether to look again.
func (s *Service) chooseSuspect(asked []*candidate, anyProof, now time.Time) (chosen *candidate, again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := suspects(s.tally.candidates())
	for _, c := range current {
		switch {
		case now.Before(c.dueAt()):
			again = true
		case c.convincing(anyProof):
			s.tally.explain(c.part)
			return c, true
		}
	}
	samePart := func(a, b *candidate) bool { return a.part == b.part }
	return nil, len(current) > 0 && (again || !slices.EqualFunc(asked, current, samePart))
}
