package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// minRouteTimeout is the least timeout of a route of the phase of planned work. It
	// is above the time that any of its requests needs.
	minRouteTimeout = 11 * time.Second
	// minIdleTimeout is the least time that a caller's connection may stay idle.
	minIdleTimeout = 4 * time.Second
	// configApplyTime is the time within which an acknowledged configuration must be
	// in force.
	configApplyTime = 2 * time.Second
	// secondJobs is the path of the route of jobs that goes and comes back.
	secondJobs = "batch2"
)

// plannedConfig is the operator's configuration in the phase of planned work.
type plannedConfig struct {
	platformtest.Config
	// extra are the routes that are added and removed, the oldest first.
	extra []extraRoute
	// jobsEnd is set while the second route of jobs is gone.
	jobsEnd bool
}

// extraRoute is a route that is added and removed.
type extraRoute struct {
	name string
	// inForce is when all nodes must know it.
	inForce time.Time
}

func newPlannedConfig() *plannedConfig {
	route := func(name, path, kind, service string, attempts int, resumes bool) platformtest.Route {
		return platformtest.Route{
			Name: name, Path: path, Kind: kind, TimeoutMS: int(minRouteTimeout.Milliseconds()), MaxAttempts: attempts, CanResume: resumes,
			Backends: []platformtest.Backend{{Service: service, Weight: 1}}, QuotaTokens: 100000,
		}
	}
	return &plannedConfig{Config: platformtest.Config{
		IdleMS: 15000, HeaderMS: 3000, Services: []string{"models", "models2", "desk", "desk2"},
		Routes: []platformtest.Route{
			route("once", "once", "streaming", "models", 1, false), route("resume", "resume", "streaming", "models", 3, true),
			route("safe", "safe", "safe", "desk", 3, false), route("unsafe", "unsafe", "unsafe", "desk", 3, false),
			route("lots", "batch", "batch", "models", 3, true), route("lots2", secondJobs, "batch", "models", 3, true),
		},
	}}
}

// change makes one random change and returns its description.
func (c *plannedConfig) change(rng *rand.Rand) string {
	route := &c.Routes[rng.IntN(len(c.Routes))]
	service := "models"
	if route.Kind == "safe" || route.Kind == "unsafe" {
		service = "desk"
	}
	switch rng.IntN(8) {
	case 0:
		c.IdleMS = int(minIdleTimeout.Milliseconds()) + 1000*rng.IntN(12)
		return fmt.Sprintf("idle timeout %d ms", c.IdleMS)
	case 1:
		c.HeaderMS = 2000 + 500*rng.IntN(5)
		return fmt.Sprintf("header timeout %d ms", c.HeaderMS)
	case 2:
		route.Backends = []platformtest.Backend{{Service: service + []string{"", "2"}[rng.IntN(2)], Weight: 1}}
		return fmt.Sprintf("%s moves: %v", route.Name, route.Backends)
	case 3:
		weight := rng.IntN(101)
		route.Backends = []platformtest.Backend{{Service: service, Weight: weight}, {Service: service + "2", Weight: 100 - weight}}
		return fmt.Sprintf("%s is split: %v", route.Name, route.Backends)
	case 4:
		route.TimeoutMS = int(minRouteTimeout.Milliseconds()) + 1000*rng.IntN(5)
		return fmt.Sprintf("%s has the timeout %d ms", route.Name, route.TimeoutMS)
	case 5:
		if len(c.extra) > 2 {
			c.extra = c.extra[1:]
			return "a route is removed"
		}
		c.extra = append(c.extra, extraRoute{name: fmt.Sprintf("extra%d", c.Version)})
		return "a route is added"
	case 6:
		route.QuotaTokens = 500 + rng.IntN(100000)
		return fmt.Sprintf("quota %d", route.QuotaTokens)
	default:
		c.jobsEnd = !c.jobsEnd
		return fmt.Sprintf("second route of jobs gone: %t", c.jobsEnd)
	}
}

// write makes the operator write the next version.
func (c *plannedConfig) write(store *platformtest.Store, step int) error {
	c.Version += step
	out := c.Config
	out.Routes = nil
	for _, route := range c.Routes {
		if route.Path != secondJobs || !c.jobsEnd {
			out.Routes = append(out.Routes, route)
		}
	}
	for _, extra := range c.extra {
		out.Routes = append(out.Routes, platformtest.Route{
			Name: extra.name, Path: extra.name, Kind: "safe", TimeoutMS: int(minRouteTimeout.Milliseconds()), MaxAttempts: 3,
			Backends: []platformtest.Backend{{Service: "desk", Weight: 1}},
		})
	}
	err := store.WriteConfig(&out)
	for i := range c.extra {
		if c.extra[i].inForce.IsZero() {
			c.extra[i].inForce = time.Now().Add(configApplyTime)
		}
	}
	return err
}
