// Package httpoutcome maps the outcomes of HTTP calls to the typed errors of
// package platform. The platform's services share one convention: 404 and 409
// carry a JSON body {"error":{"code","message"}}, and 503 and 429 mean that
// the call was refused and nothing was written.
package httpoutcome
