package relay

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/settings"
)

// collector is a Sink that records the received text.
type collector struct {
	text       string
	tokenDelay time.Duration // how long Token takes
	failAt     int           // Token fails from this token on, counted from 1; 0: never
	n          int
}

func (c *collector) Token(text string) error {
	c.n++
	if c.failAt > 0 && c.n >= c.failAt {
		return context.Canceled
	}
	time.Sleep(c.tokenDelay)
	c.text += text
	return nil
}

// Guards against retries, resumes and hedges that lose, repeat or mix up tokens,
// and against attempts whose slots are not released or streams not closed.
func TestGenerateRecovers(t *testing.T) {
	hedged := func(s *settings.Deployment) { s.HedgeAfter = time.Second }
	for name, c := range map[string]struct {
		scripts       []script
		class         core.Class
		change        func(*settings.Deployment)
		sink          collector
		singleReplica bool
		sends         int
	}{
		"no fault":                     {sends: 1},
		"retry before first token":     {scripts: []script{{openErr: backend.ErrUnreachable}, {openErr: backend.ErrRefused}, {openErr: backend.ErrInterrupted}}, sends: 4},
		"resume after interruption":    {scripts: []script{{stopAt: 2, endErr: backend.ErrInterrupted}}, sends: 2},
		"resume after truncation":      {scripts: []script{{stopAt: 3, endErr: io.EOF}}, sends: 2},
		"resume after missing token":   {scripts: []script{{stopAt: 2, skip: 2}}, sends: 2},
		"repeated tokens after resume": {scripts: []script{{stopAt: 4, endErr: backend.ErrInterrupted}, {stopAt: -1, repeat: 3}}, sends: 2},
		"hang after two tokens":        {scripts: []script{{stopAt: 2, hangs: true}}, sends: 2},
		"hang before first token":      {scripts: []script{{stopAt: 0, hangs: true}}, sends: 2},
		"hedge wins":                   {scripts: []script{{stopAt: -1, delay: 3 * time.Second}}, change: hedged, sends: 2},
		"hedge loses late":             {scripts: []script{{stopAt: -1, delay: 2 * time.Second}, {stopAt: -1, delay: 9 * time.Second, ignoresCancel: true}}, change: hedged, sends: 2},
		"hedge and first both fail":    {scripts: []script{{openErr: backend.ErrInterrupted, delay: 3 * time.Second}, {openErr: backend.ErrInterrupted, delay: time.Second}}, change: hedged, sends: 3},
		"slow caller":                  {sink: collector{tokenDelay: 6 * time.Second}, sends: 1},
		"batch preempted repeatedly":   {class: core.ClassBatch, sends: 7, scripts: append(preemptedScripts(5), script{openErr: backend.ErrInterrupted})},
		"only one replica":             {singleReplica: true, scripts: []script{{openErr: backend.ErrInterrupted}}, sends: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := &fleet{tokens: 6, scripts: c.scripts, singleReplica: c.singleReplica}
				sink := c.sink
				result, refusal := f.relay(&budget{left: 5}, c.change).Generate(t.Context(), Generation{Deployment: testDeployment, Class: c.class}, &sink)
				g.Expect(refusal).To(gomega.BeNil())
				g.Expect(sink.text).To(gomega.Equal(expectedText(6)))
				g.Expect(result.Text).To(gomega.Equal(sink.text))
				g.Expect(result.FinishReason).To(gomega.Equal("stop"))
				g.Expect(f.sends).To(gomega.Equal(c.sends))
				for _, slotRequest := range f.slotRequests[1:] {
					if c.class == core.ClassOnline && !c.singleReplica {
						g.Expect(slotRequest.Exclude).To(gomega.ContainElement(core.ReplicaID("r1")))
					}
				}
				expectAllReleased(g, f)
			})
		})
	}
}

// Guards against queueing a request longer than its first-token target allows, and
// against refusing its retry because the target has passed.
func TestSlotDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fleet{tokens: 1, scripts: []script{{openErr: backend.ErrInterrupted}}}
		start := time.Now()
		r := f.relay(&budget{left: 1}, func(s *settings.Deployment) { s.FirstToken = time.Second })
		_, refusal := r.Generate(t.Context(), Generation{Deployment: testDeployment}, Discard{})
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(f.slotRequests[0].Deadline).To(gomega.BeTemporally("==", start.Add(time.Second)))
		g.Expect(f.slotRequests[1].Deadline).To(gomega.BeTemporally("==", start.Add(time.Minute)))
		g.Expect(f.requests[0].Deadline).To(gomega.BeTemporally("==", start.Add(time.Minute)))
	})
}

// expectAllReleased checks that all slots are released and all streams closed. It
// first waits for cancelled attempts, whose engine may ignore the cancellation.
func expectAllReleased(g *gomega.WithT, f *fleet) {
	time.Sleep(time.Minute)
	synctest.Wait()
	g.Expect(f.released).To(gomega.Equal(f.granted))
	g.Expect(f.running).To(gomega.BeZero())
}

func preemptedScripts(n int) []script {
	out := make([]script, n)
	for i := range out {
		out[i] = script{stopAt: -1, gap: time.Second, preemptAfter: 1500 * time.Millisecond}
	}
	return out
}
