package placement

import (
	"math"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// outcomeHalfLife is the time after which a run counts half. It spans some ten runs
	// at a replica of usual size.
	outcomeHalfLife = 4 * time.Second
	// outcomeTTL is how long a replica without new outcomes is remembered.
	outcomeTTL = 30 * time.Second
	// sameFailure is the time in which further failures at a replica count as one more
	// at most: a replica that crashes ends all its runs at once.
	sameFailure = 100 * time.Millisecond
	// minDoubtfulFailures and minDoubtfulShare are the least weight of failed runs, and
	// their least share, with which a replica is doubtful. One failure may be the
	// fault of its request.
	minDoubtfulFailures = 1.5
	minDoubtfulShare    = 0.1
	// doubtfulFor is how long after its last failure a replica is doubtful. One that is
	// sound again gets all work by then.
	doubtfulFor = 2 * time.Second
	// maxTroubledShare is the part of the replicas of a group, or of those of a data
	// centre in the group, above which none is blamed alone.
	maxTroubledShare = 0.5
)

// outcomes holds the results of the runs of all nodes at the replicas of a group. It
// depends only on its inputs and the times passed to it.
type outcomes struct {
	records  map[core.ReplicaID]*outcomeRecord
	replicas map[core.ReplicaID]replicaProcess
	blamed   blamedNodes
	// troubled counts the replicas of the group on probation, by data centre, and size all
	// of them.
	troubled, size map[core.DataCentre]int
	numTroubled    int
	changed        []standingChange
	// companyAt caches companyProbeAt.
	companyAt map[core.DataCentre]time.Time
}

// replicaProcess is one process of a replica, and its data centre.
type replicaProcess struct {
	started int64
	dc      core.DataCentre
}

// outcomeRecord is what is known of the runs at one process of a replica.
type outcomeRecord struct {
	started int64
	// succeeded and failed are the runs, weighted by their age, at agedAt.
	succeeded, failed float64
	agedAt            time.Time
	// reportedAt is when a node or another hub last reported runs.
	reportedAt time.Time
	// failuresInRow are the failures since the last run that began after a failure and
	// succeeded.
	failuresInRow int
	lastFailure   time.Time
	// lastTrouble is when a run failed last, also unclearly.
	lastTrouble time.Time
	// released is when the run began whose success ended the last probation.
	released time.Time
	// probedAt is when a request was granted on probation whose result is not known, or
	// zero.
	probedAt time.Time
}

func newOutcomes() outcomes {
	return outcomes{
		records: make(map[core.ReplicaID]*outcomeRecord), replicas: make(map[core.ReplicaID]replicaProcess),
		blamed: make(blamedNodes), troubled: make(map[core.DataCentre]int), size: make(map[core.DataCentre]int),
		companyAt: make(map[core.DataCentre]time.Time),
	}
}

// update replaces the replicas of the group. What is known of an earlier process of a
// replica does not hold for the next one.
func (o *outcomes) update(replicas []replicaSlots) {
	clear(o.size)
	for _, r := range replicas {
		o.replicas[r.id] = replicaProcess{started: r.started, dc: r.dc}
		if record := o.records[r.id]; record != nil && record.started != r.started {
			delete(o.records, r.id)
		}
		o.size[r.dc]++
	}
	if len(o.replicas) > 2*len(replicas)+groupSize { // replicas have left for good
		clear(o.replicas)
	}
	o.count()
}

// count counts the replicas on probation.
func (o *outcomes) count() {
	clear(o.troubled)
	clear(o.companyAt)
	o.numTroubled = 0
	for id, record := range o.records {
		if record.failuresInRow > 0 {
			o.troubled[o.replicas[id].dc]++
			o.numTroubled++
		}
	}
}

// receive applies the outcomes that a node reports.
func (o *outcomes) receive(node core.NodeID, reported []replicaOutcomes, now time.Time) {
	for i := range reported {
		r := &reported[i]
		process, known := o.replicas[r.ID]
		if !known {
			continue
		}
		failed := max(0, r.Failed)
		if failed > 0 && o.blamed.fails(node, r.ID, now) {
			failed = 0
		}
		if r.Succeeded > 0 {
			o.blamed.succeeds(node, r.ID, now)
		}
		record := o.record(r.ID, process.started, now)
		record.age(now)
		record.succeeded += float64(max(0, r.Succeeded))
		record.failed += float64(failed + max(0, r.Unclear))
		if failed > 0 || r.Unclear > 0 {
			record.lastTrouble = now
		}
		began := now.Add(-max(0, r.SuccessAge))
		if r.Succeeded > 0 && record.failuresInRow > 0 && began.After(record.lastFailure) {
			o.release(r.ID, process.dc, began)
		}
		if failed > 0 || r.Unclear > 0 && record.failuresInRow > 0 {
			o.fail(r.ID, record, failed, now)
		}
	}
}

// record returns the record of a replica of which runs are reported, and creates it if needed.
func (o *outcomes) record(id core.ReplicaID, started int64, now time.Time) *outcomeRecord {
	record := o.records[id]
	if record == nil {
		record = &outcomeRecord{started: started, agedAt: now}
		o.records[id] = record
	}
	record.reportedAt = now
	return record
}

