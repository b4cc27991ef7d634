// Package jobs runs batch jobs whose results are listed in the order in which
// their items complete.
//
// A job lies in the table service as one row and one object with its items. The
// row names the owner: the run of a node's process that executes the items. A
// result is one row; its key is the job and the position. A commit writes
// result rows on condition that the job's row is unchanged and that the
// positions are free, so that a former owner cannot commit, no position changes
// and no item stands twice. Any node reads results from the table.
package jobs
