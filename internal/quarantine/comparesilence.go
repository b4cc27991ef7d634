package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/wire"
)

const (
	// maxAsked is the number of nodes that are asked for a silent replica, of which
	// maxAskedNear are in its data centre.
	maxAsked     = 3
	maxAskedNear = 2
	// reachCallTimeout bounds a question, for which the node may try to connect.
	reachCallTimeout = verifyTimeout + callTimeout
)

// silenceScope says who has lost contact to a replica.
type silenceScope int

const (
	// silenceUnclear is a silence on which no other node could be asked.
	silenceUnclear silenceScope = iota
	// silenceOwn is that of this node, or of the whole data centre: a cut, or an outage.
	silenceOwn
	// silenceShared is that of the replica alone for all nodes that were asked.
	silenceShared
)

// compareSilence finds out whether other nodes have lost contact to a replica as well, and
// whether other replicas of its data centre can be reached.
func (s *Service) compareSilence(target *replica.Replica, started int64) silenceScope {
	ctx, cancel := context.WithTimeout(context.Background(), reachCallTimeout)
	defer cancel()
	near, far := s.nodesToAsk(target.Info().DataCentre)
	request := &reachRequest{Replica: target.Info().ID, Started: started}
	fromNear, fromFar := s.askAllReach(ctx, near, request), s.askAllReach(ctx, far, request)
	reached, tried := s.Registry.ReachesOthers(ctx, target)
	if tried > 0 && reached == 0 {
		return silenceOwn
	}
	confirmedNear, answersNear := countReach(fromNear)
	confirmedFar, answersFar := countReach(fromFar)
	inside := len(near) == 0 || target.Info().DataCentre == s.DataCentre
	switch {
	case answersNear+answersFar > 0:
		return silenceOwn
	case confirmedNear > 0, inside && confirmedFar > 0, len(near)+len(far) == 0 && reached > 0:
		return silenceShared
	default:
		return silenceUnclear
	}
}

// reachesNeighbours reports whether other replicas of a replica's data centre can be
// reached, as far as there are any.
func (s *Service) reachesNeighbours(target *replica.Replica) bool {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	reached, tried := s.Registry.ReachesOthers(ctx, target)
	return tried == 0 || reached > 0
}

// askAllReach asks nodes whether a replica answers them, and returns their answers.
func (s *Service) askAllReach(ctx context.Context, ids []core.NodeID, request *reachRequest) <-chan reachResponse {
	answers := make(chan reachResponse, len(ids))
	for _, id := range ids {
		go s.askReach(ctx, id, request, answers)
	}
	return answers
}

// countReach waits for answers and counts them.
func countReach(from <-chan reachResponse) (silent, answers int) {
	for range cap(from) {
		response := <-from
		if response.Silent {
			silent++
		}
		if response.Answers {
			answers++
		}
	}
	return silent, answers
}

// nodesToAsk returns some nodes of a data centre and of others. Nodes outside that are cut
// off from it together would confirm each other.
func (s *Service) nodesToAsk(dc core.DataCentre) (near, far []core.NodeID) {
	records := s.View().Records()
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	for i := range records {
		switch {
		case records[i].ID == s.Messenger.Self():
		case records[i].DataCentre == dc && len(near) < maxAskedNear:
			near = append(near, records[i].ID)
		case records[i].DataCentre != dc && len(far) < maxAsked:
			far = append(far, records[i].ID)
		}
	}
	return near, far[:min(len(far), maxAsked-len(near))]
}

// askReach asks a node whether a replica answers it.
func (s *Service) askReach(ctx context.Context, id core.NodeID, request *reachRequest, answers chan<- reachResponse) {
	var answer reachResponse
	defer func() { answers <- answer }()
	defer contain.Recover(s.Log, "question about a replica", string(id))
	if err := s.Messenger.Call(ctx, id, kindReach, request, &answer); err != nil {
		answer = reachResponse{}
		s.Log.Info("node did not say whether a replica answers", "node", id, "replica", request.Replica, "error", err)
	}
}

// handleReach says whether a replica answers this node.
func (s *Service) handleReach(ctx context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var request reachRequest
	if err := wire.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	var response reachResponse
	if target := s.Registry.Get(request.Replica); target != nil && target.Info().Started == request.Started {
		if time.Since(target.LastHeard()) < silenceTime {
			response.Answers = true
		} else {
			ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
			defer cancel()
			result := target.Connect(ctx)
			response.Answers = result == replica.Open
			response.Silent = result == replica.Silent || result == replica.Refused
		}
	}
	return msgpack.Marshal(&response)
}
