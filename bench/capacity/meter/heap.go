package meter

import "runtime"

// Heap returns the bytes of reachable objects, after two collections: the
// first one only moves the content of pools aside.
func Heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Stacks returns the bytes of goroutine stacks.
func Stacks() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}
