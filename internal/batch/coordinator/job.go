package coordinator

import (
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
)

// rangeInfo is what a coordinator knows of a range.
type rangeInfo struct {
	version uint64
	raw     []byte
	row     records.Range
	// split marks a range that was split off; it has no items before its row
	// is known.
	split bool
	// claimed is the time at which the claim was first seen.
	claimed time.Time
	// holder is the judgement of the row's session at the last scan that read
	// the row; it is zero for rows learnt from reports.
	holder       lease.Holder
	offeredUntil time.Time
	askedUntil   time.Time // a request to release items is not repeated before
}

// free reports whether the range can be handed out.
func (r *rangeInfo) free(now time.Time) bool {
	if now.Before(r.offeredUntil) || (r.split && r.version == 0) {
		return false
	}
	switch r.row.State {
	case records.RangeDone:
		return false
	case records.RangeClaimed:
		return r.holder.Gone
	default:
		return true
	}
}

func (r *rangeInfo) held() bool {
	return r.row.State == records.RangeClaimed && !r.holder.Gone
}

// update takes over a row unless it is older than the known one.
func (r *rangeInfo) update(version uint64, raw []byte, row records.Range, now time.Time) {
	if version <= r.version {
		return
	}
	if r.row.Session != row.Session || r.row.Epoch != row.Epoch {
		r.claimed = now
	}
	r.version, r.raw, r.row = version, raw, row
	r.holder = lease.Holder{}
	r.offeredUntil = time.Time{}
}

// jobInfo is what a coordinator knows of an open job.
type jobInfo struct {
	id          core.JobID
	shard       int
	openVersion uint64
	version     uint64
	raw         []byte
	row         records.Job
	ranges      map[string]*rangeInfo
	ids         []string // keys of ranges in order
	done        int
	firstOpen   int // ids before this index are done
	readAt      time.Time
	// readFor is the version of the job row for which all ranges were read.
	readFor uint64
	stale   bool // read the range rows at the next scan
	ending  bool // a cancellation or completion is under way
}

func newJobInfo(id core.JobID, shard int) *jobInfo {
	return &jobInfo{id: id, shard: shard, ranges: make(map[string]*rangeInfo), stale: true}
}

// get returns a range, and adds it if it is unknown.
func (j *jobInfo) get(id string) *rangeInfo {
	r, ok := j.ranges[id]
	if !ok {
		r = &rangeInfo{split: strings.Contains(id, ".")}
		j.ranges[id] = r
		j.insert(id)
	}
	return r
}

func (j *jobInfo) insert(id string) {
	i := len(j.ids)
	for i > 0 && j.ids[i-1] > id {
		i--
	}
	j.ids = append(j.ids, "")
	copy(j.ids[i+1:], j.ids[i:])
	j.ids[i] = id
	j.firstOpen = min(j.firstOpen, i)
}

// update takes over a range row and keeps the count of completed ranges.
func (j *jobInfo) update(id string, version uint64, raw []byte, row records.Range, now time.Time) {
	r := j.get(id)
	before := r.row.State == records.RangeDone
	r.update(version, raw, row, now)
	if after := r.row.State == records.RangeDone; after && !before {
		j.done++
		r.raw = nil
	}
	// The ranges split off are known from here on even if the reports of them
	// are lost, so that the scans do not skip them.
	for n := range r.row.Splits {
		j.get(records.SplitID(id, n))
	}
	for j.firstOpen < len(j.ids) && j.ranges[j.ids[j.firstOpen]].row.State == records.RangeDone {
		j.firstOpen++
	}
}

// complete reports whether all known ranges are done.
func (j *jobInfo) complete() bool {
	return j.row.State == records.JobInProgress && j.done == len(j.ids) && j.done >= j.row.Ranges
}

// counts returns the ranges that can be handed out and those that are held.
func (j *jobInfo) counts(now time.Time) (free, held int) {
	for _, id := range j.ids[j.firstOpen:] {
		r := j.ranges[id]
		if r.free(now) {
			free++
		} else if r.held() || now.Before(r.offeredUntil) {
			held++
		}
	}
	return free, held
}

// lapsed returns the number of ranges of lost nodes that can be handed out.
func (j *jobInfo) lapsed(now time.Time) int {
	n := 0
	for _, id := range j.ids[j.firstOpen:] {
		if r := j.ranges[id]; r.free(now) && r.row.State == records.RangeClaimed {
			n++
		}
	}
	return n
}

// nextFree returns the first range that can be handed out, those of lost nodes
// before others.
func (j *jobInfo) nextFree(now time.Time) string {
	first := ""
	for _, id := range j.ids[j.firstOpen:] {
		r := j.ranges[id]
		if !r.free(now) {
			continue
		}
		if r.row.State == records.RangeClaimed {
			return id
		}
		if first == "" {
			first = id
		}
	}
	return first
}
