// Package httpkit holds the code that the stand-in servers share: strict decoding
// of JSON bodies, error responses, fault plans and seeded randomness.
package httpkit
