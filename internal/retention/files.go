package retention

import (
	"context"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/infra"
)

// fileDeleter deletes uploaded files, and uploads that were not accepted.
type fileDeleter struct{}

func (fileDeleter) deletePage(ctx context.Context, s *sweeper, rows []infra.Row) (done bool) {
	for _, row := range rows {
		m, err := records.Decode[records.Manifest](row.Value)
		if err != nil {
			s.counts.unreadable.Add(1)
			continue
		}
		action := FileAction(&m, s.options.Now(), s.settings())
		if action == ActionKeep {
			continue
		}
		if !s.owned() {
			return true
		}
		s.handleError(ctx, s.deleteFile(ctx, row, m, action))
	}
	return false
}

// deleteFile marks a file as expired, if that is the action, and deletes its
// parts and then its row.
func (s *sweeper) deleteFile(ctx context.Context, row infra.Row, m records.Manifest, action Action) error {
	if action == ActionMark {
		m.Expired = true
		version, err := s.client.commit(ctx, infra.Txn{
			Conditions: []infra.Condition{{Key: row.Key, Version: row.Version}},
			Writes:     []infra.Write{{Key: row.Key, Value: records.Encode(m)}},
		})
		if err != nil {
			return err
		}
		row.Version = version
	}
	if err := s.deleteParts(ctx, &m); err != nil {
		return err
	}
	if _, err := s.client.commit(ctx, newDeleteTxn([]infra.Row{row})); err != nil {
		return err
	}
	s.counts.rows.Add(1)
	s.counts.files.Add(1)
	return nil
}

// deleteParts deletes the parts from the last to the first. The number of parts
// of an upload that was not accepted is found by looking for the first absent
// one, which a retry can only do if the first parts are deleted last.
func (s *sweeper) deleteParts(ctx context.Context, m *records.Manifest) error {
	n := m.Ranges
	for found := m.Pending; found; {
		var err error
		if found, err = s.client.exists(ctx, records.PartKey(m.Prefix, n)); err != nil {
			return err
		}
		if found {
			n++
		}
	}
	for n--; n >= 0; n-- {
		if err := s.client.deleteObject(ctx, records.PartKey(m.Prefix, n)); err != nil {
			return err
		}
	}
	return nil
}
