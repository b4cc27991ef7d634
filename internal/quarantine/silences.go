package quarantine

import (
	"slices"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/replica"
)

// silenceTime is how long a replica must have been silent for a look whether it can still
// be reached.
const silenceTime = 500 * time.Millisecond

// silences are the watches of silent replicas that have not answered a run.
type silences struct {
	mu      sync.Mutex
	watches map[silenceKey]*silenceWatch
}

// silenceKey is a process of a replica.
type silenceKey struct {
	replica *replica.Replica
	started int64
}

// settle ends the look at the silence of the replica.
func (r *Run) settle() {
	r.mu.Lock()
	r.settled, r.watched = true, false
	ended := !r.ended.IsZero()
	r.mu.Unlock()
	r.silence.Stop()
	if ended {
		r.releaseTrial()
	}
}

// lookAfter has the replica watched if it has been silent for silenceTime and owes the
// run an answer.
func (r *Run) lookAfter() {
	defer contain.Recover(r.service.Log, "silence of a replica", string(r.replica.Info().ID))
	heard := r.replica.LastHeard()
	if r.over(heard) {
		r.settle()
		return
	}
	if wait := silenceTime - time.Since(later(r.sent, heard)); wait > 0 {
		r.silence.Reset(wait)
		return
	}
	r.service.silences.add(r)
}

// over reports whether the run needs no look any more: it is settled, or the replica was
// heard of after its end.
func (r *Run) over(heard time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled || !r.ended.IsZero() && heard.After(r.ended)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// add watches the replica of a run.
func (s *silences) add(r *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watch(r.service, silenceKey{r.replica, r.started})
	w.runs = append(w.runs, r)
	r.mu.Lock()
	r.watched = true
	r.mu.Unlock()
}

// addSuspicion watches a replica that another node has found silent.
func (s *silences) addSuspicion(service *Service, target *replica.Replica, found *suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watch(service, silenceKey{target, found.started})
	w.suspicions = append(w.suspicions, found)
}

// watch returns the watch of a process of a replica, and starts it if there is none. The
// caller holds the lock and gives the watch something to wait for.
func (s *silences) watch(service *Service, key silenceKey) *silenceWatch {
	w := s.watches[key]
	if w == nil {
		w = &silenceWatch{service: service, key: key}
		s.watches[key] = w
		go w.run()
	}
	return w
}

// dark reports whether a process of a replica is being watched and cannot be connected to.
func (s *silences) dark(key silenceKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.watches[key]
	return w != nil && w.dark.Load()
}

// darkReplicas returns the number of replicas that are being watched and cannot be connected to.
func (s *silences) darkReplicas() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.watches {
		if w.dark.Load() {
			n++
		}
	}
	return n
}

// waiting reports whether any run still needs the watch. It ends the watch otherwise.
func (s *silences) waiting(w *silenceWatch) bool {
	heard := w.heard()
	s.mu.Lock()
	defer s.mu.Unlock()
	var over []*Run
	w.runs = slices.DeleteFunc(w.runs, func(r *Run) bool {
		if r.over(heard) {
			over = append(over, r)
			return true
		}
		return false
	})
	for _, r := range over {
		r.settle()
	}
	w.suspicions = slices.DeleteFunc(w.suspicions, func(c *suspicion) bool { return heard.After(c.at) })
	waiting := len(w.runs)+len(w.suspicions) > 0
	if !waiting {
		delete(s.watches, w.key)
	}
	return waiting
}

// end ends a watch that is over, or has failed.
func (s *silences) end(w *silenceWatch) {
	s.mu.Lock()
	if s.watches[w.key] == w {
		delete(s.watches, w.key)
	}
	s.mu.Unlock()
	w.drop()
}

// take removes and returns the runs of a watch, and the suspicions of other nodes.
func (s *silences) take(w *silenceWatch) ([]*Run, []*suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs, others := w.runs, w.suspicions
	w.runs, w.suspicions = nil, nil
	return runs, others
}

// present returns the runs of a watch.
func (s *silences) present(w *silenceWatch) []*Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(w.runs)
}
