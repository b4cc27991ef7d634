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

// maxAnswerBytes bounds the text of one answer, which is kept for a resume.
const maxAnswerBytes = 4 << 20

// generationWork is a generation as work. Its fields are written by the
// goroutine of the run only, and only while no attempt is being opened.
type generationWork struct {
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

// startBy returns when the first attempt must have a slot: a request that
// cannot meet the first-token target is refused early.
func (w *generationWork) startBy(service *settings.Deployment) time.Time {
	if w.generation.Class == core.ClassBatch || service.FirstToken <= 0 {
		return time.Time{}
	}
	return w.started.Add(service.FirstToken)
}

func (w *generationWork) prepare(a *attempt) {
	deadline, _ := a.ctx.Deadline()
	a.request = backend.GenerateRequest{
		ID:         w.generation.ID + "." + strconv.Itoa(a.number),
		Model:      w.model,
		Path:       w.generation.Path,
		Body:       w.generation.Body,
		ResumeFrom: w.tokens,
		Generated:  string(w.text),
		Deadline:   deadline,
	}
}

func (w *generationWork) send(ctx context.Context, a *attempt) error {
	stream, err := w.relay.cfg.Engines(a.slot.Address()).Generate(ctx, a.request)
	if err != nil {
		return err
	}
	a.stream = stream
	a.token, a.next = stream.Next()
	if a.next != nil && a.next != io.EOF {
		return a.next
	}
	return nil
}

func (w *generationWork) delivered() int { return w.tokens }

// consume streams to the sink until the answer ends or the attempt fails.
func (w *generationWork) consume(a *attempt) (failure, error) {
	stall := a.newStallTimer()
	defer stall.stop()
	for a.next == nil {
		switch acceptToken(w.tokens, a.token.Index) {
		case tokenGap:
			return failureBroken, errors.Errorf("token %d is missing", w.tokens)
		case tokenNew:
			if f, err := w.deliver(a.token.Text); err != nil {
				return f, err
			}
		}
		stall.start()
		a.token, a.next = a.stream.Next()
		stall.stop()
	}
	if a.next != io.EOF {
		return a.classify(a.next), a.next
	}
	if finish := a.stream.Finish(); complete(finish, w.tokens) {
		w.finish = finish
		return failureNone, nil
	}
	return failureBroken, errors.New("the stream ended early")
}

func (w *generationWork) deliver(text string) (failure, error) {
	if len(w.text)+len(text) > maxAnswerBytes {
		return failureTooLarge, errors.Errorf("the answer is larger than %d bytes", maxAnswerBytes)
	}
	if w.tokens == 0 {
		w.firstToken = time.Since(w.started)
		w.relay.metrics.firstToken.RecordDuration(w.firstToken)
	}
	if err := w.sink.Token(text); err != nil {
		return failureCallerGone, errors.Wrap(err, "writing to the caller")
	}
	w.text = append(w.text, text...)
	w.tokens++
	return failureNone, nil
}
