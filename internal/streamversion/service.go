package streamversion

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/monotime"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/watch"
)

const (
	// freshAge is the age up to which a node relies on its copy of the versions. While
	// the store answers, the copy is at most as old as one call that waits for changes,
	// 2 s, and the time of the call.
	freshAge = 3 * time.Second
	// unrecordedAge is how long after the last contact with the store streams still begin
	// at the base version without a record. Together with the same time for the peer from
	// which a starting node got its copy it is shorter than the time after which the base
	// version may change.
	unrecordedAge = 2 * time.Minute
	// recordMargin is added to the time in which a stream may be taken up. The clocks of
	// callers and of the store differ less.
	recordMargin = time.Minute
	// awayTime is how long after a failed transaction the store counts as away for
	// records.
	awayTime = time.Second
	// maintainInterval is the time between checks for new versions and for those without
	// replicas.
	maintainInterval = 250 * time.Millisecond
)

// Options configures a Service.
type Options struct {
	Store infra.PartitionedTable
	// Clock returns the store's clock; ok is false before the first response.
	Clock    func() (now time.Duration, ok bool)
	Registry *replica.Registry
	// Registrations is the watcher that fills Registry.
	Registrations *watch.Watcher
	View          func() *nodes.View
	// Self is this node as the owner of its lease.
	Self string
	// LongestLife returns the longest time in which a stream may be taken up.
	LongestLife func() time.Duration
	Log         *slog.Logger
	Scope       tally.Scope
}

// Service records at which versions this node begins streams, and finds the versions of
// those that callers take up.
type Service struct {
	Options
	store    infra.PartitionedTable
	log      *slog.Logger
	table    *table
	watcher  *watch.Watcher
	memory   *memory
	writers  []*writer
	counters *counters
	// failedWrite is when the latest transaction failed, if none succeeded since.
	failedWrite monotime.AtomicTime
	// ensuring serializes the changes that this node makes to the row of a service.
	ensuring sync.Map // core.DeploymentID to chan struct{} of size 1
	readers  sync.Map // core.DeploymentID to *currentReader
	created  time.Time
	ctx      context.Context
	stop     context.CancelFunc
}

// New returns a service. It records nothing until Run is called.
func New(options Options) *Service {
	s := &Service{
		Options: options, store: options.Store, log: options.Log, table: newTable(options.Log), memory: newMemory(),
		counters: newCounters(options.Scope), created: time.Now(),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.watcher = watch.New(s.store, VersionsTable, []string{""}, s.table, s.log)
	for i := range numPartitions {
		s.writers = append(s.writers, &writer{s: s, partition: i, wake: make(chan struct{}, 1)})
	}
	return s
}

// Watcher returns the watcher of the versions, which the caller runs. A starting node
// may be given the copy of a peer.
func (s *Service) Watcher() *watch.Watcher { return s.watcher }

// Run writes records and maintains the versions of the services until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.stop()
	for _, w := range s.writers {
		go w.run(ctx)
	}
	m := &maintainer{s: s, absent: make(map[absentVersion]time.Time)}
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.memory.expire(now)
			s.counters.update(s.Dump())
			m.tick(ctx, now)
		}
	}
}

// readCurrent makes the copy of the versions of a service as new as this call.
func (s *Service) readCurrent(ctx context.Context, service core.DeploymentID) error {
	reader, _ := s.readers.LoadOrStore(service, &currentReader{s: s, service: service})
	return reader.(*currentReader).read(ctx)
}

// unrecorded reports whether a stream that begins at a version needs no row.
func (s *Service) unrecorded(service core.DeploymentID, version core.SoftwareVersion) bool {
	versions, _ := s.table.get(service)
	age, ok := s.watcher.ContactAge(time.Now())
	if !ok {
		age = time.Since(s.created) // the copy is that of a peer
	}
	clock, known := s.Clock()
	return versions != nil && age < unrecordedAge && versions.unrecorded(version, clock, known)
}

// fresh reports whether the copy of the versions is recent.
func (s *Service) fresh(now time.Time) bool {
	age, ok := s.watcher.ContactAge(now)
	return ok && !s.watcher.Failing() && age <= freshAge
}

// Away reports whether records can probably not be written now.
func (s *Service) Away() bool { return s.away(time.Now()) }

func (s *Service) away(now time.Time) bool {
	return !s.fresh(now) || s.failedWrite.After(now.Add(-awayTime))
}

