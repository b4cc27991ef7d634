package cluster

// Options are the sizes of a region.
type Options struct {
	// Centres is the number of data centres.
	Centres int
	// Nodes and Replicas are numbers per data centre.
	Nodes, Replicas int
	// Slots is the number of slots of each replica.
	Slots int
}
