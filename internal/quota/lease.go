package quota

import "time"

// lease is what an owner has leased to a node.
type lease struct {
	left int
	// at is when the node asked for it, which is before the owner counted it.
	at time.Time
}

func (l lease) over(now time.Time) bool { return now.Sub(l.at) >= leaseTime }

// returned is what a node gives back. Its age is that at the time of sending.
type returned struct {
	//lint:ignore U1000 read by the codec
	_msgpack struct{} `msgpack:",as_array"`
	Count    int
	Age      time.Duration
}
