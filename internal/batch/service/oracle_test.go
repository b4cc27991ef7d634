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

// oracle simulates the backend servers. It checks each execution and each applied
// transaction against the earlier ones and records violations.
type oracle struct {
	mu            sync.Mutex
	executions    map[string]int             // item id to number of executions
	sent          map[string]int             // non-idempotent item id to number of calls that may have run
	committed     map[string]map[string]bool // job and part to the items with a committed result
	resultsPerRow map[string]int             // range row to number of items with a committed result
	cancelled     map[string]bool
	violations    []string
}

func newOracle() *oracle {
	return &oracle{
		executions: make(map[string]int), sent: make(map[string]int), resultsPerRow: make(map[string]int),
		committed: make(map[string]map[string]bool), cancelled: make(map[string]bool),
	}
}

func (o *oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// runItem is the Runner of all nodes.
func (o *oracle) runItem(node core.NodeID, ctx context.Context, item batch.Item) batch.Outcome {
	execution := o.recordExecution(node, item)
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

// outcomeOf returns the outcome of an uninterrupted execution of an item.
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

func (o *oracle) recordExecution(node core.NodeID, item batch.Item) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.executions[item.ID]++
	if o.cancelled[string(item.Job)] {
		o.addViolation("%s starts %s after the job was cancelled", node, item.ID)
	}
	part := item.ID[:strings.LastIndexByte(item.ID, '-')]
	if o.committed[part][fmt.Sprint(item.Index)] {
		o.addViolation("%s starts %s, which has a committed result", node, item.ID)
	}
	if out := outcomeOf(item, o.executions[item.ID]); item.NonIdempotent && out.Kind != batch.BackendFailure {
		if o.sent[item.ID]++; o.sent[item.ID] > 1 {
			o.addViolation("%s sends non-idempotent %s again", node, item.ID)
		}
	}
	return o.executions[item.ID]
}

// checkCommit checks a transaction that was applied.
func (o *oracle) checkCommit(txn infra.Txn) {
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
				o.addViolation("row %s: %v", w.Key, err)
				continue
			}
			o.checkRangeRow(job, id, &row)
		}
	}
}

func (o *oracle) checkRangeRow(job, id string, row *records.Range) {
	if o.cancelled[job] {
		o.addViolation("range %s of %s is written after the job was cancelled", id, job)
	}
	part := fmt.Sprintf("batch_req_%s-%d", job, records.PartNumber(id))
	if o.committed[part] == nil {
		o.committed[part] = make(map[string]bool)
	}
	for i := range 8 * len(row.Done) {
		if row.Done.Has(i) {
			o.committed[part][fmt.Sprint(i)] = true
		}
	}
	o.resultsPerRow[part+"/"+id] = row.Done.Count()
	total := 0
	for key, n := range o.resultsPerRow {
		if strings.HasPrefix(key, part+"/") {
			total += n
		}
	}
	if total != len(o.committed[part]) {
		o.addViolation("the rows of %s name %d results for %d items", part, total, len(o.committed[part]))
	}
	if n, _ := row.Counts(); n != row.Done.Count() {
		o.addViolation("the segments of range %s of %s hold %d results for %d items", id, job, n, row.Done.Count())
	}
}

// observedTable reports applied transactions to the oracle. If lateEvery is greater
// than 0, every lateEvery-th commit returns infra.ErrOutcomeUnknown and is
// applied later.
type observedTable struct {
	infra.Table
	o  *oracle
	mu sync.Mutex
	// commitLock serializes commits. It is a channel, since a goroutine that waits
	// for a mutex prevents the clock of a synctest bubble from advancing.
	commitLock chan struct{}
	lateEvery  int
	commits    int
}

func (t *observedTable) setLateEvery(every int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateEvery = every
}

func (t *observedTable) nextIsLate() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	return t.lateEvery > 0 && t.commits%t.lateEvery == 0
}

func (t *observedTable) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	if t.nextIsLate() {
		go func() {
			time.Sleep(700 * time.Millisecond)
			_, _ = t.commit(context.Background(), txn)
		}()
		return nil, infra.ErrOutcomeUnknown
	}
	return t.commit(ctx, txn)
}

// commit applies a transaction and reports it to the oracle, in the order in which
// transactions are applied.
func (t *observedTable) commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	t.commitLock <- struct{}{}
	defer func() { <-t.commitLock }()
	versions, err := t.Table.Commit(ctx, txn)
	if err == nil || err == infra.ErrOutcomeUnknown {
		t.o.checkCommit(txn)
	}
	return versions, err
}

// expectedResults executes the items of an input file sequentially, without failures of
// nodes or stores, and returns the expected body or error code of each item.
func expectedResults(content string, nonIdempotent bool, partSize func(part int) int) map[string]string {
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
