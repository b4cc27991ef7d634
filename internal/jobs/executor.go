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

	"gentiantide.example/gentiantide/internal/forward"
	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
	"gentiantide.example/gentiantide/internal/sse"
)

const (
	// itemStallTimeout is the time without a complete event after which an item's stream is
	// cancelled, so that the item resumes at another replica. Events normally
	// arrive every 30 ms, but an engine under memory pressure may preempt a
	// request and process its prompt again.
	itemStallTimeout = 1500 * time.Millisecond
	// maxItemStallTimeout bounds that time for an item whose runs have stalled without an
	// event, one after the other. It doubles with each of them: the replicas may be sound,
	// and slow to begin.
	maxItemStallTimeout = 6 * time.Second
	// maxEmptyRuns is the number of runs in a row that resume an item and end with the
	// connection before their first event. Either they were cut, or the item is complete
	// and its end was lost. It then begins anew.
	maxEmptyRuns = 2
	// readBufferSize holds several events.
	readBufferSize = 4 << 10
)

var (
	errItemStalled = errors.New("no data within the stall timeout")
	errEventOrder  = errors.New("event ID out of sequence")
	errForeign     = errors.New("stream holds bytes that are no event")
	errNoEvent     = fmt.Errorf("stream without a length ended before its first event: %w", io.ErrUnexpectedEOF)
)

// Executor sends items to replicas and collects their output.
type Executor struct {
	Codec  forward.Codec
	Routes *atomic.Pointer[routetable.Table]
	// Quarantine holds items back that crash replicas.
	Quarantine *quarantine.Service
	Log        *slog.Logger
}

// newTask returns the state of an item that has not run.
func (e *Executor) newTask(job *ownedJob, item *Item) *itemTask {
	return &itemTask{job: job, item: item, lastEvent: forward.NoResume, parts: e.Codec.PromptParts(item.header())}
}

// quarantined reports whether a part of the item's prompt is quarantined. The item
// stays pending until the quarantine ends or the item is abandoned.
func (e *Executor) quarantined(task *itemTask) bool {
	remaining, blocked := e.Quarantine.Blocked(task.parts)
	if blocked && !task.held {
		e.Log.Info("item held back", "job", task.job.entry.ID, "item", task.item.ID, "reason", "quarantined", "parts", task.parts, "remaining_ms", remaining.Milliseconds())
	}
	task.held = blocked
	return blocked
}

// routeStatus is the result of a route lookup.
type routeStatus int

const (
	routeFound routeStatus = iota
	// routeNotLoaded: no configuration has been loaded yet, or only one older than
	// that under which the job was accepted.
	routeNotLoaded
	// routeMissing: the configuration has no route for the item.
	routeMissing
)

// route finds the route of an item in the current configuration.
func (e *Executor) route(task *itemTask) (*routetable.Route, routeStatus) {
	table := e.Routes.Load()
	if table == nil {
		return nil, routeNotLoaded
	}
	path, _, _ := strings.Cut(task.item.Path, "?")
	route := table.Match(task.job.entry.Host, path)
	switch {
	case route != nil:
		return route, routeFound
	case table.Version < task.job.entry.Config:
		return nil, routeNotLoaded
	default:
		return nil, routeMissing
	}
}

// configVersion returns the version of the current configuration, or 0.
func (e *Executor) configVersion() int64 {
	if table := e.Routes.Load(); table != nil {
		return table.Version
	}
	return 0
}

// run sends an item to a replica, collects its output and classifies the
// outcome. A failure that may be the replica's fault ejects the replica;
// preemption and cancellation do not.
func (e *Executor) run(ctx context.Context, task *itemTask, target *replica.Replica) runOutcome {
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	observed, ok := e.Quarantine.Begin(task.parts, target)
	if !ok { // another request is the trial
		return outcomeDeclined
	}
	run := &itemRun{
		task: task, observed: observed, stopWatch: e.Quarantine.Watch(task.parts, cancel),
		watchdog: time.AfterFunc(task.stallTimeout(), func() { cancel(errItemStalled) }),
	}
	defer run.end()
	start, from, fresh := time.Now(), task.lastEvent, task.output.events == 0
	outcome, err := e.sendItem(runCtx, run, target)
	if outcome == outcomeNotRun || replica.NotSent(err) {
		observed.RecordNotRun()
	}
	switch {
	case outcome != outcomeBroken && outcome != outcomeNotRun:
	case errors.Is(context.Cause(runCtx), quarantine.ErrQuarantined):
		outcome = outcomeDeclined
	case errors.Is(context.Cause(ctx), errPreempted):
		outcome = outcomePreempted
	case ctx.Err() != nil:
		outcome = outcomeStopped
	default:
		if wait, failed := e.ejectReplica(target, err); failed {
			e.Log.Info("replica failed; ejecting it", "item", task.item.ID, "replica", target.Info().ID, "error", err, "avoid_ms", wait.Milliseconds())
		}
	}
	task.crashed = fresh && (task.mayHaveCrashed(outcome, err) || task.mayHaveDarkened(outcome, context.Cause(runCtx)) && observed.ReplicaDark())
	task.recordStall(context.Cause(runCtx))
	e.Log.Info("item run ended", "job", task.job.entry.ID, "item", task.item.ID, "replica", target.Info().ID,
		"outcome", outcome.String(), "from_event", from, "last_event", task.lastEvent, "ms", time.Since(start).Milliseconds(), "error", err)
	return outcome
}

