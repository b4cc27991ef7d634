package quota

import "gentiantide.example/gentiantide/internal/routetable"

// Limit is the limit of an organisation over all nodes: Burst requests at once, and
// PerSecond requests a second.
type Limit struct {
	//lint:ignore U1000 read by the codec
	_msgpack  struct{} `msgpack:",as_array"`
	PerSecond float64
	Burst     float64
}

func limitOf(org *routetable.Organisation) Limit {
	return Limit{PerSecond: org.RequestsPerSecond, Burst: org.Burst}
}
