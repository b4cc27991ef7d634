package relay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/settings"
)

// Guards against refusals of generations with a wrong code or a wrong Execution, and
// against retries that are not allowed.
func TestGenerateRefusals(t *testing.T) {
	full := core.Refuse(core.CodeOverloaded, "full")
	rejectSend := func() *core.Refusal { return core.Refuse(core.CodeDeadlineExceeded, "too old") }
	for name, c := range map[string]struct {
		scripts  []script
		refusals []*core.Refusal
		g        Generation
		sink     collector
		budget   int
		padding  string
		code     core.Code
		exec     core.Execution
		sends    int
	}{
		"no slot":                      {refusals: []*core.Refusal{full}, code: core.CodeOverloaded, exec: core.NotRun},
		"no slot after a refused send": {scripts: []script{{openErr: backend.ErrRefused}}, refusals: []*core.Refusal{nil, full}, budget: 1, code: core.CodeOverloaded, exec: core.NotRun, sends: 1},
		"no slot after a failed send":  {scripts: []script{{openErr: backend.ErrInterrupted}}, refusals: []*core.Refusal{nil, full}, budget: 1, code: core.CodeOverloaded, sends: 1},
		"no slot for the resume":       {scripts: []script{{stopAt: 2, endErr: backend.ErrInterrupted}}, refusals: []*core.Refusal{nil, full}, budget: 1, code: core.CodeStreamInterrupted, sends: 1},
		"retry budget spent":           {scripts: []script{{stopAt: 2, endErr: backend.ErrInterrupted}, {stopAt: 3, endErr: backend.ErrInterrupted}}, budget: 1, code: core.CodeStreamInterrupted, sends: 2},
		"attempts used up":             {scripts: []script{{openErr: backend.ErrUnreachable}, {openErr: backend.ErrUnreachable}, {openErr: backend.ErrUnreachable}, {openErr: backend.ErrUnreachable}}, budget: 9, code: core.CodeNoBackend, exec: core.NotRun, sends: 4},
		"invalid":                      {scripts: []script{{openErr: backend.ErrInvalid}}, budget: 9, code: core.CodeInvalidRequest, exec: core.NotRun, sends: 1},
		"non-idempotent, interrupted":  {scripts: []script{{stopAt: 2, endErr: backend.ErrInterrupted}}, g: Generation{NonIdempotent: true}, budget: 9, code: core.CodeStreamInterrupted, sends: 1},
		"non-idempotent, hanging":      {scripts: []script{{stopAt: 0, hangs: true}}, g: Generation{NonIdempotent: true}, budget: 9, code: core.CodeDeadlineExceeded, sends: 1},
		"deadline":                     {scripts: []script{{stopAt: -1, delay: 3 * time.Second}}, g: Generation{Deadline: time.Date(2000, 1, 1, 0, 0, 2, 0, time.UTC)}, code: core.CodeDeadlineExceeded, sends: 1},
		"caller disconnected":          {sink: collector{failAt: 2}, code: core.CodeCancelled, sends: 1},
		"response too large":           {padding: strings.Repeat("x", maxResponseBytes/3), budget: 9, code: core.CodeStreamInterrupted, sends: 1},
		"refused before sending":       {g: Generation{BeforeSend: rejectSend}, code: core.CodeDeadlineExceeded, exec: core.NotRun},
		"preempted non-idempotent":     {scripts: []script{{stopAt: 1, gap: time.Second, endErr: backend.ErrInterrupted, preemptAfter: time.Millisecond}}, g: Generation{NonIdempotent: true, Class: core.ClassBatch}, budget: 9, code: core.CodeStreamInterrupted, sends: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := &fleet{tokens: 6, scripts: c.scripts, refusals: c.refusals, padding: c.padding}
				c.g.Deployment = testDeployment
				result, refusal := f.relay(&budget{left: c.budget}, nil).Generate(t.Context(), c.g, &c.sink)
				g.Expect(refusal).NotTo(gomega.BeNil())
				g.Expect(refusal.Code).To(gomega.Equal(c.code))
				g.Expect(refusal.Execution).To(gomega.Equal(c.exec))
				g.Expect(result.Execution).To(gomega.Equal(c.exec))
				g.Expect(f.sends).To(gomega.Equal(c.sends))
				g.Expect(result.Attempts).To(gomega.Equal(c.sends))
				expectAllReleased(g, f)
			})
		})
	}
}