func (r *outcomeRecord) age(now time.Time) {
	if elapsed := now.Sub(r.agedAt); elapsed > 0 {
		weight := math.Exp2(-elapsed.Seconds() / outcomeHalfLife.Seconds())
		r.succeeded, r.failed, r.agedAt = r.succeeded*weight, r.failed*weight, now
	}
}

// fail puts a replica on probation, or lengthens its probation.
func (o *outcomes) fail(id core.ReplicaID, record *outcomeRecord, failed int, now time.Time) {
	if record.failuresInRow == 0 {
		o.changed = append(o.changed, standingChange{replica: id, onProbation: true})
	}
	if failed > 1 || now.Sub(record.lastFailure) <= sameFailure {
		record.failuresInRow = max(record.failuresInRow, 2)
	} else {
		record.failuresInRow++
	}
	record.lastFailure, record.probedAt = now, time.Time{}
	o.count()
}

// release ends the probation of a replica at which a run succeeded that began at a time.
// If most of its data centre failed, the cause was the data centre or the way to it, and
// the others that failed before that run are released, too.
func (o *outcomes) release(id core.ReplicaID, dc core.DataCentre, began time.Time) {
	company := o.dataCentreTroubled(dc)
	for other, record := range o.records {
		if record.failuresInRow > 0 && (other == id || company && o.replicas[other].dc == dc && began.After(record.lastFailure)) {
			record.failuresInRow, record.probedAt, record.released = 0, time.Time{}, began
			if company {
				record.failed = 0
			}
			o.changed = append(o.changed, standingChange{replica: other})
		}
	}
	o.count()
}

// dataCentreTroubled reports whether most replicas of a data centre are on probation.
func (o *outcomes) dataCentreTroubled(dc core.DataCentre) bool {
	n := o.troubled[dc]
	return n >= minCompany && float64(n) > maxTroubledShare*float64(o.size[dc])
}

// allTroubled reports whether most replicas of each data centre are on probation, so that
// their failures say nothing of each of them. While one data centre is sound, the others
// may be cut off from the hub and its nodes.
func (o *outcomes) allTroubled() bool {
	if o.numTroubled == 0 {
		return false
	}
	for dc, n := range o.size {
		if float64(o.troubled[dc]) <= maxTroubledShare*float64(n) {
			return false
		}
	}
	return true
}

// standing returns what is known of a replica now.
func (o *outcomes) standing(id core.ReplicaID, now time.Time) standing {
	record := o.records[id]
	if record == nil || record.failuresInRow == 0 && record.failed < 1 || o.allTroubled() {
		return standing{}
	}
	record.age(now)
	out := standing{}
	if record.failed >= minDoubtfulFailures && now.Sub(record.lastTrouble) <= doubtfulFor {
		out.failedShare = record.failed / (record.failed + record.succeeded)
	}
	out.doubtful = out.failedShare >= minDoubtfulShare
	if record.failuresInRow == 0 {
		return out
	}
	out.onProbation, out.doubtful = true, true
	out.probeAt = record.lastFailure.Add(probationPause(record.failuresInRow))
	if dc := o.replicas[id].dc; o.dataCentreTroubled(dc) {
		out.probeAt = o.companyProbeAt(dc)
	}
	if !record.probedAt.IsZero() {
		out.probeAt = later(out.probeAt, record.probedAt.Add(probeResultTimeout))
	}
	return out
}

// onProbation reports whether a replica gets one request at a time.
func (o *outcomes) onProbation(id core.ReplicaID) bool {
	record := o.records[id]
	return record != nil && record.failuresInRow > 0 && !o.allTroubled()
}

// companyProbeAt returns when the next replica of a data centre may be tried most of
// which have failed. One at a time is enough, as its success releases all.
func (o *outcomes) companyProbeAt(dc core.DataCentre) time.Time {
	if at, ok := o.companyAt[dc]; ok {
		return at
	}
	var at time.Time
	for id, record := range o.records {
		if record.failuresInRow == 0 || o.replicas[id].dc != dc {
			continue
		}
		at = later(at, record.lastFailure.Add(companyPause))
		if !record.probedAt.IsZero() {
			at = later(at, record.probedAt.Add(probeResultTimeout))
		}
	}
	o.companyAt[dc] = at
	return at
}

// granted records that a request was granted a replica.
func (o *outcomes) granted(id core.ReplicaID, now time.Time) {
	if record := o.records[id]; record != nil && record.failuresInRow > 0 {
		record.probedAt = now
		clear(o.companyAt)
	}
}

// expire forgets replicas at which nothing has run for long.
func (o *outcomes) expire(now time.Time) {
	o.blamed.expire(now)
	removed := false
	for id, record := range o.records {
		if now.Sub(record.reportedAt) > outcomeTTL && now.Sub(record.lastTrouble) > outcomeTTL {
			delete(o.records, id)
			removed = true
		}
	}
	if removed {
		o.count()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
