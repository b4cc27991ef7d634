package lease

import "time"

// RowVersion is the version of a lease row as read in a scan.
type RowVersion struct {
	Session string
	Version uint64
}

// SessionStatus says whether the ranges of a session may be taken over.
type SessionStatus struct {
	// Expired means that the lease has expired or its row is absent, so that the
	// ranges may be taken over.
	Expired bool
	// Version is the version of the lease row, which the takeover must delete;
	// 0 if the row is absent.
	Version uint64
}

type observation struct {
	version uint64
	since   time.Time
}

// Observer tracks how long each lease row has been unchanged. It is not safe for
// concurrent use.
type Observer struct {
	leaseDuration time.Duration
	observations  map[string]observation
}

// NewObserver returns an Observer without any observed leases.
func NewObserver(leaseDuration time.Duration) *Observer {
	return &Observer{leaseDuration: leaseDuration, observations: make(map[string]observation)}
}

// Update records the result of a complete scan of the lease rows. The scan ended
// at now.
func (o *Observer) Update(rows []RowVersion, now time.Time) {
	next := make(map[string]observation, len(rows))
	for _, r := range rows {
		s, ok := o.observations[r.Session]
		if !ok || s.version != r.Version {
			s = observation{version: r.Version, since: now}
		}
		next[r.Session] = s
	}
	o.observations = next
}

// Status returns the status of a session. The session must have been read from a
// range row before the last scan began: its lease row is written before its first
// claim, so an absent row then means that the session has ended.
func (o *Observer) Status(session string, now time.Time) SessionStatus {
	s, ok := o.observations[session]
	if !ok {
		return SessionStatus{Expired: true}
	}
	return SessionStatus{Expired: now.Sub(s.since) >= o.leaseDuration, Version: s.version}
}

// LongExpired returns the sessions whose lease rows have been unchanged for
// at least 4 lease durations. None of their ranges was taken over, since a takeover
// deletes the row.
func (o *Observer) LongExpired(now time.Time) []RowVersion {
	const minLeaseDurations = 4
	var out []RowVersion
	for session, s := range o.observations {
		if now.Sub(s.since) >= minLeaseDurations*o.leaseDuration {
			out = append(out, RowVersion{Session: session, Version: s.version})
		}
	}
	return out
}
