package streamversion

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/discovery"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/infra/infratest"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	testService = core.DeploymentID("models")
	testLife    = 10 * time.Second
	// registrations is the table of the replicas; a row's key and value is the version.
	registrations = "registrations"
	// silentCall is how long a call takes that gets no answer.
	silentCall = 1500 * time.Millisecond
)

// link is a node's connection to the store, with faults of that node alone.
type link struct {
	infra.PartitionedTable
	mu sync.Mutex
	// late, if set, makes the writes instead of the table.
	late   *lateTable
	cut    bool // calls are refused
	silent bool // calls get no answer
	lose   bool // writes take effect, and their answers are lost
	calls  int  // besides those of the change feeds
}

func (l *link) before(ctx context.Context, counted bool, wait time.Duration) error {
	l.mu.Lock()
	cut, silent := l.cut, l.silent
	if counted {
		l.calls++
	}
	l.mu.Unlock()
	if silent {
		sleep(ctx, wait)
	}
	if cut || silent {
		return infra.ErrUnavailable
	}
	return nil
}

func (l *link) Range(ctx context.Context, r infra.RowRange) (infra.RowSet, error) {
	if err := l.before(ctx, r.Table != registrations, silentCall); err != nil {
		return infra.RowSet{}, err
	}
	return l.PartitionedTable.Range(ctx, r)
}

func (l *link) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (infra.RowSet, error) {
	if err := l.before(ctx, false, wait+700*time.Millisecond); err != nil {
		return infra.RowSet{}, err
	}
	set, err := l.PartitionedTable.Follow(ctx, table, after, wait)
	// A connection that went silent meanwhile delivers nothing.
	if lost := l.before(ctx, false, 700*time.Millisecond); lost != nil {
		return infra.RowSet{}, lost
	}
	return set, err
}

func (l *link) CommitRows(ctx context.Context, txn infra.RowTxn) (uint64, error) {
	if err := l.before(ctx, true, silentCall); err != nil {
		return 0, err
	}
	l.mu.Lock()
	late := l.late
	l.mu.Unlock()
	commit := l.PartitionedTable.CommitRows
	if late != nil {
		commit = late.CommitRows
	}
	version, err := commit(ctx, txn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.lose {
		return 0, infra.ErrOutcomeUnknown
	}
	return version, err
}

func (l *link) set(cut, silent, lose bool) {
	l.mu.Lock()
	l.cut, l.silent, l.lose = cut, silent, lose
	l.mu.Unlock()
}

// testNode is a node with a registry and a service of its own. Each takes itself for
// the one that maintains the rows.
type testNode struct {
	*Service
	link   *link
	cancel context.CancelFunc
}

func startNode(rows *infratest.Rows, name string) *testNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{link: &link{PartitionedTable: rows}, cancel: cancel}
	log := slog.New(slog.DiscardHandler)
	registry := replica.NewRegistry()
	updater := discovery.NewRegistryUpdater(registry, func(row *infra.VersionedRow) (replica.Info, bool) {
		return replica.Info{ID: core.ReplicaID(row.Key), Service: testService, Address: row.Key, Version: core.SoftwareVersion(row.Value), Slots: 1}, true
	}, log)
	watcher := updater.Watcher(n.link, registrations)
	n.Service = New(Options{
		Store: n.link, Clock: rows.Clock, Registry: registry, Registrations: watcher, Self: name,
		View:        func() *nodes.View { return &nodes.View{Alive: map[string]nodes.Record{name: {}}} },
		LongestLife: func() time.Duration { return testLife }, Log: log, Scope: tally.NoopScope,
	})
	go watcher.Run(ctx)
	go n.Watcher().Run(ctx)
	go n.Run(ctx)
	return n
}

func register(rows *infratest.Rows, version core.SoftwareVersion, registered bool) {
	key := infra.RowKey{Table: registrations, Key: string(version)}
	err := rows.Apply(infra.RowTxn{Writes: []infra.RowWrite{{RowKey: key, Value: []byte(version), Delete: !registered}}})
	if err != nil {
		panic(err)
	}
}

// begin begins a stream as a request does: at a replica of the last of the versions, after
// attempts at the others that were broken off before their first event. It returns false
// if the first event does not reach the caller.
func (n *testNode) begin(request string, versions ...core.SoftwareVersion) (recording *Recording, recorded, delivered bool) {
	recording = n.Begin(testService, request, testLife)
	for i, version := range versions {
		if i > 0 {
			time.Sleep(3 * time.Millisecond)
		}
		recording.Send(version)
	}
	version := versions[len(versions)-1]
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	recorded = recording.Await(ctx) == nil
	if base := n.Base(testService); !recorded && base != nil && *base != version {
		return recording, false, false
	}
	if !recorded {
		recording.Unrecorded(request)
	}
	recording.Deliver()
	return recording, recorded, true
}
