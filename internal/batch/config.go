package batch

import "time"

// Config holds the sizes and timings of the batch path.
type Config struct {
	// Shards is the number of shards of the open-job index.
	Shards int
	// ScanEvery is the time between two scans of a coordinator's shards.
	ScanEvery time.Duration
	// RereadEvery is the age at which a coordinator reads the range rows of a
	// job again although no worker reported a change.
	RereadEvery time.Duration
	// RenewEvery is the time between two renewals of a node's lease.
	RenewEvery time.Duration
	// StartWithin is the age of the last renewal up to which items are started.
	StartWithin time.Duration
	// LeaseLength is the age of the last renewal at which the holder drops its
	// ranges, and the time a lease row must be unchanged before a take-over.
	LeaseLength time.Duration
	// OfferHold is how long an offered range is not offered again.
	OfferHold time.Duration
	// DueGrain is the granularity of due times: jobs whose due times fall in
	// the same grain are ordered by fair share.
	DueGrain time.Duration
	// DefaultWindow is the completion window of a job that names none.
	DefaultWindow time.Duration

	// Window is the number of items in flight per node.
	Window int
	// OpenRanges is the number of ranges that a node holds at once.
	OpenRanges int
	// ResultMemory bounds the bytes of finished results that wait for a commit.
	ResultMemory int64
	// ResultReserve is the part of ResultMemory kept for each running item.
	ResultReserve int64
	// PartialAfter is how long finished results wait for the last items of a
	// range before they are committed on their own; it doubles each time.
	PartialAfter time.Duration
	// SplitAfter is how long a range is held before its unstarted items are
	// released to a node that has room.
	SplitAfter time.Duration
	// Tick is the longest time between two looks of the worker at its ranges.
	Tick time.Duration

	// RangeSizes lists the items per range; the last value repeats.
	RangeSizes []int
	// RangeBytes closes a range early.
	RangeBytes int
	// LineBytes bounds one input line.
	LineBytes int
	// IntentWindow is the number of non-idempotent items per intent write.
	IntentWindow int
	// MaxTries bounds the tries of an idempotent item.
	MaxTries int
	// MaxBackendFailures bounds the repeats after backend failures.
	MaxBackendFailures int
	// ItemBackoff and ItemBackoffMax space the repeats of an item.
	ItemBackoff, ItemBackoffMax time.Duration

	// StoreBackoff and StoreBackoffMax space the repeats of a store call.
	StoreBackoff, StoreBackoffMax time.Duration
	// CallTimeout bounds one store call or one call to a peer.
	CallTimeout time.Duration
	// AcceptTimeout bounds the time in which a caller's write is confirmed.
	AcceptTimeout time.Duration
	// ReleaseTimeout bounds the release of ranges once the context of Stop ended.
	ReleaseTimeout time.Duration
}

// DefaultConfig returns the values of the design.
func DefaultConfig() Config {
	return Config{
		Shards:        64,
		ScanEvery:     2 * time.Second,
		RereadEvery:   10 * time.Second,
		RenewEvery:    5 * time.Second,
		StartWithin:   10 * time.Second,
		LeaseLength:   15 * time.Second,
		OfferHold:     5 * time.Second,
		DueGrain:      10 * time.Minute,
		DefaultWindow: 24 * time.Hour,

		Window:        64,
		OpenRanges:    4,
		ResultMemory:  16 << 20,
		ResultReserve: 16 << 10,
		PartialAfter:  30 * time.Second,
		SplitAfter:    60 * time.Second,
		Tick:          time.Second,

		RangeSizes:         []int{64, 64, 128, 256, 512, 1000},
		RangeBytes:         1 << 20,
		LineBytes:          1 << 20,
		IntentWindow:       32,
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

// Backoff returns the pause before repeat number n (from 0): first doubled n
// times, at most limit.
func Backoff(first, limit time.Duration, n int) time.Duration {
	d := first
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}
