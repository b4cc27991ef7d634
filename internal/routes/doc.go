// Package routes holds the operator's routing configuration and finds the route
// of a request. A Table is never changed after it was made.
package routes
