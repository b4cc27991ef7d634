package settings

import (
	"sort"
	"strings"

	"gentiantide.example/gentiantide/internal/core"
)

// Backend holds the settings of one backend server. It is immutable.
type Backend struct {
	ID core.ReplicaID
	// Drain takes the backend server out of service: it gets no new work.
	Drain bool
}

// Snapshot holds the effective settings of all entities at one version. It is
// immutable; readers load it from an atomic pointer.
type Snapshot struct {
	version      uint64
	authRequired bool
	deployments  []Deployment // sorted by ID
	byID         map[core.DeploymentID]int
	byModel      map[string]int
	orgs         map[core.Org]Organisation
	orgByKey     map[string]core.Org
	defaultOrg   Organisation
	backends     map[core.ReplicaID]Backend
	retention    Retention
}

// SnapshotInput holds the contents of a Snapshot.
type SnapshotInput struct {
	Version      uint64
	AuthRequired bool
	Deployments  []Deployment
	Orgs         []Organisation
	// DefaultOrg applies to organisations without a node of their own.
	DefaultOrg Organisation
	Backends   []Backend
	Retention  Retention
}

// NewSnapshot builds a snapshot and its indexes. A default weight below 1 becomes 1.
func NewSnapshot(in SnapshotInput) *Snapshot {
	s := &Snapshot{
		version:      in.Version,
		authRequired: in.AuthRequired,
		retention:    in.Retention,
		deployments:  append([]Deployment(nil), in.Deployments...),
		byID:         make(map[core.DeploymentID]int),
		byModel:      make(map[string]int),
		orgs:         make(map[core.Org]Organisation),
		orgByKey:     make(map[string]core.Org),
		defaultOrg:   in.DefaultOrg,
		backends:     make(map[core.ReplicaID]Backend),
	}
	s.defaultOrg.Weight = max(1, s.defaultOrg.Weight)
	sort.Slice(s.deployments, func(i, j int) bool { return s.deployments[i].ID < s.deployments[j].ID })
	for i, deployment := range s.deployments {
		s.byID[deployment.ID] = i
		if deployment.Kind == KindModel {
			s.byModel[deployment.Model] = i
		}
	}
	for _, org := range in.Orgs {
		s.orgs[org.ID] = org
		for _, key := range org.KeySHA256 {
			s.orgByKey[key] = org.ID
		}
	}
	for _, b := range in.Backends {
		s.backends[b.ID] = b
	}
	return s
}

// Version returns the version of the settings; it never decreases.
func (s *Snapshot) Version() uint64 { return s.version }

// AuthRequired reports whether callers must present an API key.
func (s *Snapshot) AuthRequired() bool { return s.authRequired }

// Retention returns how long durable state is kept after its last use.
func (s *Snapshot) Retention() Retention { return s.retention }

// Deployments returns all deployments, sorted by ID. The caller must not modify
// the slice.
func (s *Snapshot) Deployments() []Deployment { return s.deployments }

// Deployment returns the settings of a deployment, or nil.
func (s *Snapshot) Deployment(id core.DeploymentID) *Deployment {
	if i, ok := s.byID[id]; ok {
		return &s.deployments[i]
	}
	return nil
}

// DeploymentByModel returns the deployment that serves a model, or nil.
func (s *Snapshot) DeploymentByModel(model string) *Deployment {
	if i, ok := s.byModel[model]; ok {
		return &s.deployments[i]
	}
	return nil
}

// DeploymentByRoute returns the plain service with the longest route that is a
// prefix of path, or nil.
func (s *Snapshot) DeploymentByRoute(path string) *Deployment {
	var found *Deployment
	for i := range s.deployments {
		deployment := &s.deployments[i]
		if deployment.Kind != KindPlain || deployment.Route == "" || !strings.HasPrefix(path, deployment.Route) {
			continue
		}
		if found == nil || len(deployment.Route) > len(found.Route) {
			found = deployment
		}
	}
	return found
}

// Organisation returns the settings of an organisation. One without a node of its
// own gets those of "/organisations".
func (s *Snapshot) Organisation(org core.Org) Organisation {
	if o, ok := s.orgs[org]; ok {
		return o
	}
	o := s.defaultOrg
	o.ID = org
	return o
}

// OrgByKey returns the organisation that has the API key with this SHA-256 digest
// in hexadecimal.
func (s *Snapshot) OrgByKey(digest string) (core.Org, bool) {
	org, ok := s.orgByKey[digest]
	return org, ok
}

// Backend returns the settings of a backend server. One without a node gets the
// defaults.
func (s *Snapshot) Backend(id core.ReplicaID) Backend {
	if b, ok := s.backends[id]; ok {
		return b
	}
	return Backend{ID: id}
}
