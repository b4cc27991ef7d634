// Package retention deletes durable state that is no longer needed: intent
// rows, old entries of the settings log, ended jobs with their ranges and
// results, and files that no job uses, abandoned uploads included. The times
// are in the settings (retention.*).
//
// # Sweeps
//
// Each key prefix has one soft owner among the live nodes. It reads the prefix
// page by page and deletes what the pure decisions in decide.go call outdated.
// Every deletion of a row is conditional on the row version that was judged,
// so that a row that changed meanwhile (an intent taken over, a file used
// again) stays. Two owners for a moment only do the same work twice. After an
// outage, a lost answer or the loss of the owner, the next sweep does what is
// left. Leases and the rows of permits have their own owners and are not
// touched here; the index row of a job is deleted when the job ends.
//
// # Order of deletion
//
// A job is first marked as expired. From then on its results are refused and
// a resend of its key is answered with the expired job. Then each range loses
// its result segments and after that its row; the segments to delete can be
// told from the row until then. The last transaction deletes the job row and
// gives the input file up; if no other job uses the file and nothing has used
// it for retention.jobs, that transaction marks the file as expired. A key is
// a new job only after that. A job that has not ended is never touched.
//
// A file is marked as expired, its parts are deleted, then its row. Object
// names are unique to an upload and to a job row, so that a deletion that takes
// effect late, or by an owner that was paused, cannot hit the objects of a
// later file or job with the same key. For the same reason range rows are
// deleted on condition of the version of the job row.
//
// Objects cannot be listed; a fenced holder's garbage segment is found because
// it can only have the number after the last committed one of its epoch. What a
// holder or an upload writes later than its retention stays as garbage.
//
// # At most once
//
// An intent in state "sent" is kept as long as the others. Once it is gone, a
// resend of the key runs the call again, and a call whose outcome was unknown
// may then run a second time. So the promise of at most one run holds for
// resends within retention.intents of the last write of the row. A call ends
// within online.deadline, at most 1 h, and the shortest retention.intents is
// 2 h: a row is never deleted while its call runs. The default of 24 h is far
// longer than automatic resends go on. That a caller must not resend later
// stands in docs/OPERATIONS.md.
//
// # Rate
//
// There are four prefixes. The owner of each does at most 15 table operations a
// second (rows deleted or changed, and reads) and 30 object operations a
// second, and reads a page of 100 rows at most every 10 s. In the whole fleet
// that is at most 60 table operations and 60 object operations a second (only
// jobs and files have objects), of several hundred writes and 2,000 reads a
// second that the platform bears.
//
// At the design size:
//
//   - Jobs: 10,000 a day with 110,000 ranges (4,000 items on average, 8 small
//     ranges and 3 large ones). A job costs about 17 table operations and 11 to
//     22 object operations, 1.9 s; 10,000 take 5.2 h. 300,000 rows of 30 days
//     are 3,000 pages, 8.3 h. A sweep that deletes a day's jobs takes 13.5 h.
//   - Files: the same number of rows, 11 objects and 1 or 2 rows each: 1.4 h
//     and 8.3 h.
//   - Intents: 100,000 a day, 1.9 h, and as many rows to read, 2.8 h.
//   - Settings log: 5,000 a day, 6 min; the sweep ends at the first entry that
//     is kept.
//
// Each is below 24 h, so the sweeps keep up, and a row is deleted at most two
// sweeps after its time. A page of 100 rows of up to 1 KB every 10 s is 10 KB/s
// at the owner of a prefix, and nothing elsewhere.
package retention
