package streamversion

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

// maxSweepDeletes bounds the rows that one transaction of a sweep deletes.
const maxSweepDeletes = 90

// sweepIfDue deletes the rows of streams that no caller takes up any more and that the
// node that wrote them has not deleted.
func (m *maintainer) sweepIfDue(ctx context.Context, now time.Time) {
	interval := idleSweepInterval
	for _, v := range m.s.table.all() {
		if len(v.Others) > 0 {
			interval = sweepInterval
		}
	}
	if m.swept.IsZero() {
		m.swept = now
	}
	if now.Sub(m.swept) < interval {
		return
	}
	m.swept = now
	for i := range numPartitions {
		if err := m.sweep(ctx, partitionName(i)); err != nil {
			m.s.log.Info("expired records of streams not deleted", "partition", i, "error", err)
			return
		}
	}
}

func (m *maintainer) sweep(ctx context.Context, partition string) error {
	set, err := m.s.store.Range(ctx, infra.RowRange{Table: StreamsTable, Partition: partition})
	if err != nil {
		return err
	}
	var txn infra.RowTxn
	for i := range set.Rows {
		var row streamRow
		if err := msgpack.Unmarshal(set.Rows[i].Value, &row); err != nil {
			m.s.log.Warn("record of a stream cannot be decoded", "key", set.Rows[i].Key, "error", err)
			continue
		}
		if row.Until > set.Clock || len(txn.Writes) == maxSweepDeletes {
			continue
		}
		txn.Writes = append(txn.Writes, infra.RowWrite{RowKey: set.Rows[i].RowKey, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	_, err = m.s.store.CommitRows(ctx, txn)
	return err
}