// Guards against retrying a plain call that must not be sent again after it may
// have run, and against not retrying one that may be sent again.
func TestCall(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		marked       bool
		openErr      error
		delay        time.Duration
		sends        int
		code         core.Code // "": the call succeeds
		exec         core.Execution
	}{
		"get":                               {method: "GET", openErr: backend.ErrInterrupted, sends: 2},
		"get, slow":                         {method: "GET", openErr: backend.ErrInterrupted, delay: 25 * time.Second, sends: 2},
		"get, marked non-idempotent":        {method: "GET", marked: true, openErr: backend.ErrInterrupted, sends: 1, code: core.CodeBackendFailed},
		"post":                              {method: "POST", openErr: backend.ErrInterrupted, sends: 1, code: core.CodeBackendFailed},
		"post, not sent":                    {method: "POST", openErr: backend.ErrUnreachable, sends: 2},
		"non-idempotent route, refused":     {method: "POST", path: "/verse/issue", openErr: backend.ErrRefused, sends: 2},
		"non-idempotent route, interrupted": {method: "POST", path: "/verse/issue?a=b", openErr: backend.ErrInterrupted, sends: 1, code: core.CodeBackendFailed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := &fleet{scripts: []script{{openErr: c.openErr, delay: c.delay}, {stopAt: -1, delay: c.delay}}}
				call := backend.Call{Method: c.method, Path: c.path, Body: []byte("body")}
				result, refusal := f.relay(&budget{left: 3}, nil).Call(t.Context(), PlainCall{Deployment: testDeployment, Call: call, NonIdempotent: c.marked})
				g.Expect(f.sends).To(gomega.Equal(c.sends))
				if c.code == "" {
					g.Expect(refusal).To(gomega.BeNil())
					g.Expect(string(result.Response.Body)).To(gomega.Equal("body"))
					g.Expect(f.slotRequests[1].Exclude).To(gomega.ConsistOf(core.ReplicaID("r1")))
				} else {
					g.Expect(refusal.Code).To(gomega.Equal(c.code))
					g.Expect(refusal.Execution).To(gomega.Equal(c.exec))
				}
				expectAllReleased(g, f)
			})
		})
	}
}

// Guards against sending a non-idempotent batch request in a slot that is already
// preempted. Once sent, it would keep the slot until it ends.
func TestPreemptedSlotIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fleet{tokens: 1, preemptedGrants: 2}
		_, refusal := f.relay(&budget{}, nil).Generate(t.Context(), Generation{Deployment: testDeployment, Class: core.ClassBatch, NonIdempotent: true}, Discard{})
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(f.granted).To(gomega.Equal(3))
		expectAllReleased(g, f)
	})
}

// Guards against batch requests that fail while no slot is free, that all ask the
// owners at the same time, or that continue after their cancellation.
func TestBatchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fleet{tokens: 1}
		for range 100 {
			f.refusals = append(f.refusals, core.Refuse(core.CodeOverloaded, "full"))
		}
		r := f.relay(&budget{}, func(s *settings.Deployment) { s.OnlineDeadline = time.Second })
		ctx, cancel := context.WithCancel(t.Context())
		outcomes := make(chan *core.Refusal, 20)
		for range cap(outcomes) {
			go func() {
				_, refusal := r.Generate(ctx, Generation{Deployment: testDeployment, Class: core.ClassBatch}, Discard{})
				outcomes <- refusal
			}()
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		g.Expect(len(f.slotRequests)).To(gomega.BeNumerically("<", 60))
		g.Expect(outcomes).To(gomega.BeEmpty())
		cancel()
		for range cap(outcomes) {
			refusal := <-outcomes
			g.Expect(refusal.Code).To(gomega.Equal(core.CodeCancelled))
			g.Expect(refusal.Execution).To(gomega.Equal(core.NotRun))
		}
	})
}
