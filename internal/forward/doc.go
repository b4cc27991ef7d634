// Package forward is the reverse proxy for callers' requests. It reads a request
// completely, matches it to a route, sends it to a replica, retries it at other
// replicas if the route permits that, and resumes interrupted streams.
package forward
