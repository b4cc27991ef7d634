package retention

import "time"

// Config holds the bounds of a sweep; each applies to one prefix.
type Config struct {
	// PageRows is the number of rows of one scan. Intent rows hold answers of
	// up to 64 KiB, so that a page takes at most 6.4 MB.
	PageRows int
	// PagePause is the time between two scans of the prefix.
	PagePause time.Duration
	// SweepPause is the time between two sweeps.
	SweepPause time.Duration
	// ErrorPause is the time after a failure of the platform.
	ErrorPause time.Duration
	// OwnerPause is the time between two looks of a node that does not own
	// the prefix.
	OwnerPause time.Duration
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
	// Tries bounds the repeats of one call.
	Tries int
	// BatchRows is the number of rows that one transaction deletes.
	BatchRows int
	// TableRate and ObjectRate are operations a second.
	TableRate, ObjectRate float64
}

// DefaultConfig returns the values that the package comment states.
func DefaultConfig() Config {
	return Config{
		PageRows: 100, PagePause: 10 * time.Second, SweepPause: 10 * time.Minute,
		ErrorPause: 30 * time.Second, OwnerPause: 10 * time.Second,
		CallTimeout: 5 * time.Second, Tries: 3, BatchRows: 15,
		TableRate: 15, ObjectRate: 30,
	}
}
