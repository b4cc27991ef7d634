// Package backend defines the interfaces to the backend servers, which are model
// engines and plain services. Its subpackages openai and plain implement them
// over HTTP.
package backend
