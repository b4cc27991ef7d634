package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Part identifies a part of a prompt that several requests may share, or a whole
// request that may come again.
type Part string

// requestPrefix marks a part that identifies a whole request. No ID of a part of a
// prompt has a colon.
const requestPrefix = "request:"

// RequestPart returns the part that identifies a request by what remains the same when
// it comes again. Other requests do not have it.
func RequestPart(host, method, target string, body []byte) Part {
	digest := sha256.New()
	for _, field := range []string{host, method, target} {
		digest.Write([]byte(field))
		digest.Write([]byte{0})
	}
	digest.Write(body)
	return Part(requestPrefix + hex.EncodeToString(digest.Sum(nil)[:requestDigestBytes]))
}

// isRequest reports whether the part identifies a whole request.
func (p Part) isRequest() bool { return strings.HasPrefix(string(p), requestPrefix) }

const (
	// baseDuration is the length of the first quarantine of a part. It costs at most
	// a few crashes per hour if the part keeps crashing replicas.
	baseDuration = time.Minute
	// maxDuration bounds the length of a quarantine, which doubles in each round.
	maxDuration = time.Hour
	// forgetAfter is how long after its end an entry is kept without a request that
	// could be the trial.
	forgetAfter = 10 * time.Minute
	// requestDigestBytes is the length of the digest of a request. It must not be
	// possible to find another request with the same digest.
	requestDigestBytes = 16
)

// Entry is a part that is, or was, quarantined.
type Entry struct {
	Part Part
	// Round counts the quarantines of the part.
	Round int
	// Crashes is the number of crashes that led to this round.
	Crashes int
	// Until is the end of the quarantine.
	Until time.Time
	// Lifted is set when the part was released in this round.
	Lifted bool
	// By is the node that made the decision.
	By core.NodeID
}

// roundDuration returns the length of a quarantine.
func roundDuration(round int) time.Duration {
	d := baseDuration
	for i := 1; i < round && d < maxDuration; i++ {
		d *= 2
	}
	return min(d, maxDuration)
}

// supersedes reports whether e is newer than o: it belongs to a later round, or it
// lifts the same one. Nodes that merge the same entries in any order agree.
func (e *Entry) supersedes(o *Entry) bool {
	if e.Round != o.Round {
		return e.Round > o.Round
	}
	return e.Lifted && !o.Lifted
}

// active reports whether the part is quarantined. After the end of the quarantine
// that is only so until the trial.
func (e *Entry) active() bool { return !e.Lifted }

// forgotten reports whether the entry need no longer be kept.
func (e *Entry) forgotten(now time.Time) bool { return now.After(e.Until.Add(forgetAfter)) }
