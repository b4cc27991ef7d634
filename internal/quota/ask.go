package quota

import (
	"context"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// askOrder returns the nodes to ask for a lease: the owners of this data centre that
// answer, then the first ones of the others.
func (s *Service) askOrder(org core.Org, now time.Time) []core.NodeID {
	c := s.candidates()
	isDown := func(id core.NodeID) bool {
		_, down := s.peers.downFor(id, now)
		return down
	}
	out := slices.DeleteFunc(slices.Clone(c.owners(org, s.Self.DataCentre)), isDown)
	for _, dataCentre := range c.dataCentres() {
		if dataCentre == s.Self.DataCentre {
			continue
		}
		for _, id := range c.owners(org, dataCentre) {
			if !isDown(id) {
				out = append(out, id)
				break
			}
		}
	}
	return out
}

// ask asks the owners for a lease until one answers. Only the first of them gets the
// returns: it may have taken them although it has not answered.
func (s *Service) ask(ctx context.Context, req *askRequest) (*askAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, maxAdmissionWait)
	defer cancel()
	for i, id := range s.askOrder(req.Org, time.Now()) {
		if deadline, _ := ctx.Deadline(); i > 0 && time.Until(deadline) < relayTimeout {
			break // too short to tell whether the node answers
		}
		if id == s.Messenger.Self() {
			if answer, err := s.serve(ctx, req); err == nil {
				return answer, nil
			}
			continue
		}
		var answer askAnswer
		if s.call(ctx, id, kindAsk, req, &answer, askTimeout) == nil {
			return &answer, nil
		}
		req.Returns = nil
	}
	return nil, errNoOwner
}
