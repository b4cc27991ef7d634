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
	// The users require the first token within firstTokenLimit for requiredShare of
	// the streams.
	firstTokenLimit = 1400 * time.Millisecond
	requiredShare   = 0.95
	// maxCallAttempts is how often a caller sends a call that fails with a
	// connection error or a status of 429 or more.
	maxCallAttempts = 4
	retryDelay      = 200 * time.Millisecond
)

// onlineLoad sends couplets and rule questions at a fixed rate, every other one as
// a stream, and checks each answer.
type onlineLoad struct {
	demo *demo
	wait sync.WaitGroup

	mu          sync.Mutex
	sent        int
	complete    int
	incorrect   int
	interrupted int
	refused     int
	retried     int
	firstToken  []time.Duration
	problems    []string
}

func (l *onlineLoad) run(ctx context.Context) {
	couplets, err := workload.Bodies(workload.Couplets)
	if err != nil {
		panic(err) // the data is embedded in the program
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
		l.wait.Go(func() { l.send(kind, body, i%2 == 0) })
		<-ticker.C
	}
	l.wait.Wait()
}

// send sends a call, with retries, and records the result.
func (l *onlineLoad) send(kind workload.Kind, body map[string]any, stream bool) {
	want := client.Expected(body)
	var r client.Result
	for attempt := range maxCallAttempts {
		if attempt > 0 {
			time.Sleep(retryDelay)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		r = l.demo.client.Do(ctx, client.Call{Base: l.demo.balancer.pick(), Path: workload.Path(kind),
			Org: "counter", Body: body, Stream: stream})
		cancel()
		if r.OK() || !l.shouldRetry(&r) {
			break
		}
	}
	l.record(&r, want, stream)
}

// shouldRetry counts a failed attempt and reports whether a caller may retry the
// call. The calls of this load are idempotent.
func (l *onlineLoad) shouldRetry(r *client.Result) bool {
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
		l.complete++
		if stream {
			l.firstToken = append(l.firstToken, r.FirstToken)
		}
		return
	case r.OK():
		l.incorrect++
	case r.Code != "":
		l.refused++
	default:
		l.interrupted++
	}
	if len(l.problems) < 3 {
		l.problems = append(l.problems, r.String())
	}
}

// firstTokenStats returns the share of streams whose first token came within
// firstTokenLimit, and the 95th percentile of the time to the first token.
func (l *onlineLoad) firstTokenStats() (share float64, p95 time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.firstToken) == 0 {
		return 0, 0
	}
	sort.Slice(l.firstToken, func(i, j int) bool { return l.firstToken[i] < l.firstToken[j] })
	within := sort.Search(len(l.firstToken), func(i int) bool { return l.firstToken[i] > firstTokenLimit })
	return float64(within) / float64(len(l.firstToken)), l.firstToken[len(l.firstToken)*95/100]
}
