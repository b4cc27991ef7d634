// Package client is a caller of the HTTP API for the demo and the
// measurements. It checks that answers are whole and records when tokens came.
package client
