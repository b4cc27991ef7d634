package batch

import "time"

// Config holds the limits and intervals of batch processing.
type Config struct {
	// Shards is the number of shards of the index of open jobs.
	Shards int
	// ScanEvery is the interval at which a coordinator scans its shards.
	ScanEvery time.Duration
	// RereadEvery is the interval at which a coordinator reads the range rows of
	// a job again if no worker has reported a change.
	RereadEvery time.Duration
	// RenewEvery is the interval at which a node renews its lease.
	RenewEvery time.Duration
	// StartMaxLeaseAge is the longest time since the last lease renewal for which
	// items may still be started.
	StartMaxLeaseAge time.Duration
	// LeaseDuration is the time after the last renewal at which the holder drops
	// its ranges. Another node may take them over once it has seen the lease row
	// unchanged for this time.
	LeaseDuration time.Duration
	// OfferTimeout is the time for which an offered range is not offered to
	// another worker.
	OfferTimeout time.Duration
	// DueGranularity is the step to which due times are rounded down: jobs with
	// due times in the same step are ordered by fair share.
	DueGranularity time.Duration
	// DefaultCompletionWindow is the completion window of a job that sets none.
	DefaultCompletionWindow time.Duration

	// MaxInFlight bounds the items in flight per node.
	MaxInFlight int
	// MaxOpenRanges bounds the ranges that a node holds at once.
	MaxOpenRanges int
	// MaxResultMemory bounds the bytes of finished results that are not committed.
	MaxResultMemory int64
	// ResultReservePerItem is the part of MaxResultMemory that is reserved
	// for the result of each running item.
	ResultReservePerItem int64
	// PartialCommitAfter is how long finished results wait for the remaining
	// items of their range before they are committed without them. It doubles
	// with each such commit.
	PartialCommitAfter time.Duration
	// SplitAfter is how long a range is held before its unstarted items may be
	// split off for a node with free capacity.
	SplitAfter time.Duration
	// PollInterval is the longest time between two checks of a worker's ranges.
	PollInterval time.Duration

	// RangeSizes lists the items per range in the order of the input; the last
	// value applies to all further ranges.
	RangeSizes []int
	// MaxRangeBytes bounds the input of a range of two or more items.
	MaxRangeBytes int
	// MaxLineBytes bounds the length of an input line.
	MaxLineBytes int
	// IntentBatchSize is the number of non-idempotent items that one intent
	// write records before they are sent.
	IntentBatchSize int
	// MaxTries bounds the executions of an idempotent item that may end as
	// item failures.
	MaxTries int
	// MaxBackendFailures bounds the executions of an item that may end as
	// backend failures.
	MaxBackendFailures int
	// ItemBackoff and ItemBackoffMax are the first and the longest delay before
	// an item is retried.
	ItemBackoff, ItemBackoffMax time.Duration

	// StoreBackoff and StoreBackoffMax are the first and the longest delay
	// before a call to the table service or object store is retried.
	StoreBackoff, StoreBackoffMax time.Duration
	// CallTimeout bounds one call to the table service, the object store or a
	// peer.
	CallTimeout time.Duration
	// AcceptTimeout bounds the reads and writes that accept a caller's request,
	// retries included.
	AcceptTimeout time.Duration
	// ReleaseTimeout bounds the release of ranges after the context of Stop has
	// ended.
	ReleaseTimeout time.Duration
}

// DefaultConfig returns the configuration for production.
func DefaultConfig() Config {
	return Config{
		Shards:                  64,
		ScanEvery:               2 * time.Second,
		RereadEvery:             10 * time.Second,
		RenewEvery:              5 * time.Second,
		StartMaxLeaseAge:        10 * time.Second,
		LeaseDuration:           15 * time.Second,
		OfferTimeout:            5 * time.Second,
		DueGranularity:          10 * time.Minute,
		DefaultCompletionWindow: 24 * time.Hour,

		MaxInFlight:          64,
		MaxOpenRanges:        4,
		MaxResultMemory:      16 << 20,
		ResultReservePerItem: 16 << 10,
		PartialCommitAfter:   30 * time.Second,
		SplitAfter:           60 * time.Second,
		PollInterval:         time.Second,

		RangeSizes:         []int{64, 64, 128, 256, 512, 1000},
		MaxRangeBytes:      1 << 20,
		MaxLineBytes:       1 << 20,
		IntentBatchSize:    32,
		MaxTries:           3,
		MaxBackendFailures: 50,
		ItemBackoff:        200 * time.Millisecond,
		ItemBackoffMax:     10 * time.Second,

		StoreBackoff:    100 * time.Millisecond,
		StoreBackoffMax: 2 * time.Second,
		CallTimeout:     5 * time.Second,
		AcceptTimeout:   10 * time.Second,
		ReleaseTimeout:  5 * time.Second,
	}
}

// Backoff returns the delay before retry n, counted from 0: first doubled n
// times, but at most limit.
func Backoff(first, limit time.Duration, n int) time.Duration {
	d := first
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}
