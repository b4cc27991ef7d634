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

// call is a non-idempotent call: the last confirmed write of its intent, and
// whether that forbids a further run.
type call struct {
	attempt *intent.Attempt // not ended
	written time.Time
	blocked bool
}

// fileModel is a file that was accepted.
type fileModel struct {
	content string
	used    time.Time
}

// jobModel is a job as it was accepted, and its results once it ended.
type jobModel struct {
	job     records.Job
	request intake.Request
	ended   time.Time
	results string
}

func (j *jobModel) needed() bool { return j.ended.IsZero() || time.Since(j.ended) < keep.Jobs }

func (w *world) begin(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	c := w.calls[key]
	if c == nil {
		c = &call{}
		w.calls[key] = c
	}
	d, refusal := w.intents.Begin(ctx, org, key, intent.DigestOf([]byte(key)))
	if refusal != nil || d.Outcome != intent.Started {
		return
	}
	if c.blocked && time.Since(c.written) < keep.Intents {
		t.Fatalf("call %s runs again %s after its last write", key, time.Since(c.written))
	}
	c.attempt, c.written, c.blocked = d.Attempt, time.Now(), true
}

func (w *world) endCall(t *rapid.T) {
	c := w.calls[rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")]
	if c == nil || c.attempt == nil {
		t.Skip("no call")
	}
	if rapid.Bool().Draw(t, "done") {
		if w.intents.Finish(ctx, c.attempt, intent.Response{Status: 200}) == nil {
			c.written = time.Now()
		}
	} else {
		c.blocked = false
		_ = w.intents.Abandon(ctx, c.attempt)
	}
	c.attempt = nil
}

func (w *world) upload(t *rapid.T) {
	w.up(t)
	key := rapid.SampledFrom([]string{"", "f", "g"}).Draw(t, "key")
	content := input(rapid.SampledFrom([]int{1, 5}).Draw(t, "lines"))
	u, refusal := w.in.Receive(ctx, org, key, "in", reader(content))
	if refusal != nil || rapid.IntRange(0, 3).Draw(t, "seal") == 0 {
		return // an abandoned upload
	}
	if m, refusal := u.Seal(ctx, "batch"); refusal == nil {
		w.files[m.ID] = &fileModel{content: content, used: time.Now()}
	}
}

func (w *world) create(t *rapid.T) {
	w.up(t)
	if len(w.files) == 0 {
		t.Skip("no file")
	}
	key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")
	ids := make([]core.FileID, 0, len(w.files))
	for id := range w.files {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b core.FileID) int { return w.files[a].used.Compare(w.files[b].used) })
	r := intake.Request{Org: org, Key: key, File: rapid.SampledFrom(ids).Draw(t, "file"), Endpoint: "/v1/x"}
	old := w.jobs[key]
	if old != nil && old.needed() {
		r = old.request // a resend
	}
	job, refusal := w.in.Create(ctx, r)
	switch {
	case old != nil && old.needed():
		if refusal != nil || job.Results != old.job.Results || job.State == records.JobExpired {
			t.Fatalf("the resend of job %s is answered with %+v, %v", key, job, refusal)
		}
	case refusal == nil && job.State == records.JobInProgress:
		w.jobs[key] = &jobModel{job: job, request: r}
		w.files[r.File].used = time.Now()
	}
}

