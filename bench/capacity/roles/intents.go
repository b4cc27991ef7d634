package roles

import (
	"context"
	"fmt"
	"net/http"

	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/intent"
)

// Intents measures the calls to the table service that a non-idempotent call with
// an idempotency key causes.
func Intents(env *Environment) error {
	writes := &slope.Slope{Name: "intent.transactions_per_call", Unit: "1"}
	reads := &slope.Slope{Name: "intent.reads_per_call", Unit: "1"}
	resent := &slope.Slope{Name: "intent.reads_per_resend", Unit: "1"}
	for _, n := range []int{10, 50, 200} {
		table := meter.NewTable(infratest.NewTable())
		i := 0
		store := intent.New(intent.Config{Table: table, NewID: func() string { i++; return fmt.Sprint(i) }})
		for call := range n {
			if err := runCall(store, call, intent.Started); err != nil {
				return err
			}
		}
		first := table.Counts()
		for call := range n {
			if err := runCall(store, call, intent.Replay); err != nil {
				return err
			}
		}
		writes.Add(float64(n), meter.Sum(first.Commits))
		reads.Add(float64(n), meter.Sum(first.Reads))
		resent.Add(float64(n), meter.Sum(table.Counts().Reads)-meter.Sum(first.Reads))
		store.Close()
	}
	for _, s := range []*slope.Slope{writes, reads, resent} {
		env.Print.Slope(s)
	}
	return nil
}

// runCall begins a call, checks that it has the wanted outcome, and finishes it if it
// was started.
func runCall(store *intent.Store, call int, want intent.Outcome) error {
	ctx := context.Background()
	decision, refusal := store.Begin(ctx, "permits", fmt.Sprint("permit-", call), intent.Digest{})
	if refusal != nil {
		return refusal
	}
	if decision.Outcome != want {
		return fmt.Errorf("call %d has outcome %d, want %d", call, decision.Outcome, want)
	}
	if decision.Attempt == nil {
		return nil
	}
	return store.Finish(ctx, decision.Attempt, intent.Response{Status: http.StatusOK, Body: []byte(`{"permit":"issued"}`)})
}
