package main

import (
	"fmt"
	"math"
	"sync"
	"time"
)

const (
	// jobsPerSecond is the usual rate of the site's batch jobs, and burstFactor and
	// burstSeconds the burst of them that the site file lists.
	jobsPerSecond = 1.03
	burstFactor   = 6.0
	burstSeconds  = 3.0
	// quotaItems is the most items that a job may have.
	quotaItems = 200
	// quotaOverage is how much more than the limit may wait at a 202.
	quotaOverage      = 0.1
	quotaTokensIn     = 350
	quotaTokensOut    = 1850
	submitDeadline    = 4 * time.Second
	quotaEvents       = 172
	quotaEventGap     = 30 * time.Millisecond
	quotaReplicas     = 18
	quotaNodes        = 12
	settleBeforeBurst = 3 * time.Second
)

// queuedTokens checks QUOTA: many batch jobs come at once, at nodes in turn.
func queuedTokens(w *world, trouble bool) (bool, error) {
	replicas, err := w.addReplicas(w.models, quotaReplicas, quotaEvents, quotaEventGap)
	if err != nil {
		return false, err
	}
	if _, err := w.addReplicas(w.plain, 3, 0, 0); err != nil {
		return false, err
	}
	if err := w.configure(3); err != nil {
		return false, err
	}
	if err := w.startNodes(quotaNodes); err != nil {
		return false, err
	}
	time.Sleep(settleBeforeBurst)
	rate := jobsPerSecond
	if trouble {
		rate *= burstFactor
	}
	jobs := int(math.Floor(jobsPerSecond * burstFactor * burstSeconds))
	perItem := quotaTokensIn + quotaTokensOut
	most := int(float64(w.maxQueuedTokens) * (1 + quotaOverage))
	w.note("%d jobs of %d items of %d tokens, %.2f a second; at a 202 at most %d tokens may wait", jobs, quotaItems, perItem, rate, most)

	var mu sync.Mutex
	accepted, held := 0, true
	var wait sync.WaitGroup
	begin := time.Now()
	for i := range jobs {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("%016x", 0x7c41e09b52d60000+i)
			nd := w.nodes[(i*5)%len(w.nodes)]
			w.note("job %s sent to %s", id, nd.name)
			got := w.call("POST", nd.front, w.batch+id, id, submitDeadline, w.jobBody(id, quotaItems, quotaTokensIn, quotaTokensOut))
			mu.Lock()
			defer mu.Unlock()
			if got.status == 202 {
				accepted++
			}
			finished := 0
			for _, r := range replicas {
				for _, q := range r.ReceivedRequests() {
					if q.Whole {
						finished++
					}
				}
			}
			waiting := (accepted*quotaItems - finished) * perItem
			w.note("job %s answered %s; %d jobs accepted, %d items finished, %d tokens wait", id, got, accepted, finished, waiting)
			if got.status == 202 && waiting > most {
				held = false
			}
		}()
	}
	wait.Wait()
	return held, nil
}
