package streamversion

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/infra"
)

const (
	// maxTxnRecords and maxTxnDeletes bound a transaction, which has at most 100
	// entries: a record counts twice, as it has a condition.
	maxTxnRecords = 40
	maxTxnDeletes = 20
	// minDeletes is the number of expired rows that are deleted without waiting for a
	// record to go with, and maxDeleteDelay the time after which fewer are.
	minDeletes     = 20
	maxDeleteDelay = 30 * time.Second
	// minWriteRetry and maxWriteRetry bound the delay after a failed transaction.
	minWriteRetry = 50 * time.Millisecond
	maxWriteRetry = time.Second
)

// writer writes the rows of this node's streams in one partition, one transaction at a
// time. Streams that wait meanwhile go into the next one together.
type writer struct {
	s         *Service
	partition int
	wake      chan struct{}

	mu    sync.Mutex
	queue []*pendingStream
	// expired are the rows to delete, in the order in which they were added.
	expired []expiredRow
}

// expiredRow is a row that is to be deleted at a time.
type expiredRow struct {
	key streamKey
	due time.Time
}

// record is what one transaction says of a stream.
type record struct {
	stream *pendingStream
	writes int
	value  []byte
	row    uint64
}

// add queues a stream whose wanted version changed.
func (w *writer) add(p *pendingStream) {
	p.mu.Lock()
	queued := p.queued
	p.queued = true
	p.mu.Unlock()
	if queued {
		return
	}
	w.mu.Lock()
	w.queue = append(w.queue, p)
	w.mu.Unlock()
	w.signal()
}

func (w *writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default: // a signal is already pending
	}
}

// end notes that the row of a stream is to be deleted at a time.
func (w *writer) end(p *pendingStream, due time.Time) {
	p.mu.Lock()
	p.ended, p.due = true, due
	sent := p.sent
	p.mu.Unlock()
	if sent {
		w.mu.Lock()
		w.expired = append(w.expired, expiredRow{key: p.key, due: due})
		w.mu.Unlock()
	}
}

// counts returns the number of streams that wait to be written and of rows that wait to
// be deleted.
func (w *writer) counts() (queued, rows int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue), len(w.expired)
}

// run writes until ctx ends.
func (w *writer) run(ctx context.Context) {
	ticker := time.NewTicker(maxDeleteDelay / 3)
	defer ticker.Stop()
	pause := minWriteRetry
	for ctx.Err() == nil {
		err := w.step(ctx)
		switch {
		case errors.Is(err, errNothingToWrite):
			pause = minWriteRetry
			select {
			case <-ctx.Done():
			case <-w.wake:
			case <-ticker.C:
			}
		case err != nil && ctx.Err() == nil:
			w.s.noteWrite(err)
			w.s.log.Info("records of streams not written; trying again", "partition", w.partition, "error", err)
			sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxWriteRetry)
		default:
			w.s.noteWrite(err)
			pause = minWriteRetry
		}
	}
}

var errNothingToWrite = errors.New("no record of a stream is to be written")

// step makes one transaction.
func (w *writer) step(ctx context.Context) (err error) {
	defer contain.Error(w.s.log, "records of streams in partition", partitionName(w.partition), &err)
	if _, known := w.s.Clock(); !known { // rows name a time of the store's clock
		if _, err := w.s.store.Range(ctx, infra.RowRange{Table: VersionsTable}); err != nil {
			return err
		}
	}
	records := w.takeRecords(time.Now())
	deletes := w.takeDeletes(time.Now(), len(records) > 0)
	if len(records)+len(deletes) == 0 {
		return errNothingToWrite
	}
	var txn infra.RowTxn
	for i := range records {
		key := records[i].stream.key.row()
		txn.Conditions = append(txn.Conditions, infra.RowCondition{RowKey: key, Version: records[i].row})
		txn.Writes = append(txn.Writes, infra.RowWrite{RowKey: key, Value: records[i].value})
	}
	for _, d := range deletes {
		txn.Writes = append(txn.Writes, infra.RowWrite{RowKey: d.key.row(), Delete: true})
	}
	row, err := w.s.store.CommitRows(ctx, txn)
	var conflict *infra.RowConflict
	switch {
	case err == nil:
		w.s.counters.records.Inc(int64(len(records)))
		w.s.counters.transactions.Inc(1)
		for i := range records {
			records[i].stream.confirm(records[i].writes, row)
		}
	case errors.As(err, &conflict):
		w.resolveConflict(records, conflict)
		err = nil
	}
	w.putBack(records, deletes, err != nil || conflict != nil)
	return err
}

// resolveConflict takes the state of the rows over from a conflict. A row that has the
// wanted value was written by a transaction whose response was lost.
func (w *writer) resolveConflict(records []record, conflict *infra.RowConflict) {
	for i := range records {
		p := records[i].stream
		row, found := conflict.Find(p.key.row())
		if found && bytes.Equal(row.Value, records[i].value) {
			p.confirm(records[i].writes, row.Version)
			continue
		}
		p.mu.Lock()
		p.row = row.Version
		p.mu.Unlock()
	}
}

// takeRecords takes streams from the queue, without those whose row is not needed.
func (w *writer) takeRecords(now time.Time) []record {
	w.mu.Lock()
	n := min(len(w.queue), maxTxnRecords)
	taken := w.queue[:n:n]
	w.queue = w.queue[n:]
	w.mu.Unlock()
	var out []record
	for _, p := range taken {
		p.mu.Lock()
		if p.stored == p.writes || p.ended && !now.Before(p.due) || now.After(p.until) {
			p.queued = false
			p.mu.Unlock()
			continue
		}
		// An unsent row is scheduled for deletion when its stream has ended; one that is
		// sent after that is scheduled here.
		scheduled := p.ended && !p.sent
		p.sent = true
		if clock, ok := w.s.Clock(); ok && p.begunClock == 0 {
			p.begunClock, p.untilClock = clock, clock+p.until.Sub(now)
		}
		value, err := msgpack.Marshal(&streamRow{Version: p.wanted, Unknown: p.unknown, Begun: p.begunClock, Until: p.untilClock})
		r := record{stream: p, writes: p.writes, value: value, row: p.row}
		p.mu.Unlock()
		if err != nil {
			panic(err) // a violated invariant: the type can be encoded
		}
		if scheduled {
			w.mu.Lock()
			w.expired = append(w.expired, expiredRow{key: p.key, due: p.due})
			w.mu.Unlock()
		}
		out = append(out, r)
	}
	return out
}

// takeDeletes takes rows that are due for deletion, if records go with them, if they are
// many, or if one has waited for long.
func (w *writer) takeDeletes(now time.Time, withRecords bool) []expiredRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out, rest []expiredRow
	overdue := false
	for _, e := range w.expired {
		if now.Before(e.due) || len(out) == maxTxnDeletes {
			rest = append(rest, e)
			continue
		}
		overdue = overdue || now.Sub(e.due) > maxDeleteDelay
		out = append(out, e)
	}
	if len(out) == 0 || !withRecords && len(out) < minDeletes && !overdue {
		return nil
	}
	w.expired = rest
	return out
}

// putBack queues the streams again whose rows have not the wanted version, and the
// deletes of a transaction that was not applied.
func (w *writer) putBack(records []record, deletes []expiredRow, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if failed {
		w.expired = append(w.expired, deletes...)
	}
	for i := range records {
		p := records[i].stream
		p.mu.Lock()
		p.queued = p.stored != p.writes
		if p.queued {
			w.queue = append(w.queue, p)
		}
		p.mu.Unlock()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
