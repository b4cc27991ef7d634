// Package metrics makes the metrics scope of a node and its text form.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two reports of the metrics scope.
const reportInterval = 1 * time.Second

// New returns the root scope, the HTTP handler that serves it as text
// and the closer of the scope.
func New() (tally.Scope, http.Handler, io.Closer) {
	registry := client.NewRegistry() // one for each node, so that a process can hold several
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "gentiantide",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
