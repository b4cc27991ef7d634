package quota

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/routetable"
)

// duties are what a node has to do about limits by one configuration and one view of the
// directory. They are immutable.
type duties struct {
	orgs       *routetable.Organisations
	candidates *candidates
	// limited are the organisations that have limits.
	limited map[core.Org]*routetable.Organisation
	// first are those of which the node is the first owner.
	first map[core.Org]*routetable.Organisation
}

// duties returns those by the present configuration and view.
func (s *Service) duties() *duties {
	orgs, c := s.Organisations(), s.candidates()
	if d := s.lastDuties.Load(); d != nil && d.orgs == orgs && d.candidates == c {
		return d
	}
	d := &duties{orgs: orgs, candidates: c, limited: make(map[core.Org]*routetable.Organisation), first: make(map[core.Org]*routetable.Organisation)}
	if orgs != nil {
		for _, org := range orgs.All() {
			if !org.Limited() {
				continue
			}
			d.limited[org.Name] = org
			if owners := c.owners(org.Name, s.Self.DataCentre); len(owners) > 0 && owners[0] == s.Messenger.Self() {
				d.first[org.Name] = org
			}
		}
	}
	s.lastDuties.Store(d)
	return d
}
