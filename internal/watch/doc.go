// Package watch keeps a node's copy of a table up to date: it reads the table
// once, follows its changes, and reads it again when the history is lost.
package watch
