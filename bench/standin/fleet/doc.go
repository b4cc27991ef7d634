// Package fleet is the stand-in for the platform's fleet list, which shows changes
// only after a lag.
package fleet
