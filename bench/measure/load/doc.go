// Package load sends calls open loop: the times of arrival are fixed before
// the run by a seeded generator and do not depend on the answers. Latencies
// count from the scheduled arrival, so a caller that is late to send counts as
// waiting time.
package load
