package relay

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
	"gentiantide.example/gentiantide/internal/settings"
)

var drawnScript = rapid.Custom(func(t *rapid.T) script {
	return script{
		openErr:  rapid.SampledFrom([]error{nil, nil, nil, backend.ErrUnreachable, backend.ErrRefused, backend.ErrInterrupted, backend.ErrInvalid}).Draw(t, "openErr"),
		delay:    time.Duration(rapid.IntRange(0, 15).Draw(t, "delay")) * time.Second,
		gap:      time.Duration(rapid.IntRange(0, 6).Draw(t, "gap")) * time.Second,
		stopAt:   rapid.IntRange(-1, 6).Draw(t, "stopAt"),
		endErr:   rapid.SampledFrom([]error{io.EOF, backend.ErrInterrupted}).Draw(t, "endErr"),
		repeat:   rapid.IntRange(0, 3).Draw(t, "repeat"),
		skip:     rapid.IntRange(0, 2).Draw(t, "skip"),
		deaf:     rapid.Bool().Draw(t, "deaf"),
		dies:     rapid.Bool().Draw(t, "dies"),
		preempts: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 4500}).Draw(t, "preempts")) * time.Millisecond,
	}
})

// Guards against any sequence of faults after which the caller sees other
// tokens than the engine's without an error, a non-idempotent call may have
// run twice, "not run" is untrue, or a slot or stream is left behind.
func TestGenerateOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { rapid.SyncTest(t, checkGenerate) })
}

func checkGenerate(t *rapid.T) {
	full := core.Refuse(core.CodeOverloaded, "full")
	f := &fleet{
		tokens:   rapid.IntRange(0, 6).Draw(t, "tokens"),
		scripts:  rapid.SliceOfN(drawnScript, 0, 6).Draw(t, "scripts"),
		refusals: rapid.SliceOfN(rapid.SampledFrom([]*core.Refusal{nil, nil, full}), 0, 4).Draw(t, "refusals"),
	}
	retries := rapid.IntRange(0, 5).Draw(t, "retries")
	limit := rapid.IntRange(1, 5).Draw(t, "maxAttempts")
	hedge := time.Duration(rapid.IntRange(0, 2).Draw(t, "hedgeAfter")) * time.Second
	r := f.relay(&budget{left: retries}, func(s *settings.Deployment) { s.MaxAttempts, s.HedgeAfter = limit, hedge })
	g := Generation{
		Deployment: testDeployment, NonIdempotent: rapid.Bool().Draw(t, "nonIdempotent"),
		Class: rapid.SampledFrom([]core.Class{core.ClassOnline, core.ClassBatch}).Draw(t, "class"),
	}
	sink := collector{stop: rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "callerGone")}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
	defer cancel()
	result, refusal := r.Generate(ctx, g, &sink)
	time.Sleep(time.Minute)
	synctest.Wait()

	want := expectedText(f.tokens)
	switch {
	case !strings.HasPrefix(want, sink.text) || sink.text != result.Text:
		t.Fatalf("the caller saw %q, the result says %q, the engine said %q", sink.text, result.Text, want)
	case refusal == nil && (sink.text != want || result.FinishReason != "stop" || result.Tokens != f.tokens):
		t.Fatalf("%q was passed off as whole: %+v", sink.text, result)
	case g.NonIdempotent && f.ran > 1:
		t.Fatalf("a non-idempotent call may have run %d times", f.ran)
	case refusal != nil && refusal.Execution == core.NotRun && f.ran > 0:
		t.Fatalf("a call that may have run was refused as not run: %v", refusal)
	case refusal != nil && refusal.Execution != result.Execution:
		t.Fatalf("refusal says %v, result %v", refusal.Execution, result.Execution)
	case g.Class == core.ClassOnline && (f.sends > limit || f.sends > 1+retries):
		t.Fatalf("%d sends with %d attempts and %d retries allowed", f.sends, limit, retries)
	case f.released != f.granted || f.running != 0:
		t.Fatalf("%d of %d slots released, %d streams running", f.released, f.granted, f.running)
	}
}
