// Package worker claims ranges, executes their items and commits the results.
//
// If a write of a range row fails, the worker drops the range. Only the row, not
// the worker's memory, says which results are committed; the next holder runs the
// items that have none.
package worker
