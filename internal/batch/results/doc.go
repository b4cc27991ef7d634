// Package results forms result lines and reads the committed results of a job.
package results
