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

// collector is a Sink that keeps what the caller saw.
type collector struct {
	text string
	slow time.Duration // taken by each token
	stop int           // the caller goes away at this token; 0: never
	n    int
}

func (c *collector) Token(text string) error {
	c.n++
	if c.stop > 0 && c.n >= c.stop {
		return context.Canceled
	}
	time.Sleep(c.slow)
	c.text += text
	return nil
}

// Guards against retries, resumes and hedges that lose, repeat or mix tokens,
// and against attempts whose slots or streams are left behind.
func TestGenerateRecovers(t *testing.T) {
	hedged := func(s *settings.Deployment) { s.HedgeAfter = time.Second }
	for name, c := range map[string]struct {
		scripts []script
		class   core.Class
		change  func(*settings.Deployment)
		sink    collector
		single  bool
		sends   int
	}{
		"plain run":                  {sends: 1},
		"retry before the first":     {scripts: []script{{openErr: backend.ErrUnreachable}, {openErr: backend.ErrRefused}, {openErr: backend.ErrInterrupted}}, sends: 4},
		"resume after a death":       {scripts: []script{{stopAt: 2, endErr: backend.ErrInterrupted}}, sends: 2},
		"resume after a truncation":  {scripts: []script{{stopAt: 3, endErr: io.EOF}}, sends: 2},
		"resume after a gap":         {scripts: []script{{stopAt: 2, skip: 2}}, sends: 2},
		"repeated tokens after":      {scripts: []script{{stopAt: 4, endErr: backend.ErrInterrupted}, {stopAt: -1, repeat: 3}}, sends: 2},
		"silent death":               {scripts: []script{{stopAt: 2, dies: true}}, sends: 2},
		"silent death at the start":  {scripts: []script{{stopAt: 0, dies: true}}, sends: 2},
		"hedge wins":                 {scripts: []script{{stopAt: -1, delay: 3 * time.Second}}, change: hedged, sends: 2},
		"hedge loses late":           {scripts: []script{{stopAt: -1, delay: 2 * time.Second}, {stopAt: -1, delay: 9 * time.Second, deaf: true}}, change: hedged, sends: 2},
		"hedge and first both fail":  {scripts: []script{{openErr: backend.ErrInterrupted, delay: 3 * time.Second}, {openErr: backend.ErrInterrupted, delay: time.Second}}, change: hedged, sends: 3},
		"slow caller":                {sink: collector{slow: 6 * time.Second}, sends: 1},
		"batch preempted repeatedly": {class: core.ClassBatch, sends: 7, scripts: append(preemptions(5), script{openErr: backend.ErrInterrupted})},
		"only one replica":           {single: true, scripts: []script{{openErr: backend.ErrInterrupted}}, sends: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := &fleet{tokens: 6, scripts: c.scripts, single: c.single}
				sink := c.sink
				result, refusal := f.relay(&budget{left: 5}, c.change).Generate(t.Context(), Generation{Deployment: testDeployment, Class: c.class}, &sink)
				g.Expect(refusal).To(gomega.BeNil())
				g.Expect(sink.text).To(gomega.Equal(expectedText(6)))
				g.Expect(result.Text).To(gomega.Equal(sink.text))
				g.Expect(result.FinishReason).To(gomega.Equal("stop"))
				g.Expect(f.sends).To(gomega.Equal(c.sends))
				for _, ask := range f.asks[1:] {
					if c.class == core.ClassOnline && !c.single {
						g.Expect(ask.Exclude).To(gomega.ContainElement(core.ReplicaID("r1")))
					}
				}
				expectNothingLeft(g, f)
			})
		})
	}
}

// Guards against queueing a request that cannot meet the first-token target,
// and against refusing its retry because the target has passed.
func TestAskDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fleet{tokens: 1, scripts: []script{{openErr: backend.ErrInterrupted}}}
		start := time.Now()
		r := f.relay(&budget{left: 1}, func(s *settings.Deployment) { s.FirstToken = time.Second })
		_, refusal := r.Generate(t.Context(), Generation{Deployment: testDeployment}, Discard{})
		g.Expect(refusal).To(gomega.BeNil())
		g.Expect(f.asks[0].Deadline).To(gomega.BeTemporally("==", start.Add(time.Second)))
		g.Expect(f.asks[1].Deadline).To(gomega.BeTemporally("==", start.Add(time.Minute)))
		g.Expect(f.requests[0].Deadline).To(gomega.BeTemporally("==", start.Add(time.Minute)))
	})
}

// expectNothingLeft waits for losing attempts, whose engine may be deaf.
func expectNothingLeft(g *gomega.WithT, f *fleet) {
	time.Sleep(time.Minute)
	synctest.Wait()
	g.Expect(f.released).To(gomega.Equal(f.granted))
	g.Expect(f.running).To(gomega.BeZero())
}

func preemptions(n int) []script {
	out := make([]script, n)
	for i := range out {
		out[i] = script{stopAt: -1, gap: time.Second, preempts: 1500 * time.Millisecond}
	}
	return out
}
