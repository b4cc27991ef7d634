package httpkit

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration whose JSON form is a string such as "50ms". It
// also reads a number of nanoseconds.
type Duration time.Duration

// MarshalJSON encodes the duration as a string with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string with a unit or a number of nanoseconds. It
// rejects negative durations.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var number int64
	if json.Unmarshal(data, &number) != nil {
		var text string
		if err := json.Unmarshal(data, &text); err != nil {
			return fmt.Errorf("duration must be a string such as \"50ms\" or a number of nanoseconds")
		}
		parsed, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		number = int64(parsed)
	}
	if number < 0 {
		return fmt.Errorf("duration must not be negative")
	}
	*d = Duration(number)
	return nil
}
