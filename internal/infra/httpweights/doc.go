// Package httpweights is the adapter to the platform's weight store:
// GET /stat?model=M&version=V answers {"size": bytes}.
package httpweights
