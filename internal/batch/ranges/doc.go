// Package ranges implements the decisions about ranges and their items as pure
// functions: which range to offer, which item to start, what to write to a range
// row and when, and what follows the execution of an item. They read no clock and
// do no I/O.
package ranges
