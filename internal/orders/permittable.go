package orders

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Errors of operations on a permit's row besides those of infra.Table.
var (
	errNoPermit   = errors.New("no free permit")
	errPermitLost = errors.New("permit was taken over by another holder")
)

// observation is a row version and the time since which it was seen unchanged.
type observation struct {
	version uint64
	since   time.Time
}

// permitTable acquires, renews and releases permits in the table service. Only
// one goroutine at a time may call acquire, and only one at a time may use a given
// permit.
type permitTable struct {
	table infra.Table
	cfg   Config
	now   func() time.Time
	node  core.NodeID
	// processID distinguishes this process from all others, including earlier
	// ones of the same node.
	processID string

	acquireCount int // number of acquisitions, for unique tokens
	observed     map[int]observation
	lastScan     time.Time // time of the last scan that succeeded
}

// acquireKind says how a permit was acquired.
type acquireKind string

const (
	acquiredFree    acquireKind = "free"
	acquiredExpired acquireKind = "expired"
	acquiredAdopted acquireKind = "adopted"
)

// acquire acquires one permit for a load on a replica. Errors: errNoPermit,
// errPermitLost, those of infra.Table. After infra.ErrOutcomeUnknown the row may
// name this process; it then expires or is adopted.
func (t *permitTable) acquire(ctx context.Context, replica core.ReplicaID, number uint64) (*permit, acquireKind, error) {
	rows, err := t.scan(ctx)
	if err != nil {
		return nil, "", err
	}
	index, kind := t.choose(rows, replica)
	if kind == "" {
		return nil, "", errNoPermit
	}
	t.acquireCount++
	p := &permit{index: index, version: rows[index].Version, row: permitRow{
		Holder: t.node, Token: fmt.Sprintf("%s/%d", t.processID, t.acquireCount), Replica: replica, Number: number,
	}}
	if err := t.write(ctx, p, p.row); err != nil {
		return nil, "", err
	}
	return p, kind, nil
}

// scan reads the rows and records since when each is unchanged. Holders cannot
// renew while the table service is unavailable, so a failed read or a long
// pause between reads restarts the observation.
func (t *permitTable) scan(ctx context.Context) (map[int]infra.Row, error) {
	list, err := t.table.Scan(ctx, permitPrefix, "", 10*t.cfg.MaxLoads+10)
	now := t.now()
	if err != nil || now.Sub(t.lastScan) > t.cfg.PermitTTL {
		t.observed = nil
	}
	if err != nil {
		return nil, err
	}
	t.lastScan = now
	rows, observed := make(map[int]infra.Row), make(map[int]observation)
	for _, row := range list {
		index, err := permitIndex(row.Key)
		if err != nil {
			continue
		}
		rows[index] = row
		observed[index] = observation{version: row.Version, since: now}
		if old := t.observed[index]; old.version == row.Version {
			observed[index] = old
		}
	}
	t.observed = observed
	return rows, nil
}

// choose picks the row to write: the one that already belongs to this replica,
// else a free one, else an expired one. It starts at a random index, so that
// nodes that see the same rows seldom choose the same one.
func (t *permitTable) choose(rows map[int]infra.Row, replica core.ReplicaID) (int, acquireKind) {
	expired, free := -1, -1
	first := rand.IntN(t.cfg.MaxLoads)
	for i := range t.cfg.MaxLoads {
		index := (first + i) % t.cfg.MaxLoads
		row, ok := rows[index]
		switch {
		case !ok:
			free = index
		case t.adoptable(row, replica):
			return index, acquiredAdopted
		case t.now().Sub(t.observed[index].since) >= t.cfg.PermitTTL:
			expired = index
		}
	}
	switch {
	case free >= 0:
		return free, acquiredFree
	case expired >= 0:
		return expired, acquiredExpired
	}
	return 0, ""
}

// adoptable reports whether a permit belongs to the replica and its holder no
// longer sends loads under it: it was handed over, or it remains from an
// earlier process of this node or from a write that took effect late.
func (t *permitTable) adoptable(row infra.Row, replica core.ReplicaID) bool {
	r, err := decodePermit(row.Key, row.Value)
	return err == nil && r.Replica == replica && (r.Holder == "" || r.Holder == t.node)
}

// renew writes the row with a higher counter. Errors: errPermitLost, those of
// infra.Table.
func (t *permitTable) renew(ctx context.Context, p *permit) error {
	return t.write(ctx, p, p.nextRow())
}

// release frees a permit or hands it over. Errors: those of infra.Table.
func (t *permitTable) release(ctx context.Context, p *permit) error {
	if p.handOver {
		row := p.nextRow()
		row.Holder = ""
		return ignoreLost(t.write(ctx, p, row))
	}
	_, err := t.table.Commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: permitKey(p.index), Version: p.version}},
		Writes:     []infra.Write{{Key: permitKey(p.index), Delete: true}},
	})
	if err == nil || errors.Is(err, infra.ErrUnavailable) {
		return err
	}
	if _, err := t.readBack(ctx, p); err != nil {
		return ignoreLost(err)
	}
	return infra.ErrOutcomeUnknown // still ours; the next attempt uses the row's current version
}

func ignoreLost(err error) error {
	if errors.Is(err, errPermitLost) {
		return nil
	}
	return err
}

// write writes the row on condition of the permit's version. If the write fails
// or its response is lost, it reads the row back. Errors: errPermitLost, those
// of infra.Table.
func (t *permitTable) write(ctx context.Context, p *permit, row permitRow) error {
	began := t.now()
	data, err := row.encode()
	if err != nil {
		return err
	}
	versions, err := t.table.Commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: permitKey(p.index), Version: p.version}},
		Writes:     []infra.Write{{Key: permitKey(p.index), Value: data}},
	})
	if err == nil && len(versions) == 1 {
		p.row, p.version, p.renewed = row, versions[0], began
		return nil
	}
	if errors.Is(err, infra.ErrUnavailable) {
		return err
	}
	stored, err := t.readBack(ctx, p)
	if err != nil {
		return err
	}
	if stored != row {
		return infra.ErrOutcomeUnknown // an earlier write of this permit took effect late
	}
	p.renewed = began
	return nil
}

// readBack reads the row of a permit and, if the permit is still held, adopts
// the row's content and version. Errors: errPermitLost, infra.ErrUnavailable.
func (t *permitTable) readBack(ctx context.Context, p *permit) (permitRow, error) {
	row, err := t.table.Get(ctx, permitKey(p.index))
	if errors.Is(err, infra.ErrNotFound) {
		return permitRow{}, errPermitLost
	}
	if err != nil {
		return permitRow{}, err
	}
	stored, err := decodePermit(row.Key, row.Value)
	if err != nil || stored.Token != p.row.Token {
		return permitRow{}, errPermitLost
	}
	p.row, p.version = stored, row.Version
	return stored, nil
}
