package jobs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/events"
	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routes"
)

const (
	// silentItem is the pause in an item's stream after which it goes on
	// elsewhere. Events come every 30 ms; an engine under pressure may preempt
	// a request and read it again.
	silentItem = 1500 * time.Millisecond
	// readBuffer takes a few events at once.
	readBuffer = 4 << 10
)

var (
	errSilentItem = errors.New("no event in time")
	errEventOrder = errors.New("event out of order")
)

// Executor runs items at replicas.
type Executor struct {
	Codec  forward.Codec
	Routes *atomic.Pointer[routes.Table]
	Log    *slog.Logger
}

type routeVerdict int

const (
	routeFound routeVerdict = iota
	// routeUnknown: there is no configuration yet.
	routeUnknown
	// routeGone: the configuration has no route for the item.
	routeGone
)

// route finds an item's route in the present configuration.
func (e *Executor) route(w *work) (*routes.Route, routeVerdict) {
	table := e.Routes.Load()
	if table == nil {
		return nil, routeUnknown
	}
	path, _, _ := strings.Cut(w.item.Path, "?")
	route := table.Match(w.job.entry.Host, path)
	if route == nil {
		return nil, routeGone
	}
	return route, routeFound
}

// run sends an item to a replica and collects its output.
func (e *Executor) run(ctx context.Context, w *work, target *replica.Replica) ending {
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silentItem, func() { cancel(errSilentItem) })
	defer watchdog.Stop()
	start, from := time.Now(), w.last
	end, err := e.exchange(runCtx, w, target, watchdog)
	switch {
	case end != endBroken && end != endNotRun:
	case errors.Is(context.Cause(ctx), errPreempted):
		end = endPreempted
	case ctx.Err() != nil:
		end = endStopped
	default:
		if wait, failed := e.blame(target, err); failed {
			e.Log.Info("replica failed", "item", w.item.ID, "replica", target.Info().ID, "error", err, "avoid_ms", wait.Milliseconds())
		}
	}
	e.Log.Info("item run", "job", w.job.entry.ID, "item", w.item.ID, "replica", target.Info().ID,
		"outcome", end.String(), "from_event", from, "last_event", w.last, "ms", time.Since(start).Milliseconds(), "error", err)
	return end
}

// blame avoids a replica after a failure that may be its own.
func (e *Executor) blame(target *replica.Replica, err error) (time.Duration, bool) {
	if err == nil {
		return 0, false
	}
	return target.Blame(err, time.Now()), true
}

func (e *Executor) exchange(ctx context.Context, w *work, target *replica.Replica, watchdog *time.Timer) (ending, error) {
	header := make(http.Header, len(w.item.Header))
	for name, value := range w.item.Header {
		header.Set(name, value)
	}
	answer, err := target.Send(ctx, &replica.Request{
		Method: http.MethodPost, Target: w.item.Path, Host: w.job.entry.Host,
		Header: e.Codec.ReplicaHeader(header, forward.Send{Replica: target.Info().ID, ResumeAfter: w.last}),
		Body:   w.item.Body, HasBody: true, Answers: e.Codec.Belongs(w.item.ID),
	})
	if err != nil {
		return endBroken, err
	}
	defer answer.Close()
	info := e.Codec.Answer(answer.Status, answer.Header)
	if info.Load != nil {
		target.Reported(*info.Load, time.Now())
	}
	if info.NotRun || answer.Status != http.StatusOK || !info.Proven {
		return e.refused(answer, info)
	}
	if err := collect(w, answer, watchdog); err != nil {
		return endBroken, err
	}
	target.Succeeded()
	return endSucceeded, nil
}

// refused classifies an answer without events.
func (e *Executor) refused(answer *replica.Answer, info forward.AnswerInfo) (ending, error) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, readBuffer)) // a complete one keeps the connection
	switch {
	case info.Misdirected:
		return endNotRun, errors.New("another replica has the address")
	case info.NotRun:
		return endNotRun, nil
	case answer.Status == http.StatusUnprocessableEntity:
		return endImpossible, nil
	case answer.Status == http.StatusInternalServerError:
		return endFailed, nil
	case answer.Status < http.StatusInternalServerError:
		// It says something of the item, not of the replica, but does not allow to
		// give the item up.
		return endDeclined, fmt.Errorf("unexpected answer %d", answer.Status)
	default:
		return endBroken, fmt.Errorf("unexpected answer %d", answer.Status)
	}
}

// collect reads events into the item's output. It returns nil only for an
// output that is complete.
func collect(w *work, answer *replica.Answer, watchdog *time.Timer) error {
	var splitter events.Splitter
	buf := make([]byte, readBuffer)
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			if watchdog.Stop() {
				watchdog.Reset(silentItem)
			}
			if addErr := splitter.Add(buf[:n], w.add); addErr != nil {
				return addErr
			}
		}
		if errors.Is(err, io.EOF) {
			if len(splitter.Rest()) > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// add takes one event.
func (w *work) add(e events.Event) error {
	if e.HasID {
		if w.last != forward.NoResume && e.ID != w.last+1 {
			return errEventOrder
		}
		w.last = e.ID
	}
	w.texts = append(w.texts, append([]byte(nil), e.Data...))
	return nil
}
