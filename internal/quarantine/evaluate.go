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

// evaluate decides on the candidates of a service's tally until it has not changed since
// the last decision. It runs in one goroutine at most for each service.
func (s *Service) evaluate(service core.DeploymentID) {
	for s.beginEvaluation(service) {
		s.evaluateCandidates(service)
	}
}

// beginEvaluation reports whether the tally has changed since the last evaluation.
func (s *Service) beginEvaluation(service core.DeploymentID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tallyOf(service)
	t.evaluating, t.changed = t.changed, false
	return t.evaluating
}

// evaluateCandidates decides on the suspects, one after the other, until the crashes do
// not suffice for a decision.
func (s *Service) evaluateCandidates(service core.DeploymentID) {
	defer contain.Recover(s.Log, "evaluation of crashes", string(s.Messenger.Self()))
	for {
		candidates := s.candidates(service)
		asked := suspects(candidates)
		if len(asked) == 0 {
			return
		}
		if wait := time.Until(firstDue(asked)); wait > 0 {
			time.Sleep(min(wait, evaluationInterval)) // further crashes may change the suspects
			continue
		}
		parts := questionParts(asked, candidates)
		anyProof, _ := s.askWitnesses(service, parts)
		decided, again := s.decideOnSuspects(service, parts, anyProof)
		switch {
		case decided:
		case again:
			time.Sleep(evaluationInterval)
		default:
			return
		}
	}
}

// questionParts returns the parts that the nodes are asked about: all suspects, and as
// many of the other candidates as one question holds, which may be suspects next.
func questionParts(suspects, candidates []*candidate) []Part {
	var parts []Part
	for _, c := range suspects {
		parts = append(parts, c.part)
	}
	for _, c := range candidates {
		if len(parts) >= maxWitnessParts {
			break
		}
		if !slices.Contains(parts, c.part) {
			parts = append(parts, c.part)
		}
	}
	return parts
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

func (s *Service) candidates(service core.DeploymentID) []*candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tallyOf(service).candidates(s.quarantined)
}

// askWitnesses asks all nodes for harmless runs with the parts and clears these parts of
// the crashes of a service before. It returns when the latest harmless run with any part
// began, and whether any part was not known to be harmless.
func (s *Service) askWitnesses(service core.DeploymentID, parts []Part) (anyProof time.Time, news bool) {
	for question := range slices.Chunk(parts, maxWitnessParts) {
		at, more := s.ask(service, &witnessRequest{Parts: question})
		if at.After(anyProof) {
			anyProof = at
		}
		news = news || more
	}
	return anyProof, news
}

// ask is askWitnesses for the parts of one question.
func (s *Service) ask(service core.DeploymentID, request *witnessRequest) (anyProof time.Time, news bool) {
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
		go s.askWitness(ctx, id, request, answers)
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
		if s.acquit(service, request.Parts, timesOf(answer.Ages, now)) {
			news = true
		}
	}
	return anyProof, news
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

// timesOf returns the times that are some ages ago. A negative age is none.
func timesOf(ages []time.Duration, now time.Time) []time.Time {
	out := make([]time.Time, len(ages))
	for i, age := range ages {
		if age >= 0 {
			out[i] = now.Add(-age)
		}
	}
	return out
}

// decideOnSuspects quarantines the first suspect that is convincing, after the
// witnesses have spoken. If there is none, it reports whether the candidates must be looked
// at again: a suspect is not due yet, or one was not among the asked parts.
func (s *Service) decideOnSuspects(service core.DeploymentID, asked []Part, anyProof time.Time) (decided, again bool) {
	now := time.Now()
	chosen, again := s.chooseSuspect(service, asked, anyProof, now)
	if chosen == nil {
		return false, again
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
	return s.quarantined(chosen.part), false // otherwise it would be chosen again
}

// chooseSuspect returns the suspect to quarantine, which then explains its crashes. If
// there is none, it reports whether to look again. Further crashes may have
// made a suspect of a part that the witnesses were not asked about; it may be harmless.
func (s *Service) chooseSuspect(service core.DeploymentID, asked []Part, anyProof, now time.Time) (chosen *candidate, again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range suspects(s.tallyOf(service).candidates(s.quarantined)) {
		switch {
		case now.Before(c.dueAt()), !slices.Contains(asked, c.part):
			again = true
		case c.rival:
		case c.convincing(anyProof):
			return c, true
		}
	}
	return nil, again
}
