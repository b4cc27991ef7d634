package worker

import (
	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/results"
)

// record keeps the result of an item until it is committed.
func (r *openRange) record(i int, out batch.Outcome) {
	line, failed := results.Encode(r.items[i], out)
	r.lines[i], r.failed[i] = line, failed
	r.items[i].Body = nil
	r.finished++
	r.buffered += int64(len(line))
}
