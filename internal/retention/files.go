package retention

import (
	"context"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/infra"
)

// files are the uploaded files and the uploads that were not accepted.
type files struct{}

func (files) page(ctx context.Context, s *sweep, rows []infra.Row) (last bool) {
	for _, row := range rows {
		m, err := records.Decode[records.Manifest](row.Value)
		if err != nil {
			s.counts.unreadable.Add(1)
			continue
		}
		step := FileStep(&m, s.o.Now(), s.settings())
		if step == StepKeep {
			continue
		}
		if !s.owned() {
			return true
		}
		s.note(ctx, s.deleteFile(ctx, row, m, step))
	}
	return false
}

func (s *sweep) deleteFile(ctx context.Context, row infra.Row, m records.Manifest, step Step) error {
	if step == StepMark {
		m.Expired = true
		version, err := s.access.commit(ctx, infra.Txn{
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
	if _, err := s.access.commit(ctx, deletion([]infra.Row{row})); err != nil {
		return err
	}
	s.counts.rows.Add(1)
	s.counts.files.Add(1)
	return nil
}

// deleteParts deletes the parts from the last to the first: those of an upload
// that was not accepted are counted by looking for the first absent one.
func (s *sweep) deleteParts(ctx context.Context, m *records.Manifest) error {
	n := m.Ranges
	for found := m.Open; found; {
		var err error
		if found, err = s.access.exists(ctx, records.PartKey(m.Prefix, n)); err != nil {
			return err
		}
		if found {
			n++
		}
	}
	for n--; n >= 0; n-- {
		if err := s.access.deleteObject(ctx, records.PartKey(m.Prefix, n)); err != nil {
			return err
		}
	}
	return nil
}
