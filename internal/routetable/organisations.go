package routetable

import "gentiantide.example/gentiantide/internal/core"

// Organisations are the customers of one version of the configuration, by the keys of
// their callers. It is immutable.
type Organisations struct {
	byKey  map[string]*Organisation
	byName map[core.Org]*Organisation
}

// NewOrganisations returns an empty set of organisations: no key is valid.
func NewOrganisations() *Organisations {
	return &Organisations{byKey: make(map[string]*Organisation), byName: make(map[core.Org]*Organisation)}
}

// Add adds an organisation with the keys of its callers. A key that two organisations
// hold belongs to the first. It must not be called after the set is in use.
func (o *Organisations) Add(org *Organisation, keys []string) {
	if o.byName[org.Name] == nil {
		o.byName[org.Name] = org
	}
	for _, key := range keys {
		if key != "" && o.byKey[key] == nil {
			o.byKey[key] = org
			org.Keys++
		}
	}
}

// ByKey returns the organisation that holds a key, or nil.
func (o *Organisations) ByKey(key string) *Organisation { return o.byKey[key] }

// ByName returns an organisation, or nil.
func (o *Organisations) ByName(name core.Org) *Organisation { return o.byName[name] }

// All returns the organisations in no particular order.
func (o *Organisations) All() []*Organisation {
	list := make([]*Organisation, 0, len(o.byName))
	for _, org := range o.byName {
		list = append(list, org)
	}
	return list
}
