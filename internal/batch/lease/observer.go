package lease

import "time"

// Seen is one lease row as read in a scan.
type Seen struct {
	Session string
	Version uint64
}

// Holder is the judgement of a session.
type Holder struct {
	// Gone means that the session may be taken over.
	Gone bool
	// Version is the version of the lease row that the take-over must delete;
	// 0 if the row is absent.
	Version uint64
}

type sighting struct {
	version uint64
	since   time.Time
}

// Observer remembers since when each lease row is unchanged. It is not safe
// for concurrent use.
type Observer struct {
	length time.Duration
	seen   map[string]sighting
}

// NewObserver returns an Observer that knows no leases.
func NewObserver(length time.Duration) *Observer {
	return &Observer{length: length, seen: make(map[string]sighting)}
}

// Scan takes over the result of a complete scan of the lease rows whose reads
// ended at now.
func (o *Observer) Scan(rows []Seen, now time.Time) {
	next := make(map[string]sighting, len(rows))
	for _, r := range rows {
		s, ok := o.seen[r.Session]
		if !ok || s.version != r.Version {
			s = sighting{version: r.Version, since: now}
		}
		next[r.Session] = s
	}
	o.seen = next
}

// Judge says whether a session may be taken over. The session must have been
// read from a range row before the last scan began: the lease row of a session
// is written before its first claim, so its absence then means its end.
func (o *Observer) Judge(session string, now time.Time) Holder {
	s, ok := o.seen[session]
	if !ok {
		return Holder{Gone: true}
	}
	return Holder{Gone: now.Sub(s.since) >= o.length, Version: s.version}
}

// Abandoned returns the sessions whose rows have been unchanged for several
// lease lengths. They hold no range that anyone took over, since a take-over
// deletes the row.
func (o *Observer) Abandoned(now time.Time) []Seen {
	const lengths = 4
	var out []Seen
	for session, s := range o.seen {
		if now.Sub(s.since) >= lengths*o.length {
			out = append(out, Seen{Session: session, Version: s.version})
		}
	}
	return out
}
