// Package figures holds the measurements. Each runs conditions in turn on one
// fleet, A B A B, so that drift of the machine meets all conditions alike, and
// counts latencies from the scheduled arrivals of an open-loop load.
package figures
