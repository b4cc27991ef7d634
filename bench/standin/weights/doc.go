// Package weights is the stand-in for the platform's weight store. It streams model
// weights at a limited total rate.
package weights
