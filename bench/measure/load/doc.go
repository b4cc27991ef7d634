// Package load generates open-loop load: a seeded generator fixes the arrival times
// before the run, and they do not depend on the responses. Latencies count from the
// scheduled arrival, so the delay of a call that is sent late is part of its
// latency.
package load
