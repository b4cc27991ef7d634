// Package promptcache estimates which parts of prompts the replicas keep in memory,
// from the requests that were sent to them. It depends only on its inputs.
package promptcache
