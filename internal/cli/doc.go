// Package cli implements the operators' command line: commands for settings,
// deployments, batch jobs, drains, the fleet list, state dumps and versions.
package cli
