// Package httpobjects is the adapter to the platform's object store over HTTP.
// PUT, GET and DELETE /v1/object?key=K carry the object as the body.
package httpobjects
