package retention

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/batch/intake"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/intent"
)

// prepare makes an intent, two files and a job that are all outdated, and an
// upload that was abandoned.
func (w *world) prepare(t rapid.TB) {
	w.resendCall(t, false)
	w.resendUploads()
	w.newJob("x")
	if _, refusal := w.in.Receive(ctx, org, "", "in", reader(input(5))); refusal != nil {
		t.Fatal(refusal)
	}
	time.Sleep(keep.Files + 24*time.Hour)
}

// resendCall begins the call "a", if it may run, and records its answer or
// that it was not run.
func (w *world) resendCall(t rapid.TB, done bool) {
	c := w.calls["a"]
	if c == nil {
		c = &call{}
		w.calls["a"] = c
	}
	d, refusal := w.intents.Begin(ctx, org, "a", intent.DigestOf(nil))
	switch {
	case refusal != nil || d.Outcome != intent.Started:
		return // a sweep in between may take longer than the caller waits
	case c.blocked && time.Since(c.written) < keep.Intents:
		t.Fatalf("the call runs again %s after its last write", time.Since(c.written))
	}
	c.written, c.blocked = time.Now(), done
	end := w.intents.Abandon(ctx, d.Attempt)
	if c.blocked {
		end = w.intents.Finish(ctx, d.Attempt, intent.Response{})
	}
	if end != nil {
		t.Fatal(end)
	}
}

func (w *world) resendUploads() {
	for _, key := range []string{"f", "g"} {
		u, refusal := w.in.Receive(ctx, org, key, "in", reader(input(5)))
		if refusal != nil {
			continue // it is being deleted
		}
		if m, refusal := u.Seal(ctx, "batch"); refusal == nil {
			w.files[m.ID] = &fileModel{content: input(5), used: time.Now()}
		}
	}
}

// newJob creates a job for the file "f", unless there is one, and ends it.
func (w *world) newJob(key string) {
	id := core.FileID(records.FilePrefix + records.Hash("file", string(org), "f"))
	if f := w.files[id]; f != nil {
		r := intake.Request{Org: org, Key: key, File: id, Endpoint: "/v1/x"}
		job, refusal := w.in.Create(ctx, r)
		if old := w.jobs[key]; refusal == nil && (old == nil || old.job.Results != job.Results) {
			w.jobs[key] = &jobModel{job: job, request: r}
			f.used = time.Now()
			w.endJob(w.jobs[key], key == "y")
		}
	}
}

// changes are what callers may do at any moment of a sweep.
func (w *world) changes(t rapid.TB) map[string]func() {
	return map[string]func(){
		"call":      func() { w.resendCall(t, true) },
		"uploads":   w.resendUploads,
		"job":       func() { w.newJob("x") },
		"other job": func() { w.newJob("y") },
	}
}

// during runs an action on a prepared world for each of its calls of the
// platform, and each time a change before that call. A change may make the
// action shorter, so the end is reached when a run has no such call.
func during(t *testing.T, gate func(*world) *owner, action, change func(*world, rapid.TB)) {
	for at, calls := 1, 0; calls >= at-1; at++ {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			defer w.stop()
			w.prepare(t)
			calls = 0
			gate(w).hook = func() {
				if calls++; calls == at {
					change(w, t)
				}
				w.checkAll(t, true)
			}
			action(w, t)
			gate(w).hook = nil
			w.checkAll(t, true)
			w.resendCall(t, true)
			w.owners[1].sweep()
			w.checkAll(t, true)
		})
	}
}

// Guards against each change between the judgement of a row and a write for
// its deletion: a call, upload or job that is resent, another job for the same
// file, and another owner that is faster, after which the keys are used anew.
// Before each call of the sweep, what can be read must be whole.
func TestChangesDuringASweep(t *testing.T) {
	sweep := func(w *world, _ rapid.TB) { w.owners[0].sweep() }
	gate := func(w *world) *owner { return w.owners[0] }
	for name := range (&world{}).changes(t) {
		during(t, gate, sweep, func(w *world, t rapid.TB) { w.changes(t)[name]() })
	}
	during(t, gate, sweep, func(w *world, t rapid.TB) {
		w.owners[1].sweep()
		w.owners[1].sweep()
		w.resendCall(t, true)
		w.resendUploads()
		w.newJob("x")
	})
}

// Guards against a sweep that deletes what a caller has been promised, because
// it comes between the reads and the writes of the caller's request. The sweep
// gets as far as the marks if the object store is away.
func TestSweepDuringARequest(t *testing.T) {
	gate := func(w *world) *owner { return w.callers }
	for name := range (&world{}).changes(t) {
		for _, down := range []bool{false, true} {
			during(t, gate, func(w *world, t rapid.TB) { w.changes(t)[name]() }, func(w *world, _ rapid.TB) {
				w.objects.SetFaultPlan(infratest.FaultPlan{Down: down})
				w.owners[0].sweep()
				w.clearFaults()
			})
		}
	}
}
