package service

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests with GOMAXPROCS=1, since with more threads the race detector
// may crash, in tsan SlotLock or at the check in tsan_rtl.cpp:346. In a synctest
// bubble, all timers share one race detector context, and the runtime (Go 1.26.8) runs
// a timer both from the bubble's clock and from a goroutine that selects on it. If this
// happens on two threads at once, the detector crashes. This needs many timers, as in
// TestStoreOutageBoundsMemory.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
