package cluster

// Options set the size of a region.
type Options struct {
	// DataCentres is the number of data centres.
	DataCentres int
	// Nodes and Replicas are the numbers of nodes and replicas per data centre.
	Nodes, Replicas int
	// Slots is the number of slots of each replica.
	Slots int
}
