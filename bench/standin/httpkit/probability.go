package httpkit

import (
	"encoding/json"
	"fmt"
)

// Probability is a number from 0 to 1.
type Probability float64

// UnmarshalJSON rejects values outside 0 to 1.
func (p *Probability) UnmarshalJSON(data []byte) error {
	var value float64
	if err := json.Unmarshal(data, &value); err != nil {
		return fmt.Errorf("probability must be a number")
	}
	if value < 0 || value > 1 {
		return fmt.Errorf("probability %v is outside 0 to 1", value)
	}
	*p = Probability(value)
	return nil
}
