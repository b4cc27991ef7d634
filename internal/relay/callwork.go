package relay

import (
	"context"

	"gentiantide.example/gentiantide/internal/backend"
)

// callWork is a plain call as work.
type callWork struct {
	relay  *Relay
	call   backend.Call
	answer backend.CallResponse
}

func (w *callWork) prepare(*attempt) {}

func (w *callWork) send(ctx context.Context, a *attempt) error {
	var err error
	a.answer, err = w.relay.cfg.Services(a.slot.Address()).Do(ctx, w.call)
	return err
}

func (w *callWork) consume(a *attempt) (failure, error) {
	w.answer = a.answer
	return failureNone, nil
}

func (w *callWork) delivered() int { return 0 }
