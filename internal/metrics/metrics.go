// Package metrics creates a node's metrics scope and the HTTP handler that
// exports it in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope passes its values to the
// Prometheus reporter.
const reportInterval = 1 * time.Second

// New returns the root scope, the HTTP handler that exports it and the scope's
// closer, which stops reporting.
func New() (tally.Scope, http.Handler, io.Closer) {
	registry := client.NewRegistry() // one registry per node, so that a process can run several nodes
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "gentiantide",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
