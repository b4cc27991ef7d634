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

// handleAsk offers ranges to a worker. If there are none, the holder of the
// range that was claimed longest ago is asked to release unstarted items.
func (c *Coordinator) handleAsk(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var ask Ask
	if err := msgpack.Unmarshal(body, &ask); err != nil {
		return nil, err
	}
	now := time.Now()
	c.mu.Lock()
	offers := c.choose(ask, now)
	var holder core.NodeID
	var behind Behind
	if len(offers) == 0 && len(ask.Except) == 0 {
		holder, behind = c.divide(from, now)
	}
	c.mu.Unlock()
	if holder != "" {
		// A lost request is repeated after SplitAfter.
		_ = c.p.Messenger.Send(holder, KindBehind, behind)
	}
	return msgpack.Marshal(Answer{Offers: offers})
}

func (c *Coordinator) choose(ask Ask, now time.Time) []Offer {
	jobs, infos, held := c.candidates(now)
	for i := range jobs {
		if slices.Contains(ask.Except, jobs[i].Job) {
			jobs[i].Free = infos[i].lapsed(now)
		}
	}
	var offers []Offer
	for len(offers) < ask.Ranges {
		i := ranges.Choose(jobs, held, c.p.Weight, c.p.Config.DueGrain)
		if i < 0 {
			break
		}
		offers = append(offers, c.offer(infos[i], now))
		jobs[i].Free--
		held[jobs[i].Org]++
	}
	return offers
}

func (c *Coordinator) candidates(now time.Time) ([]ranges.Candidate, []*jobInfo, map[core.Org]int) {
	var jobs []ranges.Candidate
	var infos []*jobInfo
	held := make(map[core.Org]int)
	for _, j := range c.jobs {
		if j.row.State != records.JobInProgress || j.readFor != j.version {
			continue
		}
		free, busy := j.counts(now)
		held[j.row.Org] += busy
		jobs = append(jobs, ranges.Candidate{Job: j.id, Org: j.row.Org, Due: j.row.Due, Free: free})
		infos = append(infos, j)
	}
	return jobs, infos, held
}

func (c *Coordinator) offer(j *jobInfo, now time.Time) Offer {
	id := j.nextFree(now)
	r := j.ranges[id]
	r.offeredUntil = now.Add(c.p.Config.OfferHold)
	o := Offer{Job: j.id, JobVersion: j.version, JobRow: j.raw, Range: id, Version: r.version, Row: r.raw}
	if r.row.State == records.RangeClaimed {
		o.Lapsed, o.LeaseVersion = r.row.Session, r.holder.Version
	}
	return o
}

// divide picks the range that was claimed longest ago and at least SplitAfter
// ago, and its holder.
func (c *Coordinator) divide(asking core.NodeID, now time.Time) (core.NodeID, Behind) {
	var best *rangeInfo
	var behind Behind
	for _, j := range c.jobs {
		id := j.oldest(now, c.p.Config.SplitAfter)
		if id == "" || j.row.State != records.JobInProgress {
			continue
		}
		if r := j.ranges[id]; r.row.Node != asking && (best == nil || r.claimed.Before(best.claimed)) {
			best, behind = r, Behind{Job: j.id, Range: id}
		}
	}
	if best == nil {
		return "", behind
	}
	best.askedUntil = now.Add(c.p.Config.SplitAfter)
	return best.row.Node, behind
}

// oldest returns the held range that was claimed longest ago, if that was at
// least age ago and its holder was not asked to release items lately.
func (j *jobInfo) oldest(now time.Time, age time.Duration) string {
	best := ""
	for _, id := range j.ids[j.firstOpen:] {
		r := j.ranges[id]
		if !r.held() || now.Sub(r.claimed) < age || now.Before(r.askedUntil) {
			continue
		}
		if best == "" || r.claimed.Before(j.ranges[best].claimed) {
			best = id
		}
	}
	return best
}

// handleReport takes over a range row that a worker wrote.
func (c *Coordinator) handleReport(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var report Report
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
		c.noteTakeOver(j, report.Range, row)
		j.update(report.Range, report.Version, report.Row, row, now)
		wake = j.complete() || row.State == records.RangeReleased
	}
	c.mu.Unlock()
	if wake {
		signal(c.nudge)
	}
	return nil, nil
}

// noteTakeOver marks the other ranges of a session as free once one of them was
// taken over: the take-over deleted the session's lease row. Without it they
// would wait for the next scan that reads their rows. The lock is held.
func (c *Coordinator) noteTakeOver(j *jobInfo, id string, row records.Range) {
	r, ok := j.ranges[id]
	if !ok || !r.holder.Gone || r.row.State != records.RangeClaimed || r.row.Session == row.Session || row.Epoch != r.row.Epoch+1 {
		return
	}
	session := r.row.Session
	for _, other := range c.jobs {
		for _, otherID := range other.ids[other.firstOpen:] {
			o := other.ranges[otherID]
			if o.row.State == records.RangeClaimed && o.row.Session == session {
				o.holder = lease.Holder{Gone: true}
			}
		}
	}
}

func (c *Coordinator) handleJob(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var notice JobNotice
	if err := msgpack.Unmarshal(body, &notice); err != nil {
		return nil, err
	}
	c.markStale(notice.Job)
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
