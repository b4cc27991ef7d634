// Package cli is the operators' command line: settings, deployments, jobs,
// drain, fleet, state dump and version.
package cli
