package intake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// File returns the manifest of an organisation's file.
func (in *Intake) File(ctx context.Context, org core.Org, id core.FileID) (records.Manifest, *core.Refusal) {
	m, _, refusal := in.usableFile(ctx, org, id)
	return m, refusal
}

// usableFile returns the manifest of an accepted, unexpired file of an organisation
// and the version of its row.
func (in *Intake) usableFile(ctx context.Context, org core.Org, id core.FileID) (records.Manifest, uint64, *core.Refusal) {
	m, version, refusal := in.fileRow(ctx, id)
	if refusal == nil && (version == 0 || m.Org != org || m.Pending || m.Expired) {
		return records.Manifest{}, 0, fileNotFound(id)
	}
	return m, version, refusal
}

// fileRow returns the row of a file and its version. The version of an absent row
// is 0.
func (in *Intake) fileRow(ctx context.Context, id core.FileID) (records.Manifest, uint64, *core.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, in.p.Config.AcceptTimeout)
	defer cancel()
	row, err := in.p.Store.Get(ctx, records.FileKey(id))
	if errors.Is(err, infra.ErrNotFound) {
		return records.Manifest{}, 0, nil
	}
	if err != nil {
		return records.Manifest{}, 0, unavailable("the table service is unavailable")
	}
	m, err := records.Decode[records.Manifest](row.Value)
	if err != nil {
		return m, 0, core.Refuse(core.CodeInternal, "the row of file "+string(id)+" is damaged")
	}
	return m, row.Version, nil
}

// touchFile updates the time of the last use of a file that was uploaded again, which
// restarts its retention period. It returns false if there is no such file.
func (in *Intake) touchFile(ctx context.Context, id core.FileID) (records.Manifest, bool, *core.Refusal) {
	for {
		m, version, refusal := in.fileRow(ctx, id)
		if refusal != nil || version == 0 {
			return m, false, refusal
		}
		if m.Expired {
			return m, false, fileBeingDeleted()
		}
		m.LastUsed = time.Now().UTC()
		key := records.FileKey(id)
		_, err := in.p.Store.Commit(ctx, infra.Txn{
			Conditions: []infra.Condition{{Key: key, Version: version}},
			Writes:     []infra.Write{{Key: key, Value: records.Encode(m)}},
		}, nil)
		switch {
		case err == nil:
			return m, true, nil
		case !errors.Is(err, infra.ErrConflict):
			return m, false, unavailable("the table service is unavailable; resend the file with the same key")
		}
	}
}

func fileBeingDeleted() *core.Refusal {
	return unavailable("the file with this key is being deleted at the end of its retention period; resend it later")
}
