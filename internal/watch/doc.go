// Package watch keeps a node's copy of a table up to date: it reads the table
// once, follows its change feed, and reads the table again when the feed no
// longer reaches back to the known version.
package watch
