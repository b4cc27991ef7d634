package quarantine

import (
	"context"
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

// evaluateCandidates decides on the most likely candidate, and then on the next one,
// until the crashes do not suffice for a decision.
func (s *Service) evaluateCandidates() {
	defer contain.Recover(s.Log, "evaluation of crashes", string(s.Messenger.Self()))
	for {
		candidates := s.candidates()
		likely := mostLikely(candidates)
		if likely == nil || len(likely.moments) < minCrashes {
			return
		}
		if wait := time.Until(likely.dueAt()); wait > 0 {
			time.Sleep(min(wait, evaluationInterval)) // further crashes may change the candidate
			continue
		}
		anyProof := s.askWitnesses(candidates)
		if !s.decideOn(likely.part, anyProof) {
			return
		}
	}
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

// decideOn quarantines a part if it is still the most likely candidate, after the
// witnesses have spoken. It reports whether the candidates must be looked at again:
// the part was quarantined, or another one is more likely now.
func (s *Service) decideOn(part Part, anyProof time.Time) bool {
	now := time.Now()
	s.mu.Lock()
	likely := mostLikely(s.tally.candidates())
	decided := likely != nil && likely.part == part && likely.convincing(anyProof)
	if decided {
		s.tally.explain(part)
	}
	s.mu.Unlock()
	if !decided {
		return likely != nil && likely.part != part
	}
	round := 1
	if e, ok := s.list.get(part); ok {
		round = e.Round + 1
	}
	s.decide(Entry{
		Part: part, Round: round, Crashes: likely.crashes, Until: now.Add(roundDuration(round)), By: s.Messenger.Self(),
	}, "requests with it crashed replicas")
	return true
}
