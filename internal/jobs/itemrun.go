package jobs

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/sse"
)

// itemRun is one run of an item at a replica.
type itemRun struct {
	task *itemTask
	// observed is nil if the item shares no part of its prompt.
	observed *quarantine.Run
	// stopWatch ends the watch that cancels the run when a part is quarantined.
	stopWatch func()
	// watchdog cancels the run when no event has arrived for the stall timeout.
	watchdog *time.Timer
	// target is the replica, and software what it ran when the item was sent to it.
	target   *replica.Replica
	software replica.Software
	// sent is when the item was sent, and begun is set once the run has brought an event.
	sent  time.Time
	begun bool
}

// end releases what the run holds.
func (run *itemRun) end() {
	run.watchdog.Stop()
	run.stopWatch()
	run.observed.End()
}

// readEvents appends the events of a response to the item's output. It returns
// nil only if the output is complete.
func (run *itemRun) readEvents(response *replica.Response) error {
	var splitter sse.Splitter
	buf := make([]byte, readBufferSize)
	for {
		n, err := response.Read(buf)
		if n > 0 {
			progress := false
			addErr := splitter.Add(buf[:n], func(e sse.Event) error {
				if run.restarted() {
					return errOtherSoftware
				}
				progress = progress || !e.IsComment()
				return run.addEvent(e)
			})
			if progress {
				run.recordProgress(response)
			}
			if addErr != nil {
				return addErr
			}
		}
		if errors.Is(err, io.EOF) {
			// Without a length, only events of this run show that the replica has not
			// crashed, and without the type of a stream, that the response is the item's.
			sure := response.Framed && response.EventStream() || run.task.newEvents > 0
			if len(splitter.Pending()) > 0 {
				return io.ErrUnexpectedEOF
			}
			if !sure {
				return errNoEvent
			}
			if run.restarted() {
				return errOtherSoftware
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// restarted reports whether the replica has registered with another version since the
// item was sent to it. What comes from it since then may be from either process.
func (run *itemRun) restarted() bool { return run.target.Info().Software() != run.software }

// addEvent appends one event to the output.
func (run *itemRun) addEvent(e sse.Event) error {
	task, events := run.task, run.task.output.events
	if err := task.addEvent(e); err != nil {
		return err
	}
	if task.output.events > events {
		task.begunAt = &run.software
		task.newEvents++
		task.emptyRuns = 0
	}
	return nil
}

// recordProgress records that a complete event has arrived.
func (run *itemRun) recordProgress(response *replica.Response) {
	run.stopWatch() // the run has begun without a crash
	if !run.begun {
		run.begun = true
		run.target.ObserveSuccess(run.sent)
	}
	run.task.begun.Store(true)
	run.observed.RecordEvent(time.Now())
	response.RecordProgress()
	if run.watchdog.Stop() {
		run.watchdog.Reset(itemStallTimeout)
	}
}
