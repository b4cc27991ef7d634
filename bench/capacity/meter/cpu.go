package meter

import (
	"syscall"
	"time"
)

// CPUTime returns the user and system CPU time that this process has used.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err) // the arguments are constants
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// CPUTimePerCall returns the mean CPU time of one call of f. It calls f at least n
// times and until the calls have used at least minTime. The first call is not
// measured.
func CPUTimePerCall(n int, minTime time.Duration, f func()) time.Duration {
	f()
	before, calls := CPUTime(), 0
	for calls < n || CPUTime()-before < minTime {
		f()
		calls++
	}
	return (CPUTime() - before) / time.Duration(calls)
}
