package engine

import (
	"encoding/json"
	"fmt"
)

// maxFactor keeps step times within the range of time.Duration.
const maxFactor = 10_000

// Factor is a multiplier of step times. 0 means 1.
type Factor float64

// UnmarshalJSON rejects values outside 0 to 10,000.
func (f *Factor) UnmarshalJSON(data []byte) error {
	var value float64
	if err := json.Unmarshal(data, &value); err != nil {
		return fmt.Errorf("factor must be a number")
	}
	if value < 0 || value > maxFactor {
		return fmt.Errorf("factor %v is outside 0 to %d", value, maxFactor)
	}
	*f = Factor(value)
	return nil
}

func (f Factor) value() float64 {
	if f == 0 {
		return 1
	}
	return float64(f)
}
