package retention

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/intent"
)

const org = core.Org("org")

var ctx = context.Background()

// call is a non-idempotent call: the time of the last confirmed write of its
// intent, and whether the intent then forbids another run.
type call struct {
	attempt *intent.Attempt // nil if none is running
	written time.Time
	blocked bool
}

// fileModel is a file that was accepted.
type fileModel struct {
	content string
	used    time.Time
}

// jobModel is a job as it was accepted, with its results after it ended.
type jobModel struct {
	job     records.Job
	request intake.Request
	ended   time.Time
	results string
}

func (j *jobModel) withinRetention() bool {
	return j.ended.IsZero() || time.Since(j.ended) < testRetention.Jobs
}

func (h *harness) beginCall(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	c := h.calls[key]
	if c == nil {
		c = &call{}
		h.calls[key] = c
	}
	d, refusal := h.intents.Begin(ctx, org, key, intent.DigestOf([]byte(key)))
	if refusal != nil || d.Outcome != intent.Started {
		return
	}
	if c.blocked && time.Since(c.written) < testRetention.Intents {
		t.Fatalf("call %s runs again %s after its last write", key, time.Since(c.written))
	}
	c.attempt, c.written, c.blocked = d.Attempt, time.Now(), true
}

func (h *harness) endCall(t *rapid.T) {
	c := h.calls[rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")]
	if c == nil || c.attempt == nil {
		t.Skip("no call")
	}
	if rapid.Bool().Draw(t, "done") {
		if h.intents.Finish(ctx, c.attempt, intent.Response{Status: 200}) == nil {
			c.written = time.Now()
		}
	} else {
		c.blocked = false
		_ = h.intents.Abandon(ctx, c.attempt)
	}
	c.attempt = nil
}

func (h *harness) upload(t *rapid.T) {
	h.requirePlatform(t)
	key := rapid.SampledFrom([]string{"", "f", "g"}).Draw(t, "key")
	content := input(rapid.SampledFrom([]int{1, 5}).Draw(t, "lines"))
	u, refusal := h.in.Receive(ctx, org, key, "in", reader(content))
	if refusal != nil || rapid.IntRange(0, 3).Draw(t, "seal") == 0 {
		return // an abandoned upload
	}
	if m, refusal := u.Accept(ctx, "batch"); refusal == nil {
		h.files[m.ID] = &fileModel{content: content, used: time.Now()}
	}
}

func (h *harness) create(t *rapid.T) {
	h.requirePlatform(t)
	if len(h.files) == 0 {
		t.Skip("no file")
	}
	key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")
	ids := make([]core.FileID, 0, len(h.files))
	for id := range h.files {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b core.FileID) int { return h.files[a].used.Compare(h.files[b].used) })
	r := intake.Request{Org: org, IdempotencyKey: key, File: rapid.SampledFrom(ids).Draw(t, "file"), Endpoint: "/v1/x"}
	old := h.jobs[key]
	if old != nil && old.withinRetention() {
		r = old.request // a resend
	}
	job, refusal := h.in.Create(ctx, r)
	switch {
	case old != nil && old.withinRetention():
		if refusal != nil || job.ResultPrefix != old.job.ResultPrefix || job.State == records.JobExpired {
			t.Fatalf("the resend of job %s is answered with %+v, %v", key, job, refusal)
		}
	case refusal == nil && job.State == records.JobInProgress:
		h.jobs[key] = &jobModel{job: job, request: r}
		h.files[r.File].used = time.Now()
	}
}