// ejectReplica ejects a replica after an error that may be the replica's fault.
// It returns the minimum duration of the ejection, and whether there was an error.
func (e *Executor) ejectReplica(target *replica.Replica, err error) (time.Duration, bool) {
	if err == nil {
		return 0, false
	}
	return target.RecordError(err, time.Now()), true
}

// sendItem sends the item to the replica, from the last received event on, and
// reads the response.
func (e *Executor) sendItem(ctx context.Context, run *itemRun, target *replica.Replica) (runOutcome, error) {
	task, info, sent := run.task, target.Info(), time.Now()
	run.target, run.software, run.sent, task.newEvents = target, info.Software(), sent, 0
	if task.lastEvent == forward.NoResume {
		task.dropOutput() // of events without IDs: the replica begins with the first one
	}
	if task.begunAt != nil && *task.begunAt != run.software {
		run.observed.RecordNotRun()
		return outcomeDeclined, errOtherSoftware
	}
	response, err := target.Send(ctx, &replica.Request{
		ID: task.item.ID, Method: http.MethodPost, Target: task.item.Path, Host: task.job.entry.Host,
		Header: e.Codec.ReplicaHeader(task.item.header(), e.sendOptions(task, info.ID)),
		Body:   task.item.Body, HasBody: true, MatchResponse: e.Codec.ResponseMatcher(task.item.ID),
	})
	if err != nil {
		if ctx.Err() == nil {
			run.observed.RecordEnd(err, true)
		}
		return outcomeBroken, err
	}
	defer response.Close()
	responseInfo := e.Codec.ParseResponse(task.item.ID, response.Status, response.Header)
	responseInfo.Record(target, info.Started, sent, task.item.ID, e.Log)
	if responseInfo.NotRun || response.Status != http.StatusOK || !responseInfo.Signed {
		return e.classifyResponse(target, response, responseInfo)
	}
	err = run.readEvents(response)
	if err != nil {
		response.MarkBroken()
	}
	if errors.Is(err, errOtherSoftware) {
		task.dropOutput() // the events of this run may be of either version
		return outcomeDeclined, err
	}
	if ctx.Err() == nil {
		run.observed.RecordEnd(err, response.Framed)
	}
	if errors.Is(err, errNoEvent) {
		task.emptyRuns++
	}
	if errors.Is(err, errTextTooLong) || task.emptyRuns >= maxEmptyRuns {
		task.dropOutput() // no replica can go on after it
	}
	if err != nil {
		return outcomeBroken, err
	}
	target.RecordSuccess()
	return outcomeSucceeded, nil
}

// classifyResponse returns the outcome for a response that carries no events.
func (e *Executor) classifyResponse(target *replica.Replica, response *replica.Response, info forward.ResponseInfo) (runOutcome, error) {
	if info.Foreign { // its connection is not reused, as the body is not read
		return outcomeBroken, fmt.Errorf("response with status %d is not of a replica", response.Status)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response, readBufferSize)) // a body read whole lets the connection be reused
	switch {
	case info.Misdirected:
		return outcomeNotRun, errors.New("address now belongs to another replica")
	case info.NotRun:
		return outcomeNotRun, nil
	case response.Status == http.StatusUnprocessableEntity:
		return outcomeImpossible, nil
	case response.Status == http.StatusInternalServerError:
		target.ObserveUnclear() // items are not judged before they run, and some fail everywhere
		return outcomeFailed, nil
	case response.Status < http.StatusInternalServerError:
		// The status concerns the item, not the replica, but does not justify
		// abandoning the item.
		return outcomeDeclined, fmt.Errorf("unexpected status %d from the replica", response.Status)
	default:
		return outcomeBroken, fmt.Errorf("unexpected status %d from the replica", response.Status)
	}
}

// addEvent appends one event to the output. Event IDs must be consecutive, and events
// after one with an ID must have one.
func (task *itemTask) addEvent(e sse.Event) error {
	switch {
	case e.Foreign:
		return errForeign
	case e.IsComment():
		return nil
	case !e.HasID && task.lastEvent != forward.NoResume:
		return errEventOrder
	}
	if e.HasID {
		if task.lastEvent != forward.NoResume && e.ID != task.lastEvent+1 {
			return errEventOrder
		}
		task.lastEvent = e.ID
	}
	return task.output.add(e.Data)
}
