package placement

import (
	"log/slog"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// Nodes report the results of their runs with their counts, and the hub tells all of them
// with its totals which replicas have failed. A node that becomes the hub, or reports to a
// new one, passes on what the totals said last.

// inheritedTTL is how long the last totals of a former hub are passed on. Probations end
// within that time.
const inheritedTTL = 5 * time.Second

// formerTotals are the totals that this node got last from the hub of a group.
type formerTotals struct {
	replicas  []replicaCounts
	standings []replicaStanding
	at        time.Time
}

// standingsAt returns the standings as they are at a time, or nil if they are too old.
func (f *formerTotals) standingsAt(now time.Time) []replicaStanding {
	if f == nil || now.Sub(f.at) > inheritedTTL {
		return nil
	}
	out := make([]replicaStanding, len(f.standings))
	for i, s := range f.standings {
		if s.FailureAge <= inheritedTTL { // the largest one means that no failure is known
			s.FailureAge += now.Sub(f.at)
		}
		out[i] = s
	}
	return out
}

// standings returns what is known of the replicas that have failed.
func (o *outcomes) standings(now time.Time) []replicaStanding {
	var out []replicaStanding
	for id, record := range o.records {
		record.age(now)
		if record.failuresInRow == 0 && record.failed < 1 {
			continue
		}
		present := o.standing(id, now)
		out = append(out, replicaStanding{
			ID: id, Started: record.started, FailuresInRow: record.failuresInRow,
			Succeeded: record.succeeded, Failed: record.failed, FailureAge: now.Sub(record.lastFailure),
			OnProbation: present.onProbation, FailedShare: present.failedShare,
		})
	}
	return out
}

// adopt takes over what another hub knew, where this one has seen no failure since.
func (o *outcomes) adopt(standings []replicaStanding, now time.Time) {
	for i := range standings {
		s := &standings[i]
		process, known := o.replicas[s.ID]
		lastFailure := now.Add(-max(0, s.FailureAge))
		if !known || process.started != s.Started || s.FailureAge > inheritedTTL {
			continue
		}
		if record := o.records[s.ID]; record != nil && (!record.lastFailure.Before(lastFailure) || record.released.After(lastFailure)) {
			continue
		}
		record := o.record(s.ID, s.Started, now)
		record.age(now)
		record.succeeded, record.failed = max(record.succeeded, s.Succeeded), max(record.failed, s.Failed)
		record.failuresInRow, record.lastFailure = max(record.failuresInRow, s.FailuresInRow, 0), lastFailure
		record.lastTrouble = later(record.lastTrouble, lastFailure)
	}
	o.count()
}

// learnStandings records what the hub of this node knows of the replicas in its totals.
func learnStandings(registry *replica.Registry, t *groupTotals, now time.Time) {
	failed := make(map[core.ReplicaID]*replicaStanding, len(t.Standings))
	for i := range t.Standings {
		failed[t.Standings[i].ID] = &t.Standings[i]
	}
	for _, rc := range t.Replicas {
		r := registry.Get(rc.ID)
		if r == nil {
			continue
		}
		known := replica.Standing{}
		if s := failed[rc.ID]; s != nil && s.Started == r.Info().Started {
			known = replica.Standing{OnProbation: s.OnProbation, FailedShare: min(1, max(0, s.FailedShare)), At: now}
		}
		r.SetStanding(known)
	}
}

// logStandings logs which replicas have come on probation or were released.
func (s *scheduler) logStandings(log *slog.Logger) {
	for _, c := range s.outcomes.changed {
		log.Info("probation of a replica changed", "replica", c.replica, "on_probation", c.onProbation)
	}
	s.outcomes.changed = s.outcomes.changed[:0]
}

// reportedOutcomes are the outcomes at each replica that were last sent to a hub.
type reportedOutcomes map[core.ReplicaID]replica.Outcomes

// due returns the outcomes at the replicas of a group that were not sent yet, and takes
// them for sent.
func (sent reportedOutcomes) due(registry *replica.Registry, g group, now time.Time) []replicaOutcomes {
	var out []replicaOutcomes
	for _, r := range registry.All() {
		info := r.Info()
		if info.Service != g.Service || groupOf(g.Service, info.ID, g.Count) != g {
			continue
		}
		total, last := r.Outcomes(), sent[info.ID]
		if total.Succeeded < last.Succeeded || total.Failed < last.Failed || total.Unclear < last.Unclear {
			last = replica.Outcomes{} // it was registered anew, and counts from zero
		}
		succeeded, failed, unclear := int(total.Succeeded-last.Succeeded), int(total.Failed-last.Failed), int(total.Unclear-last.Unclear)
		if succeeded <= 0 && failed <= 0 && unclear <= 0 {
			continue
		}
		sent[info.ID] = total
		added := replicaOutcomes{ID: info.ID, Succeeded: max(0, succeeded), Failed: max(0, failed), Unclear: max(0, unclear)}
		if succeeded > 0 {
			added.SuccessAge = now.Sub(total.NewestSuccess)
		}
		out = append(out, added)
	}
	return out
}
