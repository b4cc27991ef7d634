package settings

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

// outcome is what became of a write.
type outcome uint8

const (
	// outcomeUnknown: the write may have taken effect or may yet do so.
	outcomeUnknown outcome = iota
	// outcomeAccepted: the write took effect.
	outcomeAccepted
	// outcomeConflict: another change came first; the write has no effect.
	outcomeConflict
	// outcomeUnavailable: the table service is away; the write has no effect.
	outcomeUnavailable
)

const (
	// commitTries bounds how often a write with an unknown outcome is sent
	// again; with commitPause it spans 4 s or more.
	commitTries = 20
	commitPause = 200 * time.Millisecond
)

// commit writes an accepted change. The same transaction is sent again while
// its outcome is unknown: its conditions hold for one of the sends at most,
// and once another change has taken the head they can never hold again.
func (s *store) commit(ctx context.Context, e Entry, headRow, nodeRow uint64) (outcome, error) {
	txn, err := transaction(e, headRow, nodeRow)
	if err != nil {
		return outcomeConflict, err
	}
	unknown := false
	for try := 0; try < commitTries; try++ {
		if try > 0 && !sleep(ctx, commitPause) {
			break
		}
		err = s.send(ctx, txn)
		switch {
		case err == nil:
			return outcomeAccepted, nil
		case errors.Is(err, infra.ErrConflict):
			if result, known := s.readBack(ctx, e, unknown); known {
				return result, nil
			}
		case errors.Is(err, infra.ErrUnavailable) && !unknown:
			return outcomeUnavailable, err
		case !errors.Is(err, infra.ErrUnavailable):
			unknown = true
		}
	}
	return outcomeUnknown, err
}

func (s *store) send(ctx context.Context, txn infra.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := s.table.Commit(ctx, txn)
	return err
}

// readBack looks for the change in the log after a conflict. known is false if
// the log row could not be read although an earlier send may have written it.
func (s *store) readBack(ctx context.Context, e Entry, unknown bool) (result outcome, known bool) {
	found, ok, err := s.entry(ctx, e.Version)
	switch {
	case err == nil && ok && found.ChangeID == e.ChangeID:
		return outcomeAccepted, true
	case err == nil && ok, !unknown:
		return outcomeConflict, true
	default:
		return outcomeUnknown, false
	}
}

// transaction writes node, head and log on condition of the versions that the
// change was checked against.
func transaction(e Entry, headRow, nodeRow uint64) (infra.Txn, error) {
	headValue, err := msgpack.Marshal(head{Version: e.Version, Sum: e.Sum})
	if err != nil {
		return infra.Txn{}, err
	}
	logValue, err := msgpack.Marshal(e)
	if err != nil {
		return infra.Txn{}, err
	}
	node := infra.Write{Key: nodeKey(e.Path), Delete: e.Deleted}
	if !e.Deleted {
		if node.Value, err = msgpack.Marshal(nodeImage{Version: e.Version, Values: e.Values}); err != nil {
			return infra.Txn{}, err
		}
	}
	return infra.Txn{
		Conditions: []infra.Condition{
			{Key: headKey, Version: headRow},
			{Key: node.Key, Version: nodeRow},
			{Key: logKey(e.Version), Version: 0},
		},
		Writes: []infra.Write{node, {Key: headKey, Value: headValue}, {Key: logKey(e.Version), Value: logValue}},
	}, nil
}

// sleep waits and reports whether the context is still in force.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
