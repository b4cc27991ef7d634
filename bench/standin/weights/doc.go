// Package weights is the stand-in of the platform's weight store: byte streams
// of model weights whose total rate is limited.
package weights
