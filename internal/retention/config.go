package retention

import "time"

// Config holds the limits and intervals of a sweep. Each applies to one prefix.
type Config struct {
	// PageRows is the number of rows of one scan. Intent rows hold responses of
	// up to 64 KiB, so a page of 100 rows takes at most 6.4 MB.
	PageRows int
	// PageDelay is the time between two scans of the prefix.
	PageDelay time.Duration
	// SweepDelay is the time between the end of a sweep and the next one.
	SweepDelay time.Duration
	// ErrorDelay is the pause after a failed call to the platform.
	ErrorDelay time.Duration
	// OwnerCheckInterval is the time between two checks for ownership by a node
	// that does not own the prefix.
	OwnerCheckInterval time.Duration
	// CallTimeout limits one call to the platform.
	CallTimeout time.Duration
	// MaxAttempts limits the attempts of one call, including the first.
	MaxAttempts int
	// DeleteBatchRows is the number of rows that one transaction deletes.
	DeleteBatchRows int
	// TableRate and ObjectRate are the rate limits of the calls to the table and
	// to the object store, in operations per second.
	TableRate, ObjectRate float64
}

// DefaultConfig returns the values that the rates in the package comment are
// based on.
func DefaultConfig() Config {
	return Config{
		PageRows: 100, PageDelay: 10 * time.Second, SweepDelay: 10 * time.Minute,
		ErrorDelay: 30 * time.Second, OwnerCheckInterval: 10 * time.Second,
		CallTimeout: 5 * time.Second, MaxAttempts: 3, DeleteBatchRows: 15,
		TableRate: 15, ObjectRate: 30,
	}
}
