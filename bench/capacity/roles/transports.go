package roles

import "gentiantide.example/gentiantide/internal/peer"

// transports are those of the nodes of a measurement.
type transports []*peer.Transport

// sent returns the bytes that all of them have sent.
func (all transports) sent() float64 {
	total := int64(0)
	for _, t := range all {
		sent, _ := t.Traffic()
		total += sent
	}
	return float64(total)
}

func (all transports) close() {
	for _, t := range all {
		t.Close()
	}
}
