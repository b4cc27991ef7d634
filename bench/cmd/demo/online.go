package main

import (
	"context"
	"fmt"
	"maps"
	"sort"
	"sync"
	"time"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/workload"
)

const (
	onlineInterval = 25 * time.Millisecond // 40 calls a second
	// firstTokenBound and shareInTime are the users' figures.
	firstTokenBound = 1400 * time.Millisecond
	shareInTime     = 0.95
	// callerTries is how often a caller sends a call whose connection broke
	// or that was refused as not run.
	callerTries = 4
	callerPause = 200 * time.Millisecond
)

// onlineLoad sends couplets and rule questions, streamed and whole, at a fixed
// rate and checks each answer.
type onlineLoad struct {
	demo *demo
	wait sync.WaitGroup

	mu         sync.Mutex
	sent       int
	whole      int
	wrong      int
	broken     int
	refused    int
	retried    int
	firstToken []time.Duration
	problems   []string
}

func (l *onlineLoad) run(ctx context.Context) {
	couplets, err := workload.Bodies(workload.Couplets)
	if err != nil {
		panic(err) // the data is embedded and checked by a test
	}
	questions, err := workload.Bodies(workload.RuleQuestions)
	if err != nil {
		panic(err)
	}
	ticker := time.NewTicker(onlineInterval)
	defer ticker.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		kind, base := workload.Couplets, couplets[i%len(couplets)]
		if i%3 == 0 {
			kind, base = workload.RuleQuestions, questions[i%len(questions)]
		}
		body := maps.Clone(base)
		body["model"] = modelName
		workload.AppendPrompt(body, fmt.Sprintf(" [%d]", i))
		l.wait.Go(func() { l.one(kind, body, i%2 == 0) })
		<-ticker.C
	}
	l.wait.Wait()
}

func (l *onlineLoad) one(kind workload.Kind, body map[string]any, stream bool) {
	want := client.Expected(body)
	var r client.Result
	for try := range callerTries {
		if try > 0 {
			time.Sleep(callerPause)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		r = l.demo.client.Do(ctx, client.Call{Base: l.demo.balancer.pick(), Path: workload.Path(kind),
			Org: "counter", Body: body, Stream: stream})
		cancel()
		if r.OK() || !l.again(&r) {
			break
		}
	}
	l.record(&r, want, stream)
}

// again reports whether a caller would send the call again: online calls of
// this load are idempotent.
func (l *onlineLoad) again(r *client.Result) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retried++
	return r.Err != nil || r.Status == 0 || r.Status >= 429
}

func (l *onlineLoad) record(r *client.Result, want string, stream bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	switch {
	case r.OK() && r.Text == want:
		l.whole++
		if stream {
			l.firstToken = append(l.firstToken, r.FirstToken)
		}
		return
	case r.OK():
		l.wrong++
	case r.Code != "":
		l.refused++
	default:
		l.broken++
	}
	if len(l.problems) < 3 {
		l.problems = append(l.problems, r.String())
	}
}

// inTime returns the share of first tokens within the bound and the 95th
// percentile.
func (l *onlineLoad) inTime() (share float64, p95 time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.firstToken) == 0 {
		return 0, 0
	}
	sort.Slice(l.firstToken, func(i, j int) bool { return l.firstToken[i] < l.firstToken[j] })
	within := sort.Search(len(l.firstToken), func(i int) bool { return l.firstToken[i] > firstTokenBound })
	return float64(within) / float64(len(l.firstToken)), l.firstToken[len(l.firstToken)*95/100]
}
