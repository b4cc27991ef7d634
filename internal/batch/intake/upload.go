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
	"gentiantide.example/gentiantide/internal/platform"
)

// Upload is a file whose parts are stored but which is not accepted yet.
type Upload struct {
	in       *Intake
	key      string
	manifest records.Manifest
	earlier  *records.Manifest // of the first upload with the same key
}

var errLineTooLong = errors.New("line too long")

// Receive checks a file while it streams in and stores its parts. Nothing is
// accepted before Seal. With an idempotency key the file id follows from the
// organisation and the key.
func (in *Intake) Receive(ctx context.Context, org core.Org, key, name string, r io.Reader) (*Upload, *core.Refusal) {
	u := &Upload{in: in, key: key, manifest: records.Manifest{Org: org, Name: name}}
	m := &u.manifest
	m.ID = core.FileID(records.FilePrefix + rand.Text())
	if key != "" {
		m.ID = core.FileID(records.FilePrefix + records.Hash("file", string(org), key))
		var refusal *core.Refusal
		if u.earlier, refusal = in.keyed(ctx, m.ID); refusal != nil {
			return nil, refusal
		}
	}
	m.Prefix = records.PartPrefix(m.ID, rand.Text())
	split := &splitter{cfg: in.p.Config, checkURL: in.p.CheckURL}
	digest := sha256.New()
	if refusal := u.stream(ctx, split, digest, r); refusal != nil {
		return nil, refusal
	}
	if split.items == 0 {
		return nil, core.Refuse(core.CodeInvalidRequest, "the file has no lines")
	}
	m.Items, m.Ranges, m.URLs = split.items, split.parts, split.urls
	m.Digest = hex.EncodeToString(digest.Sum(nil))
	return u, nil
}

// stream reads all lines and stores the parts.
func (u *Upload) stream(ctx context.Context, split *splitter, digest hash.Hash, r io.Reader) *core.Refusal {
	lines := bufio.NewReaderSize(io.TeeReader(r, digest), 64<<10)
	for {
		line, err := readLine(lines, u.in.p.Config.LineBytes)
		u.manifest.Bytes += int64(len(line))
		if errors.Is(err, errLineTooLong) {
			return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("line %d: longer than %d bytes", split.lines+1, u.in.p.Config.LineBytes))
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("line %d: the upload ended early: %v", split.lines+1, err))
		}
		if data := bytes.TrimRight(line, "\r\n"); len(data) > 0 {
			part, bad := split.add(data)
			if bad != nil {
				return core.Refuse(core.CodeInvalidRequest, bad.Error())
			}
			if refusal := u.store(ctx, split.parts-1, part); refusal != nil {
				return refusal
			}
		} else if len(line) > 0 {
			split.lines++
		}
		if err != nil {
			part := split.cut()
			return u.store(ctx, split.parts-1, part)
		}
	}
}

// store writes one part, unless the same content must have been stored before.
func (u *Upload) store(ctx context.Context, n int, part []byte) *core.Refusal {
	if part == nil || u.earlier != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, u.in.p.Config.AcceptTimeout)
	defer cancel()
	if err := u.in.p.Store.Put(ctx, records.PartKey(u.manifest.Prefix, n), part, nil); err != nil {
		return unavailable("the object store is unavailable; the file was not accepted")
	}
	return nil
}

// Seal accepts the file: with a key its row is written first, then the
// manifest. The manifest returned is that of the first upload with the key.
func (u *Upload) Seal(ctx context.Context, purpose string) (records.Manifest, *core.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, u.in.p.Config.AcceptTimeout)
	defer cancel()
	u.manifest.Purpose, u.manifest.Uploaded = purpose, time.Now().UTC()
	m := u.manifest
	if u.key != "" {
		first, refusal := u.first(ctx)
		if refusal != nil {
			return m, refusal
		}
		if first.Digest != m.Digest || first.Purpose != m.Purpose {
			return m, core.Refuse(core.CodeKeyReused, "the idempotency key was used for a file with other content")
		}
		m = *first
	}
	if err := u.in.p.Store.Put(ctx, records.ManifestKey(m.ID), records.Encode(m), nil); err != nil {
		return m, core.Fail(core.CodeStoreUnavailable, "the object store did not confirm the file; resend it with the same key")
	}
	u.in.p.Scope.Counter("batch_files").Inc(1)
	u.in.p.Log.Info("batch file accepted", "file", m.ID, "org", m.Org, "items", m.Items, "ranges", m.Ranges, "bytes", m.Bytes)
	return m, nil
}

// first writes the row of a keyed file, or returns the manifest in the row
// that is there already.
func (u *Upload) first(ctx context.Context) (*records.Manifest, *core.Refusal) {
	if u.earlier != nil {
		return u.earlier, nil
	}
	key := records.FileKey(u.manifest.ID)
	_, err := u.in.p.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: records.Encode(u.manifest)}},
	}, nil)
	switch {
	case err == nil:
		return &u.manifest, nil
	case !errors.Is(err, platform.ErrConflict):
		return nil, core.Fail(core.CodeStoreUnavailable, "the table service did not confirm the file; resend it with the same key")
	}
	earlier, refusal := u.in.keyed(ctx, u.manifest.ID)
	if refusal == nil && earlier == nil {
		refusal = core.Refuse(core.CodeInternal, "the row of the file has vanished")
	}
	return earlier, refusal
}

// keyed returns the manifest in the row of a keyed file, or nil.
func (in *Intake) keyed(ctx context.Context, id core.FileID) (*records.Manifest, *core.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, in.p.Config.AcceptTimeout)
	defer cancel()
	row, err := in.p.Store.Get(ctx, records.FileKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, unavailable("the table service is unavailable")
	}
	m, err := records.Decode[records.Manifest](row.Value)
	if err != nil {
		return nil, core.Refuse(core.CodeInternal, "the row of the file is damaged")
	}
	return &m, nil
}

// readLine reads a line with its line feed; the last one may lack it.
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
