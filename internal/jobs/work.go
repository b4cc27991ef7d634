package jobs

import (
	"bytes"
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/replica"
)

// work is one item that has no result yet.
type work struct {
	job  *ownedJob
	item *Item
	// texts is the data of the events that have arrived, in order.
	texts [][]byte
	// last is the number of the last event, or forward.NoResume.
	last int64
	// ran is the time of the runs that brought events.
	ran time.Duration
	// failures counts answers that say that the run failed.
	failures int
	// notBefore is when the item may be sent again.
	notBefore time.Time
	// replica and cancel are set while the item runs.
	replica *replica.Replica
	cancel  context.CancelCauseFunc
}

func (w *work) text() string { return string(bytes.Join(w.texts, []byte("\n"))) }

// ending is how one run of an item ended.
type ending int

const (
	// endSucceeded: the whole output is there.
	endSucceeded ending = iota
	// endImpossible: the item can never be done.
	endImpossible
	// endFailed: the replica's run failed.
	endFailed
	// endNotRun: the replica did not run the item.
	endNotRun
	// endDeclined: the replica answered with a status that decides nothing.
	endDeclined
	// endBroken: the stream broke off; what came is kept.
	endBroken
	// endPreempted: the run gave way to online work; what came is kept.
	endPreempted
	// endStopped: the job is not this node's any more, or the node stops.
	endStopped
)

func (e ending) String() string {
	return [...]string{"succeeded", "impossible", "failed", "not_run", "declined", "broken", "preempted", "stopped"}[e]
}
