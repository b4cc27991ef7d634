package relay

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/settings"
)

// maxResponseBytes limits the text of one response, which is kept in memory so
// that the generation can be resumed.
const maxResponseBytes = 4 << 20

// generationRequest is the request for a generation. Its fields are written only
// by the executor's goroutine, and only while no attempt is being sent.
type generationRequest struct {
	relay      *Relay
	generation Generation
	model      string
	sink       Sink
	started    time.Time

	text       []byte
	tokens     int
	finish     backend.Finish
	firstToken time.Duration
}

// slotDeadline returns when the first attempt must have a slot; zero means no
// limit. It makes the dispatcher refuse an online request early that cannot meet
// the first-token target.
func (r *generationRequest) slotDeadline(deployment *settings.Deployment) time.Time {
	if r.generation.Class == core.ClassBatch || deployment.FirstToken <= 0 {
		return time.Time{}
	}
	return r.started.Add(deployment.FirstToken)
}

func (r *generationRequest) prepare(a *attempt) {
	deadline, _ := a.ctx.Deadline()
	a.backendRequest = backend.GenerateRequest{
		ID:         r.generation.ID + "." + strconv.Itoa(a.number),
		Model:      r.model,
		Path:       r.generation.Path,
		Body:       r.generation.Body,
		ResumeFrom: r.tokens,
		Generated:  string(r.text),
		Deadline:   deadline,
	}
}

func (r *generationRequest) send(ctx context.Context, a *attempt) error {
	stream, err := r.relay.cfg.Engines(a.slot.Address()).Generate(ctx, a.backendRequest)
	if err != nil {
		return err
	}
	a.stream = stream
	a.token, a.nextErr = stream.Next()
	if a.nextErr != nil && a.nextErr != io.EOF {
		return a.nextErr
	}
	return nil
}

func (r *generationRequest) delivered() int { return r.tokens }

// consume passes tokens to the sink until the stream ends or the attempt fails.
func (r *generationRequest) consume(a *attempt) (failure, error) {
	stall := a.newStallTimer()
	defer stall.stop()
	for a.nextErr == nil {
		switch checkToken(r.tokens, a.token.Index) {
		case tokenGap:
			return failureIncomplete, errors.Errorf("stream has a gap: token %d is missing", r.tokens)
		case tokenNew:
			if f, err := r.deliver(a.token.Text); err != nil {
				return f, err
			}
		}
		stall.start()
		a.token, a.nextErr = a.stream.Next()
		stall.stop()
	}
	if a.nextErr != io.EOF {
		return a.classify(a.nextErr), a.nextErr
	}
	if finish := a.stream.Finish(); isComplete(finish, r.tokens) {
		r.finish = finish
		return failureNone, nil
	}
	return failureIncomplete, errors.New("stream ended without a finish reason or before its last token")
}

func (r *generationRequest) deliver(text string) (failure, error) {
	if len(r.text)+len(text) > maxResponseBytes {
		return failureTooLarge, errors.Errorf("response text exceeds the limit of %d bytes", maxResponseBytes)
	}
	if r.tokens == 0 {
		r.firstToken = time.Since(r.started)
		r.relay.metrics.firstToken.RecordDuration(r.firstToken)
	}
	if err := r.sink.Token(text); err != nil {
		return failureCallerGone, errors.Wrap(err, "passing a token to the caller")
	}
	r.text = append(r.text, text...)
	r.tokens++
	return failureNone, nil
}
