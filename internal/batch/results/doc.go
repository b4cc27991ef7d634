// Package results encodes result lines and streams the committed results of jobs.
package results
