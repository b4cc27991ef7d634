// Package httpweights is the adapter to the platform's weight store:
// GET /stat?model=M&version=V returns {"size": bytes}.
package httpweights
