package quota

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
)

// useTimeout bounds the call to one node for an operator's list.
const useTimeout = 200 * time.Millisecond

// FleetUse is the use of an organisation's limit over all nodes that answer.
type FleetUse struct {
	// PerSecond is what was leased in the last window, in requests a second.
	PerSecond float64
	// Refused is the number of requests that the present owners have refused.
	Refused int64
}

// FleetUse asks all nodes that may own organisations for the use of the limits.
func (s *Service) FleetUse(ctx context.Context) map[core.Org]FleetUse {
	total := make(map[core.Org]FleetUse)
	if len(s.duties().limited) == 0 {
		return total
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, list := range s.candidates().byDataCentre {
		for _, record := range list {
			wait.Go(func() {
				defer contain.Recover(s.Log, "use of limits at", string(record.ID))
				var uses []Use
				if s.call(ctx, record.ID, kindUse, nil, &uses, useTimeout) != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				for _, u := range uses {
					sum := total[u.Org]
					sum.PerSecond += u.Use
					sum.Refused += u.Refused
					total[u.Org] = sum
				}
			})
		}
	}
	wait.Wait()
	return total
}

func (s *Service) handleUse(_ context.Context, from core.NodeID, _ []byte) ([]byte, error) {
	s.noteCaller(from)
	return msgpack.Marshal(s.Snapshot())
}
