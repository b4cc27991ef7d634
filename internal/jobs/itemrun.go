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
				progress = progress || !e.IsComment()
				return run.task.addEvent(e)
			})
			if progress {
				run.recordProgress(response)
			}
			if addErr != nil {
				return addErr
			}
		}
		if errors.Is(err, io.EOF) {
			// Without a length, only events show that the replica has not crashed, and
			// without the type of a stream, that the response is the item's.
			sure := response.Framed && response.EventStream() || len(run.task.eventData) > 0
			if len(splitter.Pending()) > 0 || !sure {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// recordProgress records that a complete event has arrived.
func (run *itemRun) recordProgress(response *replica.Response) {
	run.stopWatch() // the run has begun without a crash
	run.observed.RecordEvent(time.Now())
	response.RecordProgress()
	if run.watchdog.Stop() {
		run.watchdog.Reset(itemStallTimeout)
	}
}
