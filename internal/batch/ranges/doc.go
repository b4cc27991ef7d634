// Package ranges holds the decisions about ranges and their items as pure
// functions: which range to hand out, which item to start, when to write what,
// and what the outcome of an execution means. They read no clock and do no I/O.
package ranges
