// Package soak runs nodes as separate processes on stand-ins of the users'
// platform, injects faults from outside them at random, and checks the promises
// to callers and backend servers while it runs. A run is repeated by its seed
// as far as scheduling allows.
package soak
