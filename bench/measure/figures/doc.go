// Package figures implements the measurements. Each alternates its conditions on one
// fleet, A B A B, so that drift of the machine affects all conditions equally.
// Latencies count from the scheduled arrivals of an open-loop load.
package figures
