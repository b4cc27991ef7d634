package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
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
)

// plannedConfig is the operator's configuration in the phase of planned work.
type plannedConfig struct {
	version, idleMS, headerMS, quota int
	// timeouts and services are by the name of the route.
	timeouts, services map[string]string
	extra              []extraRoute
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
	c := &plannedConfig{idleMS: 15000, headerMS: 3000, quota: 100000, timeouts: make(map[string]string), services: make(map[string]string)}
	for _, name := range []string{"once", "resume", "lots", "lots2"} {
		c.services[name] = `"service":"models"`
	}
	c.services["safe"], c.services["unsafe"] = `"service":"desk"`, `"service":"desk"`
	for name := range c.services {
		c.timeouts[name] = "12000"
	}
	return c
}

// change makes one random change and returns its description.
func (c *plannedConfig) change(rng *rand.Rand) string {
	names := []string{"once", "resume", "safe", "unsafe", "lots", "lots2"}
	name := names[rng.IntN(len(names))]
	service := "models"
	if name == "safe" || name == "unsafe" {
		service = "desk"
	}
	switch rng.IntN(8) {
	case 0:
		c.idleMS = int(minIdleTimeout.Milliseconds()) + 1000*rng.IntN(12)
		return fmt.Sprintf("idle timeout %d ms", c.idleMS)
	case 1:
		c.headerMS = 2000 + 500*rng.IntN(5)
		return fmt.Sprintf("header timeout %d ms", c.headerMS)
	case 2:
		c.services[name] = fmt.Sprintf(`"service":%q`, service+[]string{"", "2"}[rng.IntN(2)])
		return name + " moves: " + c.services[name]
	case 3:
		weight := rng.IntN(101)
		c.services[name] = fmt.Sprintf(`"backends":[{"service":%q,"weight":%d},{"service":%q,"weight":%d}]`, service, weight, service+"2", 100-weight)
		return name + " is split: " + c.services[name]
	case 4:
		c.timeouts[name] = fmt.Sprint(int(minRouteTimeout.Milliseconds()) + 1000*rng.IntN(5))
		return name + " has the timeout " + c.timeouts[name]
	case 5:
		if len(c.extra) > 2 {
			c.extra = c.extra[1:]
			return "a route is removed"
		}
		c.extra = append(c.extra, extraRoute{name: fmt.Sprintf("extra%d", c.version)})
		return "a route is added"
	case 6:
		c.quota = 500 + rng.IntN(100000)
		return fmt.Sprintf("quota %d", c.quota)
	default:
		c.jobsEnd = !c.jobsEnd
		return fmt.Sprintf("second route of jobs gone: %t", c.jobsEnd)
	}
}

// write makes the operator write the next version.
func (c *plannedConfig) write(store *platformtest.Store, step int) error {
	c.version += step
	route := func(name, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":"verse.example","path-prefix":"/%s/","timeout-ms":%s,%s,%s}`, name, pathOf(name), c.timeouts[name], c.services[name], more)
	}
	streams := `"kind":"streaming","target-latency-ms":500,"gap-aim-ms":250,`
	jobs := fmt.Sprintf(`"kind":"batch","max-attempts":3,"can-resume":true,"due-ms":18000,"max-queue-s":120,"max-queued-tokens":%d`, c.quota)
	routes := []string{
		route("once", streams+`"max-attempts":1,"can-resume":false`), route("resume", streams+`"max-attempts":3,"can-resume":true`),
		route("safe", `"kind":"safe","max-attempts":3`), route("unsafe", `"kind":"unsafe","max-attempts":3`), route("lots", jobs),
	}
	if !c.jobsEnd {
		routes = append(routes, route("lots2", jobs))
	}
	for _, extra := range c.extra {
		routes = append(routes, platformtest.SafeRoute(extra.name))
	}
	var services []string
	for _, name := range []string{"models", "models2", "desk", "desk2"} {
		services = append(services, fmt.Sprintf(`{"name":%q,"health-path":"/health","max-conns":210}`, name))
	}
	err := store.Put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout-ms":%d,"idle-timeout-ms":%d}}`,
		c.version, strings.Join(routes, ","), strings.Join(services, ","), c.headerMS, c.idleMS))
	for i := range c.extra {
		if c.extra[i].inForce.IsZero() {
			c.extra[i].inForce = time.Now().Add(configApplyTime)
		}
	}
	return err
}

// pathOf returns the path prefix of a route, without slashes.
func pathOf(name string) string {
	switch name {
	case "lots":
		return "batch"
	case "lots2":
		return "batch2"
	}
	return name
}
