// Package meter counts processor time, memory and calls of the platform.
package meter
