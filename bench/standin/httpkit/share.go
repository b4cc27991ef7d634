package httpkit

import (
	"encoding/json"
	"fmt"
)

// Share is a probability from 0 to 1.
type Share float64

// UnmarshalJSON refuses values outside 0 to 1.
func (s *Share) UnmarshalJSON(data []byte) error {
	var value float64
	if err := json.Unmarshal(data, &value); err != nil {
		return fmt.Errorf("share must be a number")
	}
	if value < 0 || value > 1 {
		return fmt.Errorf("share %v is outside 0 to 1", value)
	}
	*s = Share(value)
	return nil
}