// end plays workers and coordinator: a first holder of each range is fenced
// after it wrote an object, the next one commits.
func (w *world) end(t *rapid.T) {
	w.up(t)
	j := w.jobs[rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")]
	if j == nil || !j.ended.IsZero() {
		t.Skip("no open job")
	}
	w.endJob(j, rapid.Bool().Draw(t, "cancelled"))
}

func (w *world) endJob(j *jobModel, cancelled bool) {
	job := j.job
	for n := range job.Ranges {
		id := records.RangeID(n)
		r := records.Range{Epoch: 2, State: records.RangeDone, Writes: uint64(n)}
		if cancelled && n == job.Ranges-1 {
			r.State = records.RangeClaimed
			w.put(&job, id, records.Segment{Epoch: 2, Number: 2})
		}
		w.put(&job, id, records.Segment{Epoch: 1, Number: 1})
		s := records.Segment{Epoch: 2, Number: 1, Items: 1}
		j.results += w.put(&job, id, s)
		r.Segments = append(r.Segments, s)
		w.write(records.RangeKey(job.ID, id), records.Encode(r))
	}
	job.State, job.EndedAt = records.JobCompleted, time.Now().UTC()
	if cancelled {
		job.State = records.JobCancelled
	}
	w.write(records.JobKey(job.ID), records.Encode(job), infra.Write{Key: records.OpenKey(job.ID, 64), Delete: true})
	j.job, j.ended = job, job.EndedAt
}

func (w *world) put(job *records.Job, id string, s records.Segment) string {
	w.versions++
	data := fmt.Sprintf("result %d\n", w.versions)
	if err := w.st.Put(ctx, records.SegmentKey(job, id, s), []byte(data), nil); err != nil {
		panic(err)
	}
	return data
}

func (w *world) write(key string, value []byte, more ...infra.Write) {
	txn := infra.Txn{Writes: append([]infra.Write{{Key: key, Value: value}}, more...)}
	if _, err := w.st.Commit(ctx, txn, nil); err != nil {
		panic(err)
	}
}

func (w *world) faults(t *rapid.T) {
	plans := []infratest.FaultPlan{{}, {Down: true}, {LoseAnswers: 0.5}, {RefuseWrites: 0.5}, {Delay: time.Second}}
	w.table.SetFaultPlan(rapid.SampledFrom(plans).Draw(t, "table"))
	w.objects.SetFaultPlan(rapid.SampledFrom(plans).Draw(t, "objects"))
}

// check looks at everything that is within its retention.
func (w *world) check(t *rapid.T) { w.checkAll(t, false) }

// checkAll also checks that what can be read is whole, if asked to; nothing
// may be deleted meanwhile.
func (w *world) checkAll(t rapid.TB, whole bool) {
	table, objects := w.table.Plan(), w.objects.Plan()
	w.clearFaults()
	for key, j := range w.jobs {
		got, err := w.readResults(&j.job)
		if err == nil && !j.ended.IsZero() && got != j.results {
			t.Fatalf("job %s that ended %s ago reads as %q, want %q", key, time.Since(j.ended), got, j.results)
		}
		if !j.needed() {
			continue
		}
		row, err2 := w.table.Get(ctx, records.JobKey(j.job.ID))
		stored, _ := records.Decode[records.Job](row.Value)
		if err != nil || err2 != nil || stored.State != j.job.State || stored.Results != j.job.Results {
			t.Fatalf("job %s is within its retention: %v, %v, %+v", key, err, err2, stored)
		}
		w.files[j.job.File].check(t, w, j.job.File)
	}
	for id, f := range w.files {
		if time.Since(f.used) < keep.Jobs || whole && w.readable(id) {
			f.check(t, w, id)
		}
	}
	w.table.SetFaultPlan(table)
	w.objects.SetFaultPlan(objects)
}

func (w *world) readable(id core.FileID) bool {
	_, refusal := w.in.File(ctx, org, id)
	return refusal == nil
}

func (f *fileModel) check(t rapid.TB, w *world, id core.FileID) {
	m, refusal := w.in.File(ctx, org, id)
	if refusal != nil {
		t.Fatalf("file %s, used %s ago: %v", id, time.Since(f.used), refusal)
	}
	if got, err := w.readInput(&m); err != nil || got != f.content {
		t.Fatalf("file %s, used %s ago: %q, %v", id, time.Since(f.used), got, err)
	}
}

// settle ends all faults: what is open stays, then all ends and nothing is left.
func (w *world) settle(t *rapid.T) {
	w.clearFaults()
	for _, o := range w.owners {
		o.resume()
		o.owns.Store(true)
	}
	time.Sleep(keep.Files + 36*time.Hour)
	w.check(t)
	for _, j := range w.jobs {
		if j.ended.IsZero() {
			w.endJob(j, false)
		}
	}
	time.Sleep(keep.Jobs + 72*time.Hour)
	rows, err := w.table.Scan(ctx, "", "", 100)
	if left := w.objects.left(); err != nil || len(rows) > 0 || len(left) > 0 {
		t.Fatalf("left at the end: rows %v, objects %v, %v", rows, left, err)
	}
}

// Guards against the deletion of what is within its retention or was used
// again after it was judged, against results of a half deleted job that read
// as whole, against a paused owner that hits a later job with the same key,
// and against rows and objects that are never deleted.
func TestNothingNeededIsDeletedAndNothingElseIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			w := newWorld()
			defer w.stop()
			for _, o := range w.owners {
				o.start()
			}
			owner := func(t *rapid.T) *owner { return w.owners[rapid.IntRange(0, 1).Draw(t, "owner")] }
			t.Repeat(map[string]func(*rapid.T){
				"": w.check, "begin": w.begin, "endCall": w.endCall, "upload": w.upload,
				"create": w.create, "create2": w.create, "end": w.end, "faults": w.faults,
				"pause":  func(t *rapid.T) { owner(t).pause(rapid.IntRange(0, 25).Draw(t, "calls")) },
				"resume": func(t *rapid.T) { owner(t).resume() },
				"owns":   func(t *rapid.T) { owner(t).owns.Store(rapid.Bool().Draw(t, "owns")) },
				"sleep":  func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 30).Draw(t, "hours")) * time.Hour) },
			})
			w.settle(t)
		})
	})
}
