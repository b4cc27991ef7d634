// Package service assembles the batch path of one node: intake, coordinator,
// worker and the HTTP routes.
package service
