package orders

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/backend"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// situation is an input at t0 + 1 h with a report that just arrived.
func situation(models []string, role string, number uint64, history ...Sent) Input {
	now := t0.Add(time.Hour)
	return Input{
		Desired:    Desired{Model: "m", Version: "v2", Role: "decode", HonoursFencing: true, Number: 7},
		Report:     Report{Load: backend.Load{Models: models, Role: role, FencingNumber: number}, Received: now},
		OwnedSince: t0, Now: now, History: history, Config: Config{}.withDefaults(),
	}
}

func (in Input) with(change func(*Input)) Input {
	change(&in)
	return in
}

func sent(kind backend.OrderKind, version string, ago time.Duration, outcome Outcome, tries int) Sent {
	s := Sent{Order: backend.Order{Kind: kind, Model: "m", Version: version, FencingNumber: 7},
		Ended: t0.Add(time.Hour - ago), Outcome: outcome, Tries: tries}
	if kind == backend.OrderSetRole {
		s.Order = backend.Order{Kind: kind, Role: version, FencingNumber: 7}
	}
	return s
}

// Guards against an order that is wrong for the situation: repeated before the
// report can show it, an unload that leaves nothing to serve, an order with
// old settings, or none where one is needed.
func TestDecide(t *testing.T) {
	const load, unload, role = backend.OrderLoad, backend.OrderUnload, backend.OrderSetRole
	v1, both := []string{"m@v1"}, []string{"m@v1", "m@v2"}
	cases := map[string]struct {
		in      Input
		want    string // kind and model or role
		reason  Reason
		loading bool
	}{
		"role first":             {in: situation(v1, "prefill", 6), want: "set_role decode"},
		"load":                   {in: situation(v1, "decode", 6), want: "load m@v2"},
		"unload after load":      {in: situation(both, "decode", 7), want: "unload m@v1"},
		"done":                   {in: situation([]string{"m@v2"}, "decode", 3), reason: ReasonDone},
		"entry without version":  {in: situation([]string{"m@v2", "x"}, "decode", 3), reason: ReasonDone},
		"nothing wanted":         {in: situation(v1, "x", 6).with(func(in *Input) { in.Desired = Desired{Number: 7} }), reason: ReasonNothingWanted},
		"only a role wanted":     {in: situation(v1, "decode", 6).with(func(in *Input) { in.Desired.Version = "" }), reason: ReasonDone},
		"adapter keeps its base": {in: situation([]string{"m@v2", "m@v2+a"}, "decode", 6).with(func(in *Input) { in.Desired.Adapter = "a" }), reason: ReasonDone},
		"adapter not wanted":     {in: situation([]string{"m@v2", "m@v2+a"}, "decode", 6), want: "unload m@v2+a"},
		"higher number reported": {in: situation(v1, "decode", 8), reason: ReasonOldSettings},
		"fenced":                 {in: situation(v1, "decode", 7).with(func(in *Input) { in.Fenced, in.FencedAt = 7, in.Now }), reason: ReasonFenced},
		"fenced long ago":        {in: situation(v1, "decode", 7).with(func(in *Input) { in.Fenced, in.FencedAt = 7, t0 }), want: "load m@v2"},
		"fenced, newer settings": {in: situation(v1, "decode", 7).with(func(in *Input) { in.Fenced, in.FencedAt = 6, in.Now }), want: "load m@v2"},
		"no report":              {in: situation(v1, "x", 6).with(func(in *Input) { in.Report = Report{} }), reason: ReasonNoReport},
		"old report":             {in: situation(v1, "x", 6).with(func(in *Input) { in.Now = in.Now.Add(6 * time.Second) }), reason: ReasonNoReport},
		"new owner":              {in: situation(v1, "x", 6).with(func(in *Input) { in.OwnedSince = in.Now }), reason: ReasonSettling},
		"leaving":                {in: situation(v1, "x", 6).with(func(in *Input) { in.Report.Load.Leaving = true }), reason: ReasonLeaving},

		"load not reported yet":      {in: situation(v1, "decode", 6, sent(load, "v2", time.Second, OutcomeTaken, 1)), reason: ReasonAwaiting, loading: true},
		"load runs":                  {in: situation(v1, "decode", 7, sent(load, "v2", time.Minute, OutcomeTaken, 1)), reason: ReasonLoading, loading: true},
		"load runs, role differs":    {in: situation(v1, "x", 7, sent(load, "v2", time.Minute, OutcomeTaken, 1)), want: "set_role decode", loading: true},
		"load timed out":             {in: situation(v1, "decode", 7, sent(load, "v2", 11*time.Minute, OutcomeTaken, 1)), want: "load m@v2"},
		"engine restarted":           {in: situation(v1, "decode", 0, sent(load, "v2", time.Minute, OutcomeTaken, 1)), want: "load m@v2"},
		"number not reported":        {in: situation(v1, "decode", 0, sent(load, "v2", time.Minute, OutcomeTaken, 1)).with(func(in *Input) { in.Desired.HonoursFencing = false }), reason: ReasonLoading, loading: true},
		"load not run, backing off":  {in: situation(v1, "decode", 6, sent(load, "v2", 3*time.Second, OutcomeNotRun, 3)), reason: ReasonBackoff},
		"load not run, repeated":     {in: situation(v1, "decode", 6, sent(load, "v2", 4*time.Second, OutcomeNotRun, 3)), want: "load m@v2"},
		"load unknown, repeated":     {in: situation(v1, "decode", 7, sent(load, "v2", time.Second, OutcomeUnknown, 1)), want: "load m@v2", loading: true},
		"load invalid":               {in: situation(v1, "decode", 7, sent(load, "v2", 50*time.Second, OutcomeInvalid, 1)), reason: ReasonBackoff},
		"other load superseded":      {in: situation(v1, "decode", 7, sent(load, "v3", time.Minute, OutcomeTaken, 1)), want: "unload m@v3", loading: true},
		"superseded, nothing loaded": {in: situation(nil, "decode", 7, sent(load, "v3", time.Minute, OutcomeTaken, 1)), want: "load m@v2", loading: true},
		"unload on its way":          {in: situation(both, "decode", 7, sent(unload, "v2", time.Second, OutcomeTaken, 1)), want: "load m@v2"},
		"unload not reported yet":    {in: situation(both, "decode", 7, sent(unload, "v1", time.Second, OutcomeTaken, 1)), reason: ReasonAwaiting},
		"unload had no effect":       {in: situation(both, "decode", 7, sent(unload, "v1", 4*time.Second, OutcomeTaken, 1)), want: "unload m@v1"},
		"other role on its way":      {in: situation([]string{"m@v2"}, "decode", 7, sent(role, "prefill", time.Second, OutcomeUnknown, 1)), want: "set_role decode"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := Decide(c.in)
			got := ""
			switch {
			case d.Reason != "":
			case d.Order.Kind == role:
				got = "set_role " + d.Order.Role
			default:
				got = string(d.Order.Kind) + " " + modelOf(d.Order).String()
			}
			g.Expect(got).To(gomega.Equal(c.want))
			g.Expect(d.Reason).To(gomega.Equal(c.reason))
			g.Expect(d.Loading).To(gomega.Equal(c.loading))
			if c.want != "" {
				g.Expect(d.Order.FencingNumber).To(gomega.BeEquivalentTo(7))
			}
		})
	}
}

