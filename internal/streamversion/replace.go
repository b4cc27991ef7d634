package streamversion

import (
	"context"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// replace writes the versions of a service on condition that the row has a version, and
// updates the copy. It returns false without an error if another node changed the row.
func (s *Service) replace(ctx context.Context, service core.DeploymentID, versions *Versions, row uint64) (bool, error) {
	value, err := msgpack.Marshal(versions)
	if err != nil {
		return false, err
	}
	key := versionsKey(service)
	next, err := s.store.CommitRows(ctx, infra.RowTxn{
		Conditions: []infra.RowCondition{{RowKey: key, Version: row}},
		Writes:     []infra.RowWrite{{RowKey: key, Value: value}},
	})
	var conflict *infra.RowConflict
	switch {
	case errors.As(err, &conflict):
		if current, found := conflict.Find(key); found {
			s.table.update(&current)
			return false, nil
		}
		return false, errors.Wrap(infra.ErrConflict, "row of the service is gone")
	case errors.Is(err, infra.ErrOutcomeUnknown):
		if readErr := s.readVersions(ctx, service); readErr != nil {
			return false, readErr
		}
		return false, err
	case err != nil:
		return false, err
	}
	s.table.update(&infra.VersionedRow{RowKey: key, Value: value, Version: next})
	return true, nil
}

// readVersions reads the row of a service from the store.
func (s *Service) readVersions(ctx context.Context, service core.DeploymentID) error {
	set, err := s.store.Range(ctx, singleRow(versionsKey(service)))
	if err != nil {
		return err
	}
	for i := range set.Rows {
		s.table.update(&set.Rows[i])
	}
	return nil
}
