package intake

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"time"

	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Upload is a file whose parts are stored but that is not yet accepted.
type Upload struct {
	in              *Intake
	key             string
	manifest        records.Manifest
	alreadyAccepted bool   // a file with the same idempotency key exists
	rowKey          string // key of the row of the upload
	rowVersion      uint64 // version of that row
}

var errLineTooLong = errors.New("line too long")

// Receive reads a file from r, validates it and stores its parts. The file is
// accepted only by Accept. With an idempotency key, the file id is derived from the
// organisation and the key.
func (in *Intake) Receive(ctx context.Context, org core.Org, key, name string, r io.Reader) (*Upload, *core.Refusal) {
	u := &Upload{in: in, key: key, manifest: records.Manifest{Org: org, Name: name}}
	m := &u.manifest
	m.ID = core.FileID(records.FileIDPrefix + rand.Text())
	u.rowKey = records.FileKey(m.ID)
	if key != "" {
		m.ID = core.FileID(records.FileIDPrefix + records.Hash("file", string(org), key))
		existing, version, refusal := in.fileRow(ctx, m.ID)
		if refusal == nil && existing.Expired {
			refusal = fileBeingDeleted()
		}
		if refusal != nil {
			return nil, refusal
		}
		u.alreadyAccepted = version > 0
	}
	m.Prefix = records.PartPrefix(m.ID, rand.Text())
	if refusal := u.writePendingRow(ctx); refusal != nil {
		return nil, refusal
	}
	split := &splitter{cfg: in.p.Config, checkURL: in.p.CheckURL}
	digest := sha256.New()
	if refusal := u.storeParts(ctx, split, digest, r); refusal != nil {
		return nil, refusal
	}
	if split.items == 0 {
		return nil, core.Refuse(core.CodeInvalidRequest, "the file has no lines")
	}
	m.Items, m.Ranges, m.URLs = split.items, split.parts, split.urls
	m.Digest = hex.EncodeToString(digest.Sum(nil))
	return u, nil
}

// writePendingRow writes the row through which retention finds the parts if the file
// is never accepted.
func (u *Upload) writePendingRow(ctx context.Context) *core.Refusal {
	if u.alreadyAccepted {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, u.in.p.Config.AcceptTimeout)
	defer cancel()
	row := u.manifest
	row.Pending, row.LastUsed = true, time.Now().UTC()
	version, err := u.in.p.Store.Commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: u.rowKey}},
		Writes:     []infra.Write{{Key: u.rowKey, Value: records.Encode(row)}},
	}, nil)
	if err != nil {
		return unavailable("the table service is unavailable; the file was not accepted")
	}
	u.rowVersion = version
	return nil
}

// storeParts reads all lines, adds them to digest and stores the parts.
func (u *Upload) storeParts(ctx context.Context, split *splitter, digest hash.Hash, r io.Reader) *core.Refusal {
	lines := bufio.NewReaderSize(io.TeeReader(r, digest), 64<<10)
	for {
		line, err := readLine(lines, u.in.p.Config.MaxLineBytes)
		u.manifest.Bytes += int64(len(line))
		if errors.Is(err, errLineTooLong) {
			return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("line %d: longer than %d bytes", split.lines+1, u.in.p.Config.MaxLineBytes))
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("line %d: the upload ended early: %v", split.lines+1, err))
		}
		if data := bytes.TrimRight(line, "\r\n"); len(data) > 0 {
			part, bad := split.addLine(data)
			if bad != nil {
				return core.Refuse(core.CodeInvalidRequest, bad.Error())
			}
			if refusal := u.storePart(ctx, split.parts-1, part); refusal != nil {
				return refusal
			}
		} else if len(line) > 0 {
			split.lines++
		}
		if err != nil {
			part := split.endPart()
			return u.storePart(ctx, split.parts-1, part)
		}
	}
}

// storePart writes one part. It does nothing if a file with the same key exists, since
// Accept then requires the same content.
func (u *Upload) storePart(ctx context.Context, n int, part []byte) *core.Refusal {
	if part == nil || u.alreadyAccepted {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, u.in.p.Config.AcceptTimeout)
	defer cancel()
	if err := u.in.p.Store.Put(ctx, records.PartKey(u.manifest.Prefix, n), part, nil); err != nil {
		return unavailable("the object store is unavailable; the file was not accepted")
	}
	return nil
}

// Accept accepts the file by writing its row. It returns the manifest of the first
// upload with the same key.
func (u *Upload) Accept(ctx context.Context, purpose string) (records.Manifest, *core.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, u.in.p.Config.AcceptTimeout)
	defer cancel()
	u.manifest.Purpose, u.manifest.Uploaded = purpose, time.Now().UTC()
	u.manifest.LastUsed = u.manifest.Uploaded
	m := u.manifest
	alreadyAccepted := u.alreadyAccepted
	if !alreadyAccepted {
		err := u.commitManifest(ctx)
		if err != nil && !errors.Is(err, infra.ErrConflict) {
			return m, core.Fail(core.CodeStoreUnavailable, "the table service did not confirm the file; resend it with the same key")
		}
		alreadyAccepted = err != nil
	}
	if alreadyAccepted {
		first, ok, refusal := u.in.touchFile(ctx, m.ID)
		if refusal != nil {
			return m, refusal
		}
		if !ok {
			return m, unavailable("the file was not accepted: the upload took too long, or the file with the same key was deleted meanwhile; resend it")
		}
		if first.Digest != m.Digest || first.Purpose != m.Purpose {
			return m, core.Refuse(core.CodeKeyReused, "the idempotency key was used for a file with other content")
		}
		m = first
	}
	u.in.p.Scope.Counter("batch_files").Inc(1)
	u.in.p.Log.Info("batch file accepted", "file", m.ID, "org", m.Org, "items", m.Items, "ranges", m.Ranges, "bytes", m.Bytes)
	return m, nil
}

// commitManifest replaces the row of the upload with the row of the file. With an
// idempotency key, the two rows have different keys. Errors: infra.ErrConflict (a
// file with the key exists, or the upload expired), infra.ErrUnavailable,
// infra.ErrOutcomeUnknown.
func (u *Upload) commitManifest(ctx context.Context) error {
	key := records.FileKey(u.manifest.ID)
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: u.rowKey, Version: u.rowVersion}},
		Writes:     []infra.Write{{Key: key, Value: records.Encode(u.manifest)}},
	}
	if key != u.rowKey {
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: key})
		txn.Writes = append(txn.Writes, infra.Write{Key: u.rowKey, Delete: true})
	}
	_, err := u.in.p.Store.Commit(ctx, txn, nil)
	return err
}

// readLine reads a line including its line feed, which the last line may lack.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.ReadSlice('\n')
		line = append(line, chunk...)
		if len(line) > limit {
			return line, errLineTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
