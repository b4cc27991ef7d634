// Package worker claims ranges, executes their items and commits the results.
//
// A write of a range row that does not succeed makes the worker drop the
// range: the row, not the worker's memory, says what was committed, and the
// next holder runs the items without a committed result.
package worker
