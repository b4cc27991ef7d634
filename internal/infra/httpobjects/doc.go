// Package httpobjects is the adapter to the platform's object store over HTTP.
// The requests are PUT, GET and DELETE /v1/object?key=K; the body of a PUT request
// or GET response is the object.
package httpobjects