func (s *Service) noteWrite(err error) {
	if err == nil {
		s.failedWrite.Clear()
		return
	}
	s.failedWrite.Set(time.Now())
}

// Fallback returns the version that new streams of a service should begin at while
// records cannot be written: the base version, if it has replicas and streams of other
// versions would need records. It returns nil if any replica will do.
func (s *Service) Fallback(service core.DeploymentID) *core.SoftwareVersion {
	versions, _ := s.table.get(service)
	if versions == nil || !s.away(time.Now()) || !s.HasReplica(service, versions.Base) {
		return nil
	}
	return &versions.Base
}

// Base returns the base version of a service if it has replicas, else nil.
func (s *Service) Base(service core.DeploymentID) *core.SoftwareVersion {
	versions, _ := s.table.get(service)
	if versions == nil || !s.HasReplica(service, versions.Base) {
		return nil
	}
	return &versions.Base
}

// HasReplica reports whether a replica of the version takes new work, as far as this
// node knows.
func (s *Service) HasReplica(service core.DeploymentID, version core.SoftwareVersion) bool {
	for _, r := range s.Registry.Ready(service) {
		if r.Info().Version == version {
			return true
		}
	}
	return false
}

func (s *Service) newPendingStream(service core.DeploymentID, key streamKey, until time.Time) *pendingStream {
	return &pendingStream{service: service, key: key, until: until, changed: make(chan struct{}, 1)}
}

// record has the row of a stream written with a version, once the version is listed.
func (s *Service) record(p *pendingStream, version core.SoftwareVersion, unknown bool) {
	p.mu.Lock()
	if p.writes > 0 && p.wanted == version && p.unknown == unknown {
		p.mu.Unlock()
		return
	}
	p.wanted, p.unknown = version, unknown
	p.writes++
	p.mu.Unlock()
	w := s.writers[p.key.partition()]
	if versions, _ := s.table.get(p.service); versions != nil && versions.lists(version) {
		w.add(p)
		return
	}
	go func() {
		defer contain.Recover(s.log, "version of service", string(p.service))
		if s.ensureListed(s.ctx, p.service, version, p.until) {
			w.add(p)
		}
	}()
}

// ensureListed adds a version to the row of its service, and creates the row if there
// is none. It returns false if it gives up.
func (s *Service) ensureListed(ctx context.Context, service core.DeploymentID, version core.SoftwareVersion, until time.Time) bool {
	slot, _ := s.ensuring.LoadOrStore(service, make(chan struct{}, 1))
	for pause := minWriteRetry; ctx.Err() == nil && time.Now().Before(until); pause = min(2*pause, maxWriteRetry) {
		slot.(chan struct{}) <- struct{}{}
		listed, err := s.list(ctx, service, version)
		<-slot.(chan struct{})
		if listed {
			return true
		}
		if err != nil {
			s.noteWrite(err)
			s.log.Info("version of a service not listed; trying again", "service", service, "version", version, "error", err)
			sleep(ctx, pause)
		}
	}
	return false
}

// list tries once to add a version to the row of its service. It returns false without
// an error if the row changed meanwhile.
func (s *Service) list(ctx context.Context, service core.DeploymentID, version core.SoftwareVersion) (bool, error) {
	versions, row := s.table.get(service)
	if versions == nil {
		if row != 0 {
			return false, errors.Errorf("versions of service %s cannot be decoded", service)
		}
		versions = &Versions{Base: s.mostUsed(service, version)}
	}
	if row != 0 && versions.lists(version) {
		return true, nil
	}
	if !versions.lists(version) {
		versions = versions.with(version)
	}
	return s.replace(ctx, service, versions, row)
}

// mostUsed returns the version that most replicas of a service have, or a default.
func (s *Service) mostUsed(service core.DeploymentID, otherwise core.SoftwareVersion) core.SoftwareVersion {
	counts := s.registered()[service]
	best := otherwise
	for version, n := range counts {
		if n > counts[best] || n == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// registered returns the number of registered replicas by service and version, with
// those that are leaving.
func (s *Service) registered() map[core.DeploymentID]map[core.SoftwareVersion]int {
	out := make(map[core.DeploymentID]map[core.SoftwareVersion]int)
	for _, r := range s.Registry.All() {
		info := r.Info()
		if out[info.Service] == nil {
			out[info.Service] = make(map[core.SoftwareVersion]int)
		}
		out[info.Service][info.Version]++
	}
	return out
}
