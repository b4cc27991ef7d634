package intent

import "time"

// RowPrefix is the prefix of the keys of all intent rows.
const RowPrefix = "intent/"

// WrittenAt returns the time at which the value of an intent row was written, by the
// writer's clock.
func WrittenAt(value []byte) (time.Time, error) {
	r, err := decodeRecord(value)
	return r.WrittenAt, err
}
