// Package retention deletes durable state that is no longer needed: intent
// rows, old entries of the settings log, ended jobs with their ranges and
// results, and files that no job uses, abandoned uploads included. The times
// are in the settings (retention.*).
//
// # Sweeps
//
// Each key prefix has one soft owner among the live nodes. The owner reads the
// prefix page by page and deletes what the functions in decide.go, which do no
// I/O, find to be past its retention. Every deletion of a row is conditional on
// the version that was read, so a row that changed in the meantime (an intent
// taken over, a file used again) is kept. If there are two owners for a short
// time, they only do the same work twice. After an outage, a lost response or
// the loss of the owner, the next sweep completes the work. Lease and permit
// rows are deleted by their own services; the index row of a job is deleted
// when the job ends.
//
// # Order of deletion
//
// A job is first marked as expired. From then on requests for its results are
// refused, and a resend of its key returns the expired job. Then the result
// segments of each range are deleted, and after them the range row, which is
// needed to find the segments. The last transaction deletes the job row and
// releases the input file; if no other job uses the file and nothing has used
// it for retention.jobs, that transaction marks the file as expired. Only after
// that does the key create a new job. A job that has not ended is never deleted.
//
// A file is marked as expired, then its parts are deleted, then its row. Object
// names are unique to an upload and to a job row, so a deletion that takes
// effect late, or by an owner that was paused, cannot delete the objects of a
// later file or job with the same key. For the same reason range rows are
// deleted on condition of the version of the job row.
//
// Objects cannot be listed. An uncommitted segment of a fenced holder is found
// because it can only have the number after the last committed one of its
// epoch. Objects that a holder or an upload writes after its retention has
// passed are never deleted.
//
// # At most once
//
// An intent in state "sent" is kept as long as the others. Once it is deleted, a
// resend of the key runs the call again, and a call whose outcome was unknown
// may then run a second time. So the guarantee of at most one run holds for
// resends within retention.intents of the last write of the row. A call ends
// within online.deadline, at most 1 h, and the shortest retention.intents is
// 2 h, so a row is never deleted while its call runs. The default of 24 h is far
// longer than automatic resends continue. docs/OPERATIONS.md tells callers not
// to resend later.
//
// # Rate
//
// There are four prefixes. The owner of each does at most 15 table operations
// per second (rows deleted or changed, and reads) and 30 object operations per
// second, and reads a page of 100 rows at most every 10 s. In the whole fleet
// that is at most 60 table operations and 60 object operations per second (only
// jobs and files have objects), of the several hundred writes and 2,000 reads
// per second that the platform supports.
//
// At the size that the system is designed for:
//
//   - Jobs: 10,000 a day with 110,000 ranges (4,000 items on average, 8 small
//     ranges and 3 large ones). A job costs about 17 table operations and 11 to
//     22 object operations, 1.9 s; 10,000 take 5.2 h. 300,000 rows of 30 days
//     are 3,000 pages, 8.3 h. A sweep that deletes a day's jobs takes 13.5 h.
//   - Files: the same number of rows, 11 objects and 1 or 2 row operations each:
//     1.4 h for the deletions and 8.3 h for the reads.
//   - Intents: 100,000 a day, 1.9 h for the deletions, and 2.8 h to read as many
//     rows.
//   - Settings log: 5,000 a day, 6 min; the sweep ends at the first entry that
//     is kept.
//
// Each takes less than 24 h, so the sweeps keep up, and a row is deleted at most
// two sweeps after its retention has passed. A page of 100 rows of up to 1 KB
// every 10 s is 10 KB/s at the owner of a prefix, and nothing elsewhere.
package retention
