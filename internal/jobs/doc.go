// Package jobs runs batch jobs on the users' platform. The results of a job are
// listed in the order in which its items complete.
//
// A job is stored as one row in the table service and one object that holds its
// items. The row names the job's owner: the node process that executes the
// items, identified by node ID and process lifetime. Each result is one row,
// keyed by job and position. A commit writes result rows on condition that the
// job row is unchanged and that the positions are free. A former owner
// therefore cannot commit, a position never changes, and no item is listed
// twice. Any node can read results from the table.
package jobs
