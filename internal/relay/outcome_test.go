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

// Guards against refusals of generations with a wrong code or a wrong claim of
// what ran, and against retries where there must be none.
func TestGenerateRefusals(t *testing.T) {
	full := core.Refuse(core.CodeOverloaded, "full")
	closed := func() *core.Refusal { return core.Refuse(core.CodeDeadlineExceeded, "too old") }
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
		"no slot":                  {refusals: []*core.Refusal{full}, code: core.CodeOverloaded, exec: core.NotRun},
		"no slot after a refusal":  {scripts: []script{{openErr: backend.ErrRefused}}, refusals: []*core.Refusal{nil, full}, budget: 1, code: core.CodeOverloaded, exec: core.NotRun, sends: 1},
		"no slot after a failure":  {scripts: []script{{openErr: backend.ErrInterrupted}}, refusals: []*core.Refusal{nil, full}, budget: 1, code: core.CodeOverloaded, sends: 1},
		"no slot for the resume":   {scripts: []script{{stopAt: 2, endErr: backend.ErrInterrupted}}, refusals: []*core.Refusal{nil, full}, budget: 1, code: core.CodeStreamInterrupted, sends: 1},
		"budget spent":             {scripts: []script{{stopAt: 2, endErr: backend.ErrInterrupted}, {stopAt: 3, endErr: backend.ErrInterrupted}}, budget: 1, code: core.CodeStreamInterrupted, sends: 2},
		"attempts used up":         {scripts: []script{{openErr: backend.ErrUnreachable}, {openErr: backend.ErrUnreachable}, {openErr: backend.ErrUnreachable}, {openErr: backend.ErrUnreachable}}, budget: 9, code: core.CodeNoBackend, exec: core.NotRun, sends: 4},
		"invalid":                  {scripts: []script{{openErr: backend.ErrInvalid}}, budget: 9, code: core.CodeInvalidRequest, exec: core.NotRun, sends: 1},
		"non-idempotent, broken":   {scripts: []script{{stopAt: 2, endErr: backend.ErrInterrupted}}, g: Generation{NonIdempotent: true}, budget: 9, code: core.CodeStreamInterrupted, sends: 1},
		"non-idempotent, silent":   {scripts: []script{{stopAt: 0, dies: true}}, g: Generation{NonIdempotent: true}, budget: 9, code: core.CodeDeadlineExceeded, sends: 1},
		"deadline":                 {scripts: []script{{stopAt: -1, delay: 3 * time.Second}}, g: Generation{Deadline: time.Date(2000, 1, 1, 0, 0, 2, 0, time.UTC)}, code: core.CodeDeadlineExceeded, sends: 1},
		"caller gone":              {sink: collector{stop: 2}, code: core.CodeCancelled, sends: 1},
		"answer too large":         {padding: strings.Repeat("x", maxAnswerBytes/3), budget: 9, code: core.CodeStreamInterrupted, sends: 1},
		"gate closed":              {g: Generation{BeforeSend: closed}, code: core.CodeDeadlineExceeded, exec: core.NotRun},
		"preempted non-idempotent": {scripts: []script{{stopAt: 1, gap: time.Second, endErr: backend.ErrInterrupted, preempts: time.Millisecond}}, g: Generation{NonIdempotent: true, Class: core.ClassBatch}, budget: 9, code: core.CodeStreamInterrupted, sends: 1},
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
				expectNothingLeft(g, f)
			})
		})
	}
}

// Guards against a plain call that is repeated though it may have run, and
// against one that is not repeated though it may be.
func TestCall(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		marked       bool
		openErr      error
		delay        time.Duration
		sends        int
		code         core.Code // "": answered
		exec         core.Execution
	}{
		"get":            {method: "GET", openErr: backend.ErrInterrupted, sends: 2},
		"get, slow":      {method: "GET", openErr: backend.ErrInterrupted, delay: 25 * time.Second, sends: 2},
		"get, marked":    {method: "GET", marked: true, openErr: backend.ErrInterrupted, sends: 1, code: core.CodeBackendFailed},
		"post":           {method: "POST", openErr: backend.ErrInterrupted, sends: 1, code: core.CodeBackendFailed},
		"post, not sent": {method: "POST", openErr: backend.ErrUnreachable, sends: 2},
		"route, refused": {method: "POST", path: "/verse/issue", openErr: backend.ErrRefused, sends: 2},
		"get by route":   {method: "POST", path: "/verse/issue?a=b", openErr: backend.ErrInterrupted, sends: 1, code: core.CodeBackendFailed},
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
					g.Expect(f.asks[1].Exclude).To(gomega.ConsistOf(core.ReplicaID("r1")))
				} else {
					g.Expect(refusal.Code).To(gomega.Equal(c.code))
					g.Expect(refusal.Execution).To(gomega.Equal(c.exec))
				}
				expectNothingLeft(g, f)
			})
		})
	}
}

// Guards against sending non-idempotent batch work on a slot that is already
// wanted back, which it could not give back any more.
func TestSlotWantedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fleet{tokens: 1, back: 2}
		_, refusal := f.relay(&budget{}, nil).Generate(t.Context(), Generation{Deployment: testDeployment, Class: core.ClassBatch, NonIdempotent: true}, Discard{})
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(f.granted).To(gomega.Equal(3))
		expectNothingLeft(g, f)
	})
}

// Guards against batch work that fails while no slot is free, that asks the
// owners once per waiting item, or that goes on after it was cancelled.
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
		g.Expect(len(f.asks)).To(gomega.BeNumerically("<", 60))
		g.Expect(outcomes).To(gomega.BeEmpty())
		cancel()
		for range cap(outcomes) {
			refusal := <-outcomes
			g.Expect(refusal.Code).To(gomega.Equal(core.CodeCancelled))
			g.Expect(refusal.Execution).To(gomega.Equal(core.NotRun))
		}
	})
}
