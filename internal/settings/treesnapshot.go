package settings

import (
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Snapshot computes the effective values of all deployments, organisations and
// backend servers.
func (t *Tree) Snapshot() *Snapshot {
	input := SnapshotInput{
		Version:      t.version,
		AuthRequired: t.decodedValue("auth.required", []string{RootPath}).(bool),
		DefaultOrg:   t.organisation(OrganisationsPath),
		Retention:    t.retention(),
	}
	for path, n := range t.nodes {
		kind, err := PathKind(path)
		if err != nil || isFixed(path) || !t.isEntity(path, n) {
			continue
		}
		switch kind {
		case NodeService:
			input.Deployments = append(input.Deployments, t.deployment(path))
		case NodeOrganisation:
			input.Orgs = append(input.Orgs, t.organisation(path))
		case NodeFleet:
			input.Backends = append(input.Backends, t.backend(path))
		}
	}
	return NewSnapshot(input)
}

// decodedValue returns a key's value from the first of the paths that sets it,
// or the default. A key that is not inherited is looked up at the first path only.
func (t *Tree) decodedValue(name string, paths []string) any {
	k := schemaByName[name]
	if k.NotInherited {
		paths = paths[:1]
	}
	for _, path := range paths {
		if n, ok := t.nodes[path]; ok && n.Values[name] != nil {
			return n.decoded[name]
		}
	}
	return k.decodedDefault
}

func (t *Tree) deployment(path string) Deployment {
	r := effectiveReader{t, pathAndAncestors(path)}
	return Deployment{
		ID:                  core.DeploymentID(strings.TrimPrefix(path, ServicesPath+"/")),
		Kind:                DeploymentKind(r.text("kind")),
		Model:               r.text("model"),
		Route:               r.text("route"),
		NonIdempotentRoutes: r.list("route.non_idempotent"),
		OnlineDeadline:      r.duration("online.deadline"),
		FirstToken:          r.duration("online.first_token"),
		QueueLimit:          r.int("online.queue_limit"),
		Slots:               r.int("replica.slots"),
		RetryBudget:         r.number("retry.budget"),
		MaxAttempts:         r.int("retry.max_attempts"),
		HedgeAfter:          r.duration("hedge.after"),
		EjectRatio:          r.number("eject.ratio"),
		EjectDuration:       r.duration("eject.duration"),
		BatchEnabled:        r.bool("batch.enabled"),
		BatchMaxTries:       r.int("batch.max_tries"),
		BatchHeadroom:       r.int("batch.headroom"),
		BatchItemDeadline:   r.duration("batch.item_deadline"),
		HonoursFencing:      r.bool("engine.honours_fencing"),
		ModelVersion:        r.text("engine.model_version"),
		Adapter:             r.text("engine.adapter"),
		Role:                r.text("engine.role"),
	}
}

func (t *Tree) organisation(path string) Organisation {
	r := effectiveReader{t, pathAndAncestors(path)}
	return Organisation{
		ID:          core.Org(strings.TrimPrefix(strings.TrimPrefix(path, OrganisationsPath), "/")),
		Weight:      r.int("org.weight"),
		KeySHA256:   r.list("org.key_sha256"),
		MaxInFlight: r.int("org.max_in_flight"),
	}
}

func (t *Tree) backend(path string) Backend {
	r := effectiveReader{t, pathAndAncestors(path)}
	return Backend{ID: core.ReplicaID(strings.TrimPrefix(path, FleetPath+"/")), Drain: r.bool("drain")}
}

// effectiveReader reads the typed effective values of one entity. Its paths are
// those of the entity and its ancestors, the entity first.
type effectiveReader struct {
	tree  *Tree
	paths []string
}

func (r effectiveReader) text(name string) string { return r.tree.decodedValue(name, r.paths).(string) }
func (r effectiveReader) list(name string) []string {
	return r.tree.decodedValue(name, r.paths).([]string)
}
func (r effectiveReader) int(name string) int   { return r.tree.decodedValue(name, r.paths).(int) }
func (r effectiveReader) bool(name string) bool { return r.tree.decodedValue(name, r.paths).(bool) }
func (r effectiveReader) number(name string) float64 {
	return r.tree.decodedValue(name, r.paths).(float64)
}
func (r effectiveReader) duration(name string) time.Duration {
	return r.tree.decodedValue(name, r.paths).(time.Duration)
}
