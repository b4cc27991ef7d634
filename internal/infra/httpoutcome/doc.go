// Package httpoutcome maps HTTP responses and transport errors to the errors of
// package infra. All platform services follow one convention: 404 and 409 have a
// JSON body {"error":{"code","message"}}, and 503 and 429 mean that the call was
// refused and nothing was written.
package httpoutcome
