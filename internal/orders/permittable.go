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

// Outcomes of work on a permit's row besides those of infra.Table.
var (
	errNoPermit   = errors.New("no permit is free")
	errPermitLost = errors.New("the permit was taken over")
)

// observation is a row version and since when it was seen unchanged.
type observation struct {
	version uint64
	since   time.Time
}

// permitTable takes, renews and releases permits in the table service. Only
// one goroutine at a time may take; each permit is used by one at a time.
type permitTable struct {
	table infra.Table
	cfg   Config
	now   func() time.Time
	node  core.NodeID
	// process tells this process from others, also of the same node.
	process string

	taken    int
	observed map[int]observation
	scanned  time.Time
}

// taking says how a permit was taken.
type taking string

const (
	takingFree    taking = "free"
	takingExpired taking = "expired"
	takingAdopted taking = "adopted"
)

// take takes one permit for a load on a replica. Errors: errNoPermit, those of
// infra.Table. After infra.ErrUnknown the row may name this process; it
// then lapses or is adopted.
func (t *permitTable) take(ctx context.Context, replica core.ReplicaID, number uint64) (*permit, taking, error) {
	rows, err := t.scan(ctx)
	if err != nil {
		return nil, "", err
	}
	index, how := t.choose(rows, replica)
	if how == "" {
		return nil, "", errNoPermit
	}
	t.taken++
	p := &permit{index: index, version: rows[index].Version, row: permitRow{
		Holder: t.node, Token: fmt.Sprintf("%s/%d", t.process, t.taken), Replica: replica, Number: number,
	}}
	if err := t.write(ctx, p, p.row); err != nil {
		return nil, "", err
	}
	return p, how, nil
}

// scan reads the rows and notes since when each is unchanged. The holders
// cannot renew while the table is away, so a failed read or a long pause
// between reads begins the observation anew.
func (t *permitTable) scan(ctx context.Context) (map[int]infra.Row, error) {
	list, err := t.table.Scan(ctx, permitPrefix, "", 10*t.cfg.MaxLoads+10)
	now := t.now()
	if err != nil || now.Sub(t.scanned) > t.cfg.PermitLength {
		t.observed = nil
	}
	if err != nil {
		return nil, err
	}
	t.scanned = now
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

// choose picks the row to write: the one that already stands for this replica,
// a free one, or one that lapsed. It begins anywhere, so that nodes that see
// the same rows seldom choose the same one.
func (t *permitTable) choose(rows map[int]infra.Row, replica core.ReplicaID) (int, taking) {
	lapsed, free := -1, -1
	first := rand.IntN(t.cfg.MaxLoads)
	for i := range t.cfg.MaxLoads {
		index := (first + i) % t.cfg.MaxLoads
		row, ok := rows[index]
		switch {
		case !ok:
			free = index
		case t.adoptable(row, replica):
			return index, takingAdopted
		case t.now().Sub(t.observed[index].since) >= t.cfg.PermitLength:
			lapsed = index
		}
	}
	switch {
	case free >= 0:
		return free, takingFree
	case lapsed >= 0:
		return lapsed, takingExpired
	}
	return 0, ""
}

// adoptable reports whether a permit stands for the replica and its holder
// sends no load under it any more: it was handed over, or it is a leftover of
// this node, of an earlier process or of a write that took effect late.
func (t *permitTable) adoptable(row infra.Row, replica core.ReplicaID) bool {
	r, err := decodePermit(row.Key, row.Value)
	return err == nil && r.Replica == replica && (r.Holder == "" || r.Holder == t.node)
}

// renew raises the counter. Errors: errPermitLost, those of infra.Table.
func (t *permitTable) renew(ctx context.Context, p *permit) error {
	return t.write(ctx, p, p.next())
}

// release frees a permit or hands it over. Errors: those of infra.Table.
func (t *permitTable) release(ctx context.Context, p *permit) error {
	if p.handOver {
		row := p.next()
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
	return infra.ErrOutcomeUnknown // still ours: the next try has the row's version
}

func ignoreLost(err error) error {
	if errors.Is(err, errPermitLost) {
		return nil
	}
	return err
}

// write writes the row on condition of the permit's version. A write whose
// answer was lost is read back.
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
		return infra.ErrOutcomeUnknown // an earlier write of ours took effect late
	}
	p.renewed = began
	return nil
}

// readBack reads the row of a permit and, if it is still ours, takes over its
// content and version. Errors: errPermitLost, infra.ErrUnavailable.
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
