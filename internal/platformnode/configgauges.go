package platformnode

import (
	"time"

	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/routetable"
	"gentiantide.example/gentiantide/internal/watch"
)

// configGauges are the metrics of the operator's configuration at this node.
type configGauges struct {
	version tally.Gauge
	// age is the time in seconds since the store last confirmed the configuration.
	age tally.Gauge
}

func newConfigGauges(scope tally.Scope) *configGauges {
	return &configGauges{version: scope.Gauge("config_version"), age: scope.Gauge("config_age_seconds")}
}

// update sets the gauges. Without a configuration or a contact they keep their
// values.
func (c *configGauges) update(table *routetable.Table, watcher *watch.Watcher, now time.Time) {
	if table != nil {
		c.version.Update(float64(table.Version))
	}
	if age, ok := watcher.ContactAge(now); ok {
		c.age.Update(age.Seconds())
	}
}
