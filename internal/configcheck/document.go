package configcheck

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/routetable"
)

// Document is a configuration with the lines on which its entries begin.
type Document struct {
	Version       int64
	Limits        routetable.Limits
	Routes        []Route
	Organisations []Organisation
	// Identified is set if the configuration names organisations, even none.
	Identified bool
	Services   []Service
}

// Route is an entry for a route. KindKnown is false if its kind is none of those known.
type Route struct {
	Line      int
	KindKnown bool
	Route     *routetable.Route
}

// Organisation is an entry for an organisation.
type Organisation struct {
	Line         int
	Organisation *routetable.Organisation
	// KeyDigests identify its keys.
	KeyDigests []string
}

// Service is an entry for a service.
type Service struct {
	Line int
	Name core.DeploymentID
	// Memory is the number of tokens that a replica holds, or 0.
	Memory int
}
