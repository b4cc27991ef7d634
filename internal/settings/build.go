package settings

import (
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Snapshot works the effective values of all entities out.
func (t *Tree) Snapshot() *Snapshot {
	in := SnapshotInput{
		Version:      t.version,
		AuthRequired: t.value("auth.required", []string{RootPath}).(bool),
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
			in.Deployments = append(in.Deployments, t.service(path))
		case NodeOrganisation:
			in.Orgs = append(in.Orgs, t.organisation(path))
		case NodeFleet:
			in.Backends = append(in.Backends, t.backend(path))
		}
	}
	return NewSnapshot(in)
}

func (t *Tree) value(name string, line []string) any {
	k := schemaByName[name]
	if k.Own {
		line = line[:1]
	}
	for _, path := range line {
		if n, ok := t.nodes[path]; ok && n.Values[name] != nil {
			return n.typed[name]
		}
	}
	return k.fallback
}

func (t *Tree) service(path string) Deployment {
	r := reader{t, lineage(path)}
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
	r := reader{t, lineage(path)}
	return Organisation{
		ID:          core.Org(strings.TrimPrefix(strings.TrimPrefix(path, OrganisationsPath), "/")),
		Weight:      r.int("org.weight"),
		KeySHA256:   r.list("org.key_sha256"),
		MaxInFlight: r.int("org.max_in_flight"),
	}
}

func (t *Tree) backend(path string) Backend {
	r := reader{t, lineage(path)}
	return Backend{ID: core.ReplicaID(strings.TrimPrefix(path, FleetPath+"/")), Drain: r.bool("drain")}
}

// reader reads typed effective values of one entity.
type reader struct {
	tree *Tree
	line []string
}

func (r reader) text(name string) string   { return r.tree.value(name, r.line).(string) }
func (r reader) list(name string) []string { return r.tree.value(name, r.line).([]string) }
func (r reader) int(name string) int       { return r.tree.value(name, r.line).(int) }
func (r reader) bool(name string) bool     { return r.tree.value(name, r.line).(bool) }
func (r reader) number(name string) float64 {
	return r.tree.value(name, r.line).(float64)
}
func (r reader) duration(name string) time.Duration {
	return r.tree.value(name, r.line).(time.Duration)
}
