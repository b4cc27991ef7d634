package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/ranges"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
)

// handleRangeRequest offers ranges to a worker. If there are none, it asks the holder
// of the range that was claimed longest ago to give up its unstarted items.
func (c *Coordinator) handleRangeRequest(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var req RangeRequest
	if err := msgpack.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	now := time.Now()
	c.mu.Lock()
	offers := c.chooseOffers(req, now)
	var holder core.NodeID
	var split SplitRequest
	if len(offers) == 0 && len(req.ExcludeJobs) == 0 {
		holder, split = c.chooseSplit(from, now)
	}
	c.mu.Unlock()
	if holder != "" {
		// If the message is lost, a later request asks again after SplitAfter.
		_ = c.p.Messenger.Send(holder, KindSplitRequest, split)
	}
	return msgpack.Marshal(RangeResponse{Offers: offers})
}

func (c *Coordinator) chooseOffers(req RangeRequest, now time.Time) []Offer {
	jobs, infos, held := c.candidates(now)
	for i := range jobs {
		if slices.Contains(req.ExcludeJobs, jobs[i].Job) {
			jobs[i].Free = infos[i].freeOfExpired(now)
		}
	}
	var offers []Offer
	for len(offers) < req.MaxRanges {
		i := ranges.ChooseJob(jobs, held, c.p.Weight, c.p.Config.DueGranularity)
		if i < 0 {
			break
		}
		offers = append(offers, c.makeOffer(infos[i], now))
		jobs[i].Free--
		held[jobs[i].Org]++
	}
	return offers
}

func (c *Coordinator) candidates(now time.Time) ([]ranges.JobCandidate, []*jobInfo, map[core.Org]int) {
	var jobs []ranges.JobCandidate
	var infos []*jobInfo
	held := make(map[core.Org]int)
	for _, j := range c.jobs {
		if j.row.State != records.JobInProgress || j.rangesReadVersion != j.version {
			continue
		}
		free, jobHeld := j.counts(now)
		held[j.row.Org] += jobHeld
		jobs = append(jobs, ranges.JobCandidate{Job: j.id, Org: j.row.Org, Due: j.row.Due, Free: free})
		infos = append(infos, j)
	}
	return jobs, infos, held
}

func (c *Coordinator) makeOffer(j *jobInfo, now time.Time) Offer {
	id := j.nextFree(now)
	r := j.ranges[id]
	r.offeredUntil = now.Add(c.p.Config.OfferTimeout)
	o := Offer{Job: j.id, JobVersion: j.version, JobRow: j.raw, Range: id, Version: r.version, Row: r.raw}
	if r.row.State == records.RangeClaimed {
		o.ExpiredSession, o.LeaseVersion = r.row.Session, r.holder.Version
	}
	return o
}

// chooseSplit returns the holder of the range that was claimed longest ago, if that
// was at least SplitAfter ago, and the request to send to it.
func (c *Coordinator) chooseSplit(requester core.NodeID, now time.Time) (core.NodeID, SplitRequest) {
	var best *rangeInfo
	var split SplitRequest
	for _, j := range c.jobs {
		id := j.oldestHeld(now, c.p.Config.SplitAfter)
		if id == "" || j.row.State != records.JobInProgress {
			continue
		}
		if r := j.ranges[id]; r.row.Node != requester && (best == nil || r.claimedAt.Before(best.claimedAt)) {
			best, split = r, SplitRequest{Job: j.id, Range: id}
		}
	}
	if best == nil {
		return "", split
	}
	best.splitRequestedUntil = now.Add(c.p.Config.SplitAfter)
	return best.row.Node, split
}

// oldestHeld returns the held range that was claimed longest ago, or "". It ignores
// ranges that were claimed less than age ago or have a recent split request.
func (j *jobInfo) oldestHeld(now time.Time, age time.Duration) string {
	best := ""
	for _, id := range j.rangeIDs[j.firstOpen:] {
		r := j.ranges[id]
		if !r.held() || now.Sub(r.claimedAt) < age || now.Before(r.splitRequestedUntil) {
			continue
		}
		if best == "" || r.claimedAt.Before(j.ranges[best].claimedAt) {
			best = id
		}
	}
	return best
}

// handleRangeReport stores a range row that a worker has written, or marks the job
// as stale if the worker does not know the row.
func (c *Coordinator) handleRangeReport(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var report RangeReport
	if err := msgpack.Unmarshal(body, &report); err != nil {
		return nil, err
	}
	if report.Version == 0 {
		c.markStale(report.Job)
		return nil, nil
	}
	row, err := records.Decode[records.Range](report.Row)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c.mu.Lock()
	j := c.jobs[report.Job]
	wake := false
	if j != nil {
		c.markSessionExpired(j, report.Range, row)
		j.update(report.Range, report.Version, report.Row, row, now)
		wake = j.complete() || row.State == records.RangeReleased
	}
	c.mu.Unlock()
	if wake {
		signal(c.actWake)
	}
	return nil, nil
}

// markSessionExpired marks the other ranges of a session as free if the reported row
// is a takeover from it, since a takeover deletes the session's lease row. Without
// this, the ranges would wait for the next scan that reads their rows. The caller
// holds c.mu.
func (c *Coordinator) markSessionExpired(j *jobInfo, id string, row records.Range) {
	r, ok := j.ranges[id]
	if !ok || !r.holder.Expired || r.row.State != records.RangeClaimed || r.row.Session == row.Session || row.Epoch != r.row.Epoch+1 {
		return
	}
	session := r.row.Session
	for _, other := range c.jobs {
		for _, otherID := range other.rangeIDs[other.firstOpen:] {
			o := other.ranges[otherID]
			if o.row.State == records.RangeClaimed && o.row.Session == session {
				o.holder = lease.SessionStatus{Expired: true}
			}
		}
	}
}

func (c *Coordinator) handleJobChanged(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var changed JobChanged
	if err := msgpack.Unmarshal(body, &changed); err != nil {
		return nil, err
	}
	c.markStale(changed.Job)
	return nil, nil
}

func (c *Coordinator) markStale(id core.JobID) {
	c.mu.Lock()
	if j := c.jobs[id]; j != nil {
		j.stale = true
	}
	c.mu.Unlock()
	c.Wake()
}
