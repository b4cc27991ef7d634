// Package routetable holds the operator's routing configuration and matches requests
// to routes. A Table is immutable.
package routetable