// Guards against a node count at which the waiting nodes flood the table.
func TestQueueReadRate(t *testing.T) {
	const nodes, seconds = 400, 300
	g := gomega.NewWithT(t)
	c := Config{}.withDefaults()
	reads := make([]int, seconds)
	random := func(i int) float64 { return float64(i*7919%1000) / 1000 }
	for n := range nodes {
		var q queue
		q.begin(t0, c, random(n))
		for k := 0; q.next.Before(t0.Add(seconds * time.Second)); k++ {
			reads[int(q.next.Sub(t0)/time.Second)]++
			q.failed(q.next, c, nodes, random(n+31*k))
		}
	}
	total := 0
	for second, n := range reads {
		g.Expect(n).To(gomega.BeNumerically("<=", nodes), "second %d", second)
		if second >= 60 {
			total += n
		}
	}
	t.Logf("first seconds: %v; from the 60th: %.1f/s", reads[:16], float64(total)/(seconds-60))
	g.Expect(total / (seconds - 60)).To(gomega.BeNumerically("<=", 25))
}

// Guards against a load that the engine lost in a restart and that is taken
// for running because a later order raised the engine's number again.
func TestPruneLostLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	in := situation([]string{"m@v1"}, "decode", 0, sent(backend.OrderLoad, "v2", time.Minute, OutcomeTaken, 1))
	in.History = in.History.Prune(in.Report, true, in.Config, in.Now)
	in.Report.Load.FencingNumber = 7
	d := Decide(in)
	g.Expect(d.Loading).To(gomega.BeFalse())
	g.Expect(d.Order.Kind).To(gomega.Equal(backend.OrderLoad))
}
