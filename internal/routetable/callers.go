package routetable

// Identify returns the organisation of a caller with a key on a route, or nil if the
// caller has none. ok is false if the caller must not use the route.
func (t *Table) Identify(route *Route, key string) (org *Organisation, ok bool) {
	if t.Organisations == nil {
		return nil, true
	}
	org = t.Organisations.ByKey(key)
	return org, org != nil || route.Public
}

// IdentifyJobs is Identify for the calls about accepted jobs, which name only a host.
// Without a valid key, callers may ask for the jobs of public routes.
func (t *Table) IdentifyJobs(host, key string) (org *Organisation, ok bool) {
	if t.Organisations == nil {
		return nil, true
	}
	org = t.Organisations.ByKey(key)
	return org, org != nil || t.hasPublicJobs(host)
}

// hasPublicJobs reports whether callers without a key may submit jobs to a host.
func (t *Table) hasPublicJobs(host string) bool {
	for _, r := range t.byHost[host] {
		if r.Kind == KindBatch && r.Public {
			return true
		}
	}
	return false
}
