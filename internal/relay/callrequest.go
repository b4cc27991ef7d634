package relay

import (
	"context"

	"gentiantide.example/gentiantide/internal/backend"
)

// callRequest is the request for a plain call.
type callRequest struct {
	relay    *Relay
	call     backend.Call
	response backend.CallResponse
}

func (r *callRequest) prepare(*attempt) {}

func (r *callRequest) send(ctx context.Context, a *attempt) error {
	var err error
	a.response, err = r.relay.cfg.Services(a.slot.Address()).Do(ctx, r.call)
	return err
}

func (r *callRequest) consume(a *attempt) (failure, error) {
	r.response = a.response
	return failureNone, nil
}

func (r *callRequest) delivered() int { return 0 }
