package memaccount

import "time"

// RuntimeShare is the part of the memory that is set as the soft limit of the Go runtime
// (debug.SetMemoryLimit). The rest is left for socket buffers and the C library.
const RuntimeShare = 0.65

const (
	// vmShare is the part of a VM's memory for what is held for callers. The rest is for
	// connections, tables, garbage and socket buffers.
	vmShare = 1. / 5
	// reserveShare is the part of the account that only small holders may use, so that
	// ordinary requests are served while large bodies fill the rest.
	reserveShare = 1. / 4
	// smallHolder is the largest holder in bytes that may use the reserve. Ordinary bodies
	// have up to 100 KB.
	smallHolder = 128 << 10
	// MinPace is the pace in bytes per second below which an incomplete body ends in
	// favour of a large one. The slowest links of the VMs carry a hundred times more.
	MinPace = 16 << 10
	// paceWindow is the time over which a pace is measured. A sound link may pause for a
	// large part of a second.
	paceWindow = time.Second
	// judgedAfter is the age from which an incomplete body may end in favour of others.
	judgedAfter = 500 * time.Millisecond
)

// Limits bound an account.
type Limits struct {
	// Bytes is the size of the account. 0 means that it has no limit.
	Bytes int64
	// Reserve is the part of it that only holders of up to Small bytes may use.
	Reserve int64
	Small   int64
}

// ForMemory returns the limits of a process that may use so much memory in bytes.
func ForMemory(memory int64) Limits {
	bytes := int64(float64(memory) * vmShare)
	return Limits{Bytes: bytes, Reserve: int64(float64(bytes) * reserveShare), Small: smallHolder}
}
