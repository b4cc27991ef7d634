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

// prepare creates an intent, two files and a job that are all past their
// retention, and an abandoned upload.
func (h *harness) prepare(t rapid.TB) {
	h.resendCall(t, false)
	h.resendUploads()
	h.newJob("x")
	if _, refusal := h.in.Receive(ctx, org, "", "in", reader(input(5))); refusal != nil {
		t.Fatal(refusal)
	}
	time.Sleep(testRetention.Files + 24*time.Hour)
}

// resendCall starts the call "a", if it may run, and records its response or
// that it was not run.
func (h *harness) resendCall(t rapid.TB, done bool) {
	c := h.calls["a"]
	if c == nil {
		c = &call{}
		h.calls["a"] = c
	}
	d, refusal := h.intents.Begin(ctx, org, "a", intent.DigestOf(nil))
	switch {
	case refusal != nil || d.Outcome != intent.Started:
		return // a sweep in between may take longer than the caller waits
	case c.blocked && time.Since(c.written) < testRetention.Intents:
		t.Fatalf("the call runs again %s after its last write", time.Since(c.written))
	}
	c.written, c.blocked = time.Now(), done
	end := h.intents.Abandon(ctx, d.Attempt)
	if c.blocked {
		end = h.intents.Finish(ctx, d.Attempt, intent.Response{})
	}
	if end != nil {
		t.Fatal(end)
	}
}

func (h *harness) resendUploads() {
	for _, key := range []string{"f", "g"} {
		u, refusal := h.in.Receive(ctx, org, key, "in", reader(input(5)))
		if refusal != nil {
			continue // it is being deleted
		}
		if m, refusal := u.Accept(ctx, "batch"); refusal == nil {
			h.files[m.ID] = &fileModel{content: input(5), used: time.Now()}
		}
	}
}

// newJob creates a job for the file "f", unless there is one, and ends it.
func (h *harness) newJob(key string) {
	id := core.FileID(records.FileIDPrefix + records.Hash("file", string(org), "f"))
	if f := h.files[id]; f != nil {
		r := intake.Request{Org: org, IdempotencyKey: key, File: id, Endpoint: "/v1/x"}
		job, refusal := h.in.Create(ctx, r)
		if old := h.jobs[key]; refusal == nil && (old == nil || old.job.ResultPrefix != job.ResultPrefix) {
			h.jobs[key] = &jobModel{job: job, request: r}
			f.used = time.Now()
			h.endJob(h.jobs[key], key == "y")
		}
	}
}

// changes returns the requests that callers may make at any time in a sweep.
func (h *harness) changes(t rapid.TB) map[string]func() {
	return map[string]func(){
		"call":      func() { h.resendCall(t, true) },
		"uploads":   h.resendUploads,
		"job":       func() { h.newJob("x") },
		"other job": func() { h.newJob("y") },
	}
}

// runInterleaved runs an action on a prepared harness once for each call to the
// platform that the actor makes in it, and in each run makes the change before
// that call. A change may reduce the number of calls, so the loop ends with the
// first run that does not get to that call.
func runInterleaved(t *testing.T, actor func(*harness) *owner, action, change func(*harness, rapid.TB)) {
	for at, calls := 1, 0; calls >= at-1; at++ {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness()
			defer h.stop()
			h.prepare(t)
			calls = 0
			actor(h).hook = func() {
				if calls++; calls == at {
					change(h, t)
				}
				h.checkAll(t, true)
			}
			action(h, t)
			actor(h).hook = nil
			h.checkAll(t, true)
			h.resendCall(t, true)
			h.owners[1].sweep()
			h.checkAll(t, true)
		})
	}
}

// Guards against lost data when a change falls between the read of a row and a
// write for its deletion: a resent call, upload or job, another job for the same
// file, or another owner that finishes first, after which the keys are used
// again. Before each call of the sweep, all data that can be read must be
// complete.
func TestChangesDuringSweep(t *testing.T) {
	sweep := func(h *harness, _ rapid.TB) { h.owners[0].sweep() }
	actor := func(h *harness) *owner { return h.owners[0] }
	for name := range (&harness{}).changes(t) {
		runInterleaved(t, actor, sweep, func(h *harness, t rapid.TB) { h.changes(t)[name]() })
	}
	runInterleaved(t, actor, sweep, func(h *harness, t rapid.TB) {
		h.owners[1].sweep()
		h.owners[1].sweep()
		h.resendCall(t, true)
		h.resendUploads()
		h.newJob("x")
	})
}

// Guards against a sweep that runs between the reads and the writes of a request
// and deletes what the request was confirmed for. If the object store is
// unavailable, the sweep only marks jobs and files as expired.
func TestSweepDuringRequest(t *testing.T) {
	actor := func(h *harness) *owner { return h.callers }
	for name := range (&harness{}).changes(t) {
		for _, down := range []bool{false, true} {
			runInterleaved(t, actor, func(h *harness, t rapid.TB) { h.changes(t)[name]() }, func(h *harness, _ rapid.TB) {
				h.objects.SetFaultPlan(infratest.FaultPlan{Down: down})
				h.owners[0].sweep()
				h.clearFaults()
			})
		}
	}
}
