// Package config reads the settings file of a node: its ID and location, its
// listen addresses and the URLs of the platform's services. Settings that
// operators change at run time are in the settings tree instead.
package config
