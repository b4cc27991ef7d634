package intent

import "time"

// RowPrefix begins the keys of all intent rows.
const RowPrefix = "intent/"

// WrittenAt returns the time at which the value of an intent row was written, on
// the clock of the writer.
func WrittenAt(value []byte) (time.Time, error) {
	r, err := decodeRecord(value)
	return r.WrittenAt, err
}
