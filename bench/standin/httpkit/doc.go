// Package httpkit holds what the stand-in servers share: strict JSON bodies,
// error answers, commanded faults and seeded randomness.
package httpkit
