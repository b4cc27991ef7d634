package coordinator

import (
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/batch/lease"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
)

// rangeInfo is the state of a range as known to the coordinator.
type rangeInfo struct {
	version uint64
	raw     []byte
	row     records.Range
	// isSplit is set for a range that was split off. Its items are unknown until
	// its row has been read.
	isSplit bool
	// claimedAt is the time at which the claim was first seen.
	claimedAt time.Time
	// holder is the status of the row's session at the last lease scan. It is zero
	// for a row that has changed since.
	holder              lease.SessionStatus
	offeredUntil        time.Time
	splitRequestedUntil time.Time // no split request is sent to the holder before
}

// free reports whether the range can be offered to a worker.
func (r *rangeInfo) free(now time.Time) bool {
	if now.Before(r.offeredUntil) || (r.isSplit && r.version == 0) {
		return false
	}
	switch r.row.State {
	case records.RangeDone:
		return false
	case records.RangeClaimed:
		return r.holder.Expired
	default:
		return true
	}
}

func (r *rangeInfo) held() bool {
	return r.row.State == records.RangeClaimed && !r.holder.Expired
}

// update stores a row unless it is older than the known one.
func (r *rangeInfo) update(version uint64, raw []byte, row records.Range, now time.Time) {
	if version <= r.version {
		return
	}
	if r.row.Session != row.Session || r.row.Epoch != row.Epoch {
		r.claimedAt = now
	}
	r.version, r.raw, r.row = version, raw, row
	r.holder = lease.SessionStatus{}
	r.offeredUntil = time.Time{}
}

// jobInfo is the state of an open job as known to the coordinator.
type jobInfo struct {
	id          core.JobID
	shard       int
	openVersion uint64
	version     uint64
	raw         []byte
	row         records.Job
	ranges      map[string]*rangeInfo
	rangeIDs    []string // keys of ranges in ascending order
	doneRanges  int
	firstOpen   int // rangeIDs before this index are done
	readAt      time.Time
	// rangesReadVersion is the version of the job row at the last complete read of
	// the range rows.
	rangesReadVersion uint64
	stale             bool // the next scan reads the range rows
	ending            bool // a cancellation or completion is in progress
}

func newJobInfo(id core.JobID, shard int) *jobInfo {
	return &jobInfo{id: id, shard: shard, ranges: make(map[string]*rangeInfo), stale: true}
}

// getOrAdd returns a range and adds it first if it is unknown.
func (j *jobInfo) getOrAdd(id string) *rangeInfo {
	r, ok := j.ranges[id]
	if !ok {
		r = &rangeInfo{isSplit: strings.Contains(id, ".")}
		j.ranges[id] = r
		j.insert(id)
	}
	return r
}

func (j *jobInfo) insert(id string) {
	i := len(j.rangeIDs)
	for i > 0 && j.rangeIDs[i-1] > id {
		i--
	}
	j.rangeIDs = append(j.rangeIDs, "")
	copy(j.rangeIDs[i+1:], j.rangeIDs[i:])
	j.rangeIDs[i] = id
	j.firstOpen = min(j.firstOpen, i)
}

// update stores a range row and maintains the count of ranges that are done.
func (j *jobInfo) update(id string, version uint64, raw []byte, row records.Range, now time.Time) {
	r := j.getOrAdd(id)
	before := r.row.State == records.RangeDone
	r.update(version, raw, row, now)
	if after := r.row.State == records.RangeDone; after && !before {
		j.doneRanges++
		r.raw = nil
	}
	// Add the ranges that were split off, even if the reports about them are lost,
	// so that scans do not skip them.
	for n := range r.row.Splits {
		j.getOrAdd(records.SplitID(id, n))
	}
	for j.firstOpen < len(j.rangeIDs) && j.ranges[j.rangeIDs[j.firstOpen]].row.State == records.RangeDone {
		j.firstOpen++
	}
}

// complete reports whether all known ranges are done.
func (j *jobInfo) complete() bool {
	return j.row.State == records.JobInProgress && j.doneRanges == len(j.rangeIDs) && j.doneRanges >= j.row.Ranges
}

// counts returns the number of ranges that can be offered, and of those that are
// held or have an offer pending.
func (j *jobInfo) counts(now time.Time) (free, held int) {
	for _, id := range j.rangeIDs[j.firstOpen:] {
		r := j.ranges[id]
		if r.free(now) {
			free++
		} else if r.held() || now.Before(r.offeredUntil) {
			held++
		}
	}
	return free, held
}

// freeOfExpired returns the number of ranges that can be offered for a takeover
// from a session whose lease has expired.
func (j *jobInfo) freeOfExpired(now time.Time) int {
	n := 0
	for _, id := range j.rangeIDs[j.firstOpen:] {
		if r := j.ranges[id]; r.free(now) && r.row.State == records.RangeClaimed {
			n++
		}
	}
	return n
}

// nextFree returns the first range that can be offered, or "". Ranges of expired
// sessions come before others.
func (j *jobInfo) nextFree(now time.Time) string {
	first := ""
	for _, id := range j.rangeIDs[j.firstOpen:] {
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
