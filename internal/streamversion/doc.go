// Package streamversion finds the software version at which a stream of events began,
// for a caller that takes the stream up at a node that does not know it.
//
// Replicas of several versions of one service may serve side by side, and what two
// versions write does not fit together. Each service therefore has a row in the store
// with its versions: the base version, and the others that streams may have begun at.
// A stream that begins at the base version is written down nowhere. One that begins at
// another version has a row of its own before its first event reaches the caller. So a
// stream without a row began at the base version.
//
// The base version changes only after it had no registered replica for longer than any
// stream lives, see maintainer.
package streamversion
