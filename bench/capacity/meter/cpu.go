package meter

import (
	"syscall"
	"time"
)

// CPU returns the processor time that this process has used, user and system.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the arguments are constants
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// PerCall returns the processor time of one call of f, from at least n calls
// and at least atLeast of processor time.
func PerCall(n int, atLeast time.Duration, f func()) time.Duration {
	f()
	before, calls := CPU(), 0
	for calls < n || CPU()-before < atLeast {
		f()
		calls++
	}
	return (CPU() - before) / time.Duration(calls)
}
