package settings

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

// outcome is the result of writing a change to the table service.
type outcome uint8

const (
	// outcomeUnknown: the write may have taken effect or may still do so.
	outcomeUnknown outcome = iota
	// outcomeAccepted: the write took effect.
	outcomeAccepted
	// outcomeConflict: another change was written first; this one has no effect.
	outcomeConflict
	// outcomeUnavailable: the table service is unavailable; the write has no effect.
	outcomeUnavailable
)

const (
	// commitAttempts bounds how often a write is sent while its outcome is
	// unknown. With commitRetryDelay the attempts span about 4 s or more.
	commitAttempts   = 20
	commitRetryDelay = 200 * time.Millisecond
)

// commit writes a checked change to the table service. It resends the same
// transaction while the outcome is unknown. That is safe: the conditions on row
// versions let at most one of the attempts take effect, and none once another
// change has updated the head row.
func (s *store) commit(ctx context.Context, e Entry, headRowVersion, nodeRowVersion uint64) (outcome, error) {
	txn, err := buildTransaction(e, headRowVersion, nodeRowVersion)
	if err != nil {
		return outcomeConflict, err
	}
	mayBeWritten := false
	for attempt := 0; attempt < commitAttempts; attempt++ {
		if attempt > 0 && !sleep(ctx, commitRetryDelay) {
			break
		}
		err = s.commitOnce(ctx, txn)
		switch {
		case err == nil:
			return outcomeAccepted, nil
		case errors.Is(err, infra.ErrConflict):
			if result, known := s.readBack(ctx, e, mayBeWritten); known {
				return result, nil
			}
		case errors.Is(err, infra.ErrUnavailable) && !mayBeWritten:
			return outcomeUnavailable, err
		case !errors.Is(err, infra.ErrUnavailable):
			mayBeWritten = true
		}
	}
	return outcomeUnknown, err
}

// commitOnce makes one attempt to commit the transaction, bounded by tableTimeout.
func (s *store) commitOnce(ctx context.Context, txn infra.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := s.table.Commit(ctx, txn)
	return err
}

// readBack looks the change up in the log after a conflict, to find out whether an
// earlier attempt to write the same change or another change caused the conflict.
// known is false if the log row could not be read although an earlier attempt may
// have written it (mayBeWritten).
func (s *store) readBack(ctx context.Context, e Entry, mayBeWritten bool) (result outcome, known bool) {
	found, ok, err := s.entry(ctx, e.Version)
	switch {
	case err == nil && ok && found.ChangeID == e.ChangeID:
		return outcomeAccepted, true
	case err == nil && ok, !mayBeWritten:
		return outcomeConflict, true
	default:
		return outcomeUnknown, false
	}
}

// buildTransaction returns the transaction that writes the node row, the head
// row and the log row. It is conditional on the row versions that the change
// was checked against.
func buildTransaction(e Entry, headRowVersion, nodeRowVersion uint64) (infra.Txn, error) {
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
		if node.Value, err = msgpack.Marshal(nodeRecord{Version: e.Version, Values: e.Values}); err != nil {
			return infra.Txn{}, err
		}
	}
	return infra.Txn{
		Conditions: []infra.Condition{
			{Key: headKey, Version: headRowVersion},
			{Key: node.Key, Version: nodeRowVersion},
			{Key: logKey(e.Version), Version: 0},
		},
		Writes: []infra.Write{node, {Key: headKey, Value: headValue}, {Key: logKey(e.Version), Value: logValue}},
	}, nil
}

// sleep waits for d. It returns false at once if the context ends before that.
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
