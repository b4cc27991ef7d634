package orders

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/backend"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newInput returns an Input at t0 + 1 h with a report that just arrived.
func newInput(models []string, role string, number uint64, history ...SentOrder) Input {
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

func newSent(kind backend.OrderKind, version string, ago time.Duration, outcome Outcome, tries int) SentOrder {
	s := SentOrder{Order: backend.Order{Kind: kind, Model: "m", Version: version, FencingNumber: 7},
		Ended: t0.Add(time.Hour - ago), Outcome: outcome, Attempts: tries}
	if kind == backend.OrderSetRole {
		s.Order = backend.Order{Kind: kind, Role: version, FencingNumber: 7}
	}
	return s
}

// Guards against wrong orders: one that is repeated before the report can show
// its effect, an unload that leaves no model to serve, an order from stale
// settings, or no order where one is needed.
func TestDecide(t *testing.T) {
	const load, unload, role = backend.OrderLoad, backend.OrderUnload, backend.OrderSetRole
	v1, both := []string{"m@v1"}, []string{"m@v1", "m@v2"}
	cases := map[string]struct {
		in      Input
		want    string // kind and model or role
		reason  Reason
		loading bool
	}{
		"role first":             {in: newInput(v1, "prefill", 6), want: "set_role decode"},
		"load":                   {in: newInput(v1, "decode", 6), want: "load m@v2"},
		"unload after load":      {in: newInput(both, "decode", 7), want: "unload m@v1"},
		"done":                   {in: newInput([]string{"m@v2"}, "decode", 3), reason: ReasonInDesiredState},
		"entry without version":  {in: newInput([]string{"m@v2", "x"}, "decode", 3), reason: ReasonInDesiredState},
		"nothing desired":        {in: newInput(v1, "x", 6).with(func(in *Input) { in.Desired = Desired{Number: 7} }), reason: ReasonNothingDesired},
		"only a role desired":    {in: newInput(v1, "decode", 6).with(func(in *Input) { in.Desired.Version = "" }), reason: ReasonInDesiredState},
		"adapter keeps its base": {in: newInput([]string{"m@v2", "m@v2+a"}, "decode", 6).with(func(in *Input) { in.Desired.Adapter = "a" }), reason: ReasonInDesiredState},
		"adapter not desired":    {in: newInput([]string{"m@v2", "m@v2+a"}, "decode", 6), want: "unload m@v2+a"},
		"higher number reported": {in: newInput(v1, "decode", 8), reason: ReasonStaleSettings},
		"fenced":                 {in: newInput(v1, "decode", 7).with(func(in *Input) { in.Fenced, in.FencedAt = 7, in.Now }), reason: ReasonFenced},
		"fenced long ago":        {in: newInput(v1, "decode", 7).with(func(in *Input) { in.Fenced, in.FencedAt = 7, t0 }), want: "load m@v2"},
		"fenced, newer settings": {in: newInput(v1, "decode", 7).with(func(in *Input) { in.Fenced, in.FencedAt = 6, in.Now }), want: "load m@v2"},
		"no report":              {in: newInput(v1, "x", 6).with(func(in *Input) { in.Report = Report{} }), reason: ReasonNoReport},
		"stale report":           {in: newInput(v1, "x", 6).with(func(in *Input) { in.Now = in.Now.Add(6 * time.Second) }), reason: ReasonNoReport},
		"new owner":              {in: newInput(v1, "x", 6).with(func(in *Input) { in.OwnedSince = in.Now }), reason: ReasonRecentOwner},
		"leaving":                {in: newInput(v1, "x", 6).with(func(in *Input) { in.Report.Load.Leaving = true }), reason: ReasonShuttingDown},

		"load not reported yet":      {in: newInput(v1, "decode", 6, newSent(load, "v2", time.Second, OutcomeAccepted, 1)), reason: ReasonAwaitingReport, loading: true},
		"load runs":                  {in: newInput(v1, "decode", 7, newSent(load, "v2", time.Minute, OutcomeAccepted, 1)), reason: ReasonLoading, loading: true},
		"load runs, role differs":    {in: newInput(v1, "x", 7, newSent(load, "v2", time.Minute, OutcomeAccepted, 1)), want: "set_role decode", loading: true},
		"load timed out":             {in: newInput(v1, "decode", 7, newSent(load, "v2", 11*time.Minute, OutcomeAccepted, 1)), want: "load m@v2"},
		"engine restarted":           {in: newInput(v1, "decode", 0, newSent(load, "v2", time.Minute, OutcomeAccepted, 1)), want: "load m@v2"},
		"number not reported":        {in: newInput(v1, "decode", 0, newSent(load, "v2", time.Minute, OutcomeAccepted, 1)).with(func(in *Input) { in.Desired.HonoursFencing = false }), reason: ReasonLoading, loading: true},
		"load not run, backing off":  {in: newInput(v1, "decode", 6, newSent(load, "v2", 3*time.Second, OutcomeNotRun, 3)), reason: ReasonBackoff},
		"load not run, repeated":     {in: newInput(v1, "decode", 6, newSent(load, "v2", 4*time.Second, OutcomeNotRun, 3)), want: "load m@v2"},
		"load unknown, repeated":     {in: newInput(v1, "decode", 7, newSent(load, "v2", time.Second, OutcomeUnknown, 1)), want: "load m@v2", loading: true},
		"load invalid":               {in: newInput(v1, "decode", 7, newSent(load, "v2", 50*time.Second, OutcomeInvalid, 1)), reason: ReasonBackoff},
		"other load superseded":      {in: newInput(v1, "decode", 7, newSent(load, "v3", time.Minute, OutcomeAccepted, 1)), want: "unload m@v3", loading: true},
		"superseded, nothing loaded": {in: newInput(nil, "decode", 7, newSent(load, "v3", time.Minute, OutcomeAccepted, 1)), want: "load m@v2", loading: true},
		"unload pending":             {in: newInput(both, "decode", 7, newSent(unload, "v2", time.Second, OutcomeAccepted, 1)), want: "load m@v2"},
		"unload not reported yet":    {in: newInput(both, "decode", 7, newSent(unload, "v1", time.Second, OutcomeAccepted, 1)), reason: ReasonAwaitingReport},
		"unload had no effect":       {in: newInput(both, "decode", 7, newSent(unload, "v1", 4*time.Second, OutcomeAccepted, 1)), want: "unload m@v1"},
		"other role pending":         {in: newInput([]string{"m@v2"}, "decode", 7, newSent(role, "prefill", time.Second, OutcomeUnknown, 1)), want: "set_role decode"},
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

// Guards against a scan rate of the waiting nodes that grows with their number
// and overloads the table service.
func TestPermitScanRate(t *testing.T) {
	const nodes, seconds = 400, 300
	g := gomega.NewWithT(t)
	c := Config{}.withDefaults()
	reads := make([]int, seconds)
	random := func(i int) float64 { return float64(i*7919%1000) / 1000 }
	for n := range nodes {
		var schedule acquireSchedule
		schedule.start(t0, c, random(n))
		for k := 0; schedule.nextAttempt.Before(t0.Add(seconds * time.Second)); k++ {
			reads[int(schedule.nextAttempt.Sub(t0)/time.Second)]++
			schedule.backOff(schedule.nextAttempt, c, nodes, random(n+31*k))
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

// Guards against a load that the engine lost in a restart and that still counts
// as running because a later order raised the engine's fencing number again.
func TestPruneLostLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	in := newInput([]string{"m@v1"}, "decode", 0, newSent(backend.OrderLoad, "v2", time.Minute, OutcomeAccepted, 1))
	in.History = in.History.Prune(in.Report, true, in.Config, in.Now)
	in.Report.Load.FencingNumber = 7
	d := Decide(in)
	g.Expect(d.Loading).To(gomega.BeFalse())
	g.Expect(d.Order.Kind).To(gomega.Equal(backend.OrderLoad))
}
