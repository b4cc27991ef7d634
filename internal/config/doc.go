// Package config reads the settings file of a node: its name, its place, its
// addresses and those of the platform. What operators manage is in the
// settings tree instead.
package config
