package worker

import (
	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/results"
)

// recordResult encodes the result of an item and keeps it until it is committed.
func (r *openRange) recordResult(i int, out batch.Outcome) {
	line, failed := results.Encode(r.items[i], out)
	r.resultLines[i], r.failed[i] = line, failed
	r.items[i].Body = nil
	r.finished++
	r.buffered += int64(len(line))
}
