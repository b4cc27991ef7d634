// Package workload contains sample requests modelled on the work of the two user
// organisations. It builds online requests and batch files from them.
package workload
