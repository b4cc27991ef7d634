package retention

import "sync/atomic"

// counts holds the totals of one prefix since the start of the process.
type counts struct {
	rows, objects, jobs, files atomic.Int64
	// conflicts counts deletions that failed because a row changed after it was
	// read; unreadable counts rows that are kept because they cannot be decoded.
	conflicts, unreadable, errors atomic.Int64
}

// Counts is a copy of the totals of one prefix.
type Counts struct {
	Rows       int64 `json:"rows_deleted"`
	Objects    int64 `json:"objects_deleted"`
	Jobs       int64 `json:"jobs_deleted"`
	Files      int64 `json:"files_deleted"`
	Conflicts  int64 `json:"conflicts"`
	Unreadable int64 `json:"unreadable"`
	Errors     int64 `json:"errors"`
}

func (c *counts) read() Counts {
	return Counts{
		Rows: c.rows.Load(), Objects: c.objects.Load(), Jobs: c.jobs.Load(), Files: c.files.Load(),
		Conflicts: c.conflicts.Load(), Unreadable: c.unreadable.Load(), Errors: c.errors.Load(),
	}
}

func (c Counts) minus(o Counts) Counts {
	return Counts{
		Rows: c.Rows - o.Rows, Objects: c.Objects - o.Objects, Jobs: c.Jobs - o.Jobs, Files: c.Files - o.Files,
		Conflicts: c.Conflicts - o.Conflicts, Unreadable: c.Unreadable - o.Unreadable, Errors: c.Errors - o.Errors,
	}
}

// each calls f with the metric name and the value of each count.
func (c Counts) each(f func(name string, n int64)) {
	f("rows_deleted", c.Rows)
	f("objects_deleted", c.Objects)
	f("jobs_deleted", c.Jobs)
	f("files_deleted", c.Files)
	f("conflicts", c.Conflicts)
	f("unreadable", c.Unreadable)
	f("errors", c.Errors)
}
