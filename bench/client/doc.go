// Package client is a client of the HTTP API for the demo and the measurements. It
// checks that responses are complete and records when tokens arrive.
package client
