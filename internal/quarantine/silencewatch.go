package quarantine

import (
	"context"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// darkTime is how long no connection to a replica may be established until the
	// replica counts as crashed. With silenceTime it is longer than the pauses of sound
	// replicas, of a second or so.
	darkTime = 1600 * time.Millisecond
	// maxDarkTime is how long other nodes are asked for what they see of the replica.
	maxDarkTime = 5 * time.Second
	// darkInterval is the pause between two attempts to connect. From one success to the
	// next attempt it doubles up to maxLookInterval.
	darkInterval    = 200 * time.Millisecond
	maxLookInterval = time.Second
	// maxLookGap is the time between two attempts from which this node may have been
	// paused, so that their results say little.
	maxLookGap = time.Second
)

// silenceWatch finds out whether a replica that owes answers has gone dark: its
// connections are open and silent, and new ones are not established.
type silenceWatch struct {
	service *Service
	key     silenceKey
	// runs are those without an answer, and suspicions those of other nodes. The mutex of
	// silences guards them.
	runs       []*Run
	suspicions []*suspicion
	// since is the beginning of the first of the attempts to connect that failed, or
	// zero, and looked that of the latest one. opened is the latest success.
	since, looked, opened time.Time
	// dark is set while since is.
	dark atomic.Bool
	// outage is set if many replicas were dark together with this one.
	outage bool
}

// heard returns when the replica last showed that it lives.
func (w *silenceWatch) heard() time.Time { return later(w.opened, w.key.replica.LastHeard()) }

func (w *silenceWatch) run() {
	target := w.key.replica
	defer contain.Recover(w.service.Log, "silence of a replica", string(target.Info().ID))
	defer w.service.silences.end(w)
	for pause := darkInterval; w.service.silences.waiting(w); time.Sleep(pause) {
		result := w.look()
		w.dark.Store(!w.since.IsZero())
		w.announce()
		gone := result == replica.Refused || w.replaced()
		switch {
		case gone && !w.since.IsZero() && w.service.reachesNeighbours(target):
			w.report()
		case gone:
			w.drop()
		case w.since.IsZero():
			pause = min(2*pause, maxLookInterval)
			continue
		case time.Since(w.since) >= maxDarkTime:
			w.drop()
		case time.Since(w.since) >= darkTime:
			switch w.service.compareSilence(target, w.key.started) {
			case silenceShared:
				w.report()
			case silenceOwn:
				w.drop()
			}
		}
		pause = darkInterval
	}
}

// look tries to connect to the replica, unless it has been heard of.
func (w *silenceWatch) look() replica.ConnectResult {
	target, now := w.key.replica, time.Now()
	if now.Sub(w.looked) > maxLookGap {
		w.since = time.Time{}
	}
	w.looked = now
	if now.Sub(target.LastHeard()) < silenceTime {
		w.since = time.Time{}
		return replica.Open
	}
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	result := target.Connect(ctx)
	switch {
	case result == replica.Open:
		w.opened = time.Now()
		w.since = time.Time{}
	case result == replica.Silent && w.since.IsZero():
		w.since = now
		w.service.markSilent(target)
	}
	return result
}

// replaced reports whether another process of the replica has registered, or none is
// registered any more.
func (w *silenceWatch) replaced() bool {
	target := w.key.replica
	return target.Info().Started != w.key.started || w.service.Registry.Get(target.Info().ID) != target
}

// suspect reports whether a run may be the reason why the replica is dark: it was sent
// before that was found.
func (w *silenceWatch) suspect(r *Run) bool { return r.mayHaveCrashed() && r.sent.Before(w.since) }

// announce tells other nodes of the suspects among the runs once the replica cannot be
// connected to. With many dark replicas it does not: that is an outage, in which all nodes
// would tell the hubs and write to the store.
func (w *silenceWatch) announce() {
	if w.since.IsZero() {
		w.outage = false
		return
	}
	w.outage = w.outage || w.service.silences.darkReplicas() > maxAnnouncedDark
	if w.outage {
		return
	}
	info := w.key.replica.Info()
	found := &crash{replica: info.ID, started: w.key.started, at: w.since, silent: true}
	for _, r := range w.service.silences.present(w) {
		if w.suspect(r) {
			found.addRun(r.parts)
		}
	}
	w.service.announce(&suspicion{countedCrash: countedCrash{found, info.Service}})
}

// drop ends the watch of the present runs without a report.
func (w *silenceWatch) drop() {
	runs, _ := w.service.silences.take(w)
	for _, r := range runs {
		r.settle()
	}
}

// report reports the runs that were sent before the replica was found to be silent, and
// those that other nodes suspect.
func (w *silenceWatch) report() {
	runs, others := w.service.silences.take(w)
	for _, c := range others {
		for _, parts := range c.runs {
			w.service.reportFor(&report{Service: c.service, Replica: c.replica, Started: c.started, Parts: parts, Silent: true, Age: time.Since(c.at)})
		}
	}
	for _, r := range runs {
		if w.suspect(r) {
			since := w.since
			r.reportIf(func(suspect *report) bool {
				suspect.Silent, suspect.Age = true, time.Since(since)
				return true
			})
		}
		r.settle()
	}
}

// markSilent keeps requests away from a replica until it answers again.
func (s *Service) markSilent(target *replica.Replica) {
	s.Log.Info("replica is silent and cannot be connected to", "replica", target.Info().ID)
	target.MarkUnreachable(time.Now())
	if s.ReportSilent != nil {
		s.ReportSilent(target)
	}
}