// endOpenJob ends one of the open jobs; see endJob.
func (h *harness) endOpenJob(t *rapid.T) {
	h.requirePlatform(t)
	j := h.jobs[rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")]
	if j == nil || !j.ended.IsZero() {
		t.Skip("no open job")
	}
	h.endJob(j, rapid.Bool().Draw(t, "cancelled"))
}

// endJob simulates the workers and the coordinator: the first holder of each
// range is fenced after it wrote an object, and the next one commits.
func (h *harness) endJob(j *jobModel, cancelled bool) {
	job := j.job
	for n := range job.Ranges {
		id := records.RangeID(n)
		r := records.Range{Epoch: 2, State: records.RangeDone, WriteCount: uint64(n)}
		if cancelled && n == job.Ranges-1 {
			r.State = records.RangeClaimed
			h.put(&job, id, records.Segment{Epoch: 2, Number: 2})
		}
		h.put(&job, id, records.Segment{Epoch: 1, Number: 1})
		s := records.Segment{Epoch: 2, Number: 1, Items: 1}
		j.results += h.put(&job, id, s)
		r.Segments = append(r.Segments, s)
		h.write(records.RangeKey(job.ID, id), records.Encode(r))
	}
	job.State, job.EndedAt = records.JobCompleted, time.Now().UTC()
	if cancelled {
		job.State = records.JobCancelled
	}
	h.write(records.JobKey(job.ID), records.Encode(job), infra.Write{Key: records.OpenKey(job.ID, 64), Delete: true})
	j.job, j.ended = job, job.EndedAt
}

func (h *harness) put(job *records.Job, id string, s records.Segment) string {
	h.lastID++
	data := fmt.Sprintf("result %d\n", h.lastID)
	if err := h.st.Put(ctx, records.SegmentKey(job, id, s), []byte(data), nil); err != nil {
		panic(err)
	}
	return data
}

func (h *harness) write(key string, value []byte, more ...infra.Write) {
	txn := infra.Txn{Writes: append([]infra.Write{{Key: key, Value: value}}, more...)}
	if _, err := h.st.Commit(ctx, txn, nil); err != nil {
		panic(err)
	}
}

func (h *harness) faults(t *rapid.T) {
	plans := []infratest.FaultPlan{{}, {Down: true}, {LoseResponses: 0.5}, {RefuseWrites: 0.5}, {Delay: time.Second}}
	h.table.SetFaultPlan(rapid.SampledFrom(plans).Draw(t, "table"))
	h.objects.SetFaultPlan(rapid.SampledFrom(plans).Draw(t, "objects"))
}

// check checks all data that is within its retention.
func (h *harness) check(t *rapid.T) { h.checkAll(t, false) }

// checkAll checks all data that is within its retention. If whole is set, it
// also checks that each file that can be read is complete; no deletion may run
// concurrently then.
func (h *harness) checkAll(t rapid.TB, whole bool) {
	table, objects := h.table.Plan(), h.objects.Plan()
	h.clearFaults()
	for key, j := range h.jobs {
		got, err := h.readResults(&j.job)
		if err == nil && !j.ended.IsZero() && got != j.results {
			t.Fatalf("job %s that ended %s ago reads as %q, want %q", key, time.Since(j.ended), got, j.results)
		}
		if !j.withinRetention() {
			continue
		}
		row, err2 := h.table.Get(ctx, records.JobKey(j.job.ID))
		stored, _ := records.Decode[records.Job](row.Value)
		if err != nil || err2 != nil || stored.State != j.job.State || stored.ResultPrefix != j.job.ResultPrefix {
			t.Fatalf("job %s is within its retention: %v, %v, %+v", key, err, err2, stored)
		}
		h.files[j.job.File].check(t, h, j.job.File)
	}
	for id, f := range h.files {
		if time.Since(f.used) < testRetention.Jobs || whole && h.readable(id) {
			f.check(t, h, id)
		}
	}
	h.table.SetFaultPlan(table)
	h.objects.SetFaultPlan(objects)
}

func (h *harness) readable(id core.FileID) bool {
	_, refusal := h.in.File(ctx, org, id)
	return refusal == nil
}

func (f *fileModel) check(t rapid.TB, h *harness, id core.FileID) {
	m, refusal := h.in.File(ctx, org, id)
	if refusal != nil {
		t.Fatalf("file %s, used %s ago: %v", id, time.Since(f.used), refusal)
	}
	if got, err := h.readInput(&m); err != nil || got != f.content {
		t.Fatalf("file %s, used %s ago: %q, %v", id, time.Since(f.used), got, err)
	}
}

// finishAndCheck ends all faults and checks that open jobs are kept. It then ends them
// and checks that no row and no object remains after all retentions.
func (h *harness) finishAndCheck(t *rapid.T) {
	h.clearFaults()
	for _, o := range h.owners {
		o.resume()
		o.owns.Store(true)
	}
	time.Sleep(testRetention.Files + 36*time.Hour)
	h.check(t)
	for _, j := range h.jobs {
		if j.ended.IsZero() {
			h.endJob(j, false)
		}
	}
	time.Sleep(testRetention.Jobs + 72*time.Hour)
	rows, err := h.table.Scan(ctx, "", "", 100)
	if remaining := h.objects.remaining(); err != nil || len(rows) > 0 || len(remaining) > 0 {
		t.Fatalf("not deleted at the end: rows %v, objects %v, %v", rows, remaining, err)
	}
}

// Guards against the deletion of data that is within its retention or was used
// again after its row was read, against results of a partly deleted job that
// read as complete, against a paused owner that deletes data of a later job with
// the same key, and against rows and objects that are never deleted.
func TestOnlyDataPastRetentionIsDeleted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			h := newHarness()
			defer h.stop()
			for _, o := range h.owners {
				o.start()
			}
			owner := func(t *rapid.T) *owner { return h.owners[rapid.IntRange(0, 1).Draw(t, "owner")] }
			t.Repeat(map[string]func(*rapid.T){
				"": h.check, "begin": h.beginCall, "endCall": h.endCall, "upload": h.upload,
				"create": h.create, "create2": h.create, "end": h.endOpenJob, "faults": h.faults,
				"pause":  func(t *rapid.T) { owner(t).pause(rapid.IntRange(0, 25).Draw(t, "calls")) },
				"resume": func(t *rapid.T) { owner(t).resume() },
				"owns":   func(t *rapid.T) { owner(t).owns.Store(rapid.Bool().Draw(t, "owns")) },
				"sleep":  func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 30).Draw(t, "hours")) * time.Hour) },
			})
			h.finishAndCheck(t)
		})
	})
}
