package jobs

import (
	"context"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Access says which jobs a caller may see.
type Access struct {
	// Limited is set if the configuration names organisations. The caller then sees the
	// jobs of Org and those without an organisation.
	Limited bool
	Org     core.Org
}

// allows reports whether the caller may see a job.
func (a Access) allows(record *Record) bool {
	return !a.Limited || record.Org == "" || record.Org == a.Org
}

// As returns a Reader for a caller with the given access. To it, jobs that it may not see
// do not exist.
func (r *Reader) As(access Access) *Reader {
	limited := *r
	limited.access = access
	return &limited
}

// entry returns the job row from the cache or, failing that, from the table. For a job
// that the caller may not see, the table is read as well: while the store does not answer,
// a job that does not exist cannot be told either.
func (r *Reader) entry(ctx context.Context, job string) (Entry, error) {
	if entry, ok := r.cache.Get(job); ok && r.access.allows(&entry.Record) {
		return entry, nil
	}
	entry, err := r.stored(ctx, job)
	if err == nil {
		r.cache.Update(&entry.Record, entry.Version)
	}
	return entry, err
}

// stored returns the job row from the table.
func (r *Reader) stored(ctx context.Context, job string) (Entry, error) {
	entry, err := r.store.job(ctx, job)
	if err == nil && !r.access.allows(&entry.Record) {
		return Entry{}, infra.ErrNotFound
	}
	return entry, err
}
