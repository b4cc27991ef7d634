package service

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// oracle plays the backend servers and checks each execution and each applied
// transaction against what has happened before.
type oracle struct {
	mu         sync.Mutex
	executions map[string]int             // item id to executions
	sent       map[string]int             // non-idempotent item id to calls that may have run
	committed  map[string]map[string]bool // job and part to items with a result
	rows       map[string]int             // range row to items with a result
	cancelled  map[string]bool
	violations []string
}

func newOracle() *oracle {
	return &oracle{
		executions: make(map[string]int), sent: make(map[string]int), rows: make(map[string]int),
		committed: make(map[string]map[string]bool), cancelled: make(map[string]bool),
	}
}

func (o *oracle) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// run is the runner of all nodes.
func (o *oracle) run(node core.NodeID, ctx context.Context, item batch.Item) batch.Outcome {
	execution := o.begin(node, item)
	duration := time.Duration(1+item.Index%3) * time.Second
	if item.Index%11 == 4 {
		duration = 40 * time.Second
	}
	select {
	case <-time.After(duration):
		return outcomeOf(item, execution)
	case <-ctx.Done():
		if item.NonIdempotent {
			return batch.Outcome{Kind: batch.Unknown}
		}
		return batch.Outcome{Kind: batch.ItemFailure, Message: "interrupted"}
	}
}

// outcomeOf says how an execution of an item ends if nothing interrupts it.
func outcomeOf(item batch.Item, execution int) batch.Outcome {
	switch {
	case item.Index%17 == 3:
		return batch.Outcome{Kind: batch.Invalid, Code: core.CodeInvalidRequest}
	case item.Index%13 == 5:
		return batch.Outcome{Kind: batch.ItemFailure, Code: core.CodeOverloaded}
	case item.Index%7 == 2 && execution <= 2:
		return batch.Outcome{Kind: batch.BackendFailure, Execution: core.NotRun}
	default:
		return batch.Outcome{Kind: batch.Done, Body: item.Body}
	}
}

func (o *oracle) begin(node core.NodeID, item batch.Item) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.executions[item.ID]++
	if o.cancelled[string(item.Job)] {
		o.violate("%s starts %s after the job was cancelled", node, item.ID)
	}
	part := item.ID[:strings.LastIndexByte(item.ID, '-')]
	if o.committed[part][fmt.Sprint(item.Index)] {
		o.violate("%s starts %s, which has a committed result", node, item.ID)
	}
	if out := outcomeOf(item, o.executions[item.ID]); item.NonIdempotent && out.Kind != batch.BackendFailure {
		if o.sent[item.ID]++; o.sent[item.ID] > 1 {
			o.violate("%s sends non-idempotent %s again", node, item.ID)
		}
	}
	return o.executions[item.ID]
}

// applied checks a transaction that has taken effect.
func (o *oracle) applied(txn infra.Txn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range txn.Writes {
		switch kind, rest, _ := strings.Cut(w.Key, "/"); kind {
		case "job":
			if job, err := records.Decode[records.Job](w.Value); err == nil {
				o.cancelled[rest] = job.State == records.JobCancelled
			}
		case "range":
			job, id, _ := strings.Cut(rest, "/")
			row, err := records.Decode[records.Range](w.Value)
			if err != nil {
				o.violate("row %s: %v", w.Key, err)
				continue
			}
			o.rangeWritten(job, id, &row)
		}
	}
}

func (o *oracle) rangeWritten(job, id string, row *records.Range) {
	if o.cancelled[job] {
		o.violate("range %s of %s is written after the job was cancelled", id, job)
	}
	part := fmt.Sprintf("batch_req_%s-%d", job, records.Part(id))
	if o.committed[part] == nil {
		o.committed[part] = make(map[string]bool)
	}
	for i := range 8 * len(row.Done) {
		if row.Done.Has(i) {
			o.committed[part][fmt.Sprint(i)] = true
		}
	}
	o.rows[part+"/"+id] = row.Done.Count()
	total := 0
	for key, n := range o.rows {
		if strings.HasPrefix(key, part+"/") {
			total += n
		}
	}
	if total != len(o.committed[part]) {
		o.violate("the rows of %s name %d results for %d items", part, total, len(o.committed[part]))
	}
	if n, _ := row.Counts(); n != row.Done.Count() {
		o.violate("the segments of range %s of %s hold %d results for %d items", id, job, n, row.Done.Count())
	}
}

// observedTable reports applied transactions to the oracle. While late is
// above 0, every late-th commit is answered as unknown and applied later.
type observedTable struct {
	infra.Table
	o  *oracle
	mu sync.Mutex
	// turn admits one commit at a time. It is a channel, since a goroutine
	// that waits for a mutex keeps the time of a synctest bubble from passing.
	turn chan struct{}
	late int
	n    int
}

func (t *observedTable) setLate(every int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late = every
}

func (t *observedTable) isLate() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
	return t.late > 0 && t.n%t.late == 0
}

func (t *observedTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	if t.isLate() {
		go func() {
			time.Sleep(700 * time.Millisecond)
			_, _ = t.commit(context.Background(), txn)
		}()
		return nil, infra.ErrOutcomeUnknown
	}
	return t.commit(ctx, txn)
}

// commit shows the oracle the transactions in the order of their effect.
func (t *observedTable) commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	t.turn <- struct{}{}
	defer func() { <-t.turn }()
	versions, err := t.Table.Commit(ctx, txn)
	if err == nil || err == infra.ErrOutcomeUnknown {
		t.o.applied(txn)
	}
	return versions, err
}

// naive runs an input file with one worker and without failures, and returns
// the expected body or error code of each item.
func naive(content string, nonIdempotent bool, partSize func(part int) int) map[string]string {
	out := make(map[string]string)
	part, index := 0, 0
	for n := range strings.Count(content, "\n") {
		if index == partSize(part) {
			part, index = part+1, 0
		}
		item := batch.Item{Index: index, NonIdempotent: nonIdempotent, Body: fmt.Appendf(nil, `{"n":%d}`, n)}
		index++
		result := batch.Outcome{Kind: batch.BackendFailure}
		for execution := 1; result.Kind == batch.BackendFailure; execution++ {
			result = outcomeOf(item, execution)
		}
		if result.Kind == batch.Done {
			out[fmt.Sprintf("item-%d", n)] = string(result.Body)
		} else {
			out[fmt.Sprintf("item-%d", n)] = string(result.Code)
		}
	}
	return out
}
