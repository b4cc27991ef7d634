package meter

import "runtime"

// HeapBytes returns the bytes of reachable objects. It collects garbage twice,
// because the first collection only moves the content of a sync.Pool to the
// pool's victim cache.
func HeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// StackBytes returns the bytes of goroutine stacks.
func StackBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}
