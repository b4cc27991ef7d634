package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// The kinds of messages between the holders of reservations and the owners of
// replicas. Deadlines and ages are sent as durations, because the clocks of
// nodes differ.
const (
	// KindReserve is a call by a holder with a ReserveMessage. The owner answers
	// at once with a ReserveResponse.
	KindReserve = "owner.reserve"
	// KindRelease is a one-way ReleaseMessage of a holder.
	KindRelease = "owner.release"
	// KindObserve is a one-way ObserveMessage of a holder.
	KindObserve = "owner.observe"
	// KindRegister is a one-way RegisterMessage of a holder, which lists its
	// reservations on the replicas of one owner.
	KindRegister = "owner.register"
	// KindCheck is a call by a holder with the Summary of all its reservations
	// on the replicas of one owner. The holder sends the list only if the owner's
	// summary differs: at 690 streams the lists alone took 36 KB/s.
	KindCheck = "owner.check"
	// KindEvent is a one-way EventMessage of an owner: granted, expired, evicted,
	// preempted or lost.
	KindEvent = "owner.event"
)

// ReserveMessage requests a slot.
type ReserveMessage struct {
	Replica core.ReplicaID     `msgpack:"r"`
	ID      core.ReservationID `msgpack:"i"`
	Class   core.Class         `msgpack:"c,omitempty"`
	Org     core.Org           `msgpack:"o,omitempty"`
	Tokens  int                `msgpack:"t,omitempty"`
	// Remaining is the time until the work must have started; 0 means no
	// deadline.
	Remaining time.Duration `msgpack:"d,omitempty"`
	// Finish is the time until the work must have ended; 0 means no limit.
	Finish time.Duration `msgpack:"f,omitempty"`
	// Due is the due time of batch work in Unix milliseconds; 0 means none.
	Due    int64 `msgpack:"u,omitempty"`
	NoWait bool  `msgpack:"n,omitempty"`
	// Probe marks a probe of a replica that the holder has ejected.
	Probe bool `msgpack:"p,omitempty"`
}

// ReserveResponse is the immediate response to a ReserveMessage.
type ReserveResponse struct {
	Verdict Verdict       `msgpack:"v"`
	Load    Load          `msgpack:"l"`
	Wait    time.Duration `msgpack:"w,omitempty"`
}

// CheckResponse is the response to a Summary. Matches is set if the owner has
// the same reservations of the holder.
type CheckResponse struct {
	Matches bool `msgpack:"a"`
}

// ReleaseMessage releases a held reservation or cancels a waiting one.
type ReleaseMessage struct {
	Replica core.ReplicaID     `msgpack:"r"`
	ID      core.ReservationID `msgpack:"i"`
	// Completed is set if the work ran to completion.
	Completed bool `msgpack:"c,omitempty"`
	// ProbePassed is set if the work was a probe and was as fast as expected.
	ProbePassed bool          `msgpack:"g,omitempty"`
	Latency     LatencySample `msgpack:"s"`
}

// LatencySample is the latency of a replica that a holder observed in one
// request; 0 means not observed.
type LatencySample struct {
	FirstToken time.Duration `msgpack:"f,omitempty"`
	PerToken   time.Duration `msgpack:"t,omitempty"`
	// Waited is the time after which the holder cancelled the work if no token
	// had arrived by then.
	Waited time.Duration `msgpack:"w,omitempty"`
}

// ObserveMessage reports the time to the first token while the work is running.
// Otherwise a slow replica would be detected only when long work ends.
type ObserveMessage struct {
	Replica core.ReplicaID `msgpack:"r"`
	Latency LatencySample  `msgpack:"s"`
}

// RegisterItem is one reservation in a RegisterMessage.
type RegisterItem struct {
	Replica core.ReplicaID     `msgpack:"r"`
	ID      core.ReservationID `msgpack:"i"`
	Class   core.Class         `msgpack:"c,omitempty"`
	Org     core.Org           `msgpack:"o,omitempty"`
	Tokens  int                `msgpack:"t,omitempty"`
	// Age is the time since the slot was granted.
	Age     time.Duration `msgpack:"a,omitempty"`
	Waiting bool          `msgpack:"w,omitempty"`
}

// RegisterMessage lists a holder's reservations.
type RegisterMessage struct {
	Items []RegisterItem `msgpack:"i"`
	// Complete is set if the list contains all of the holder's reservations on
	// the replicas that the receiver owns in the holder's view. An incomplete
	// list only adds reservations.
	Complete bool `msgpack:"c,omitempty"`
}

// EventMessage notifies a holder of an Event of one of its reservations.
type EventMessage struct {
	Kind EventKind          `msgpack:"k"`
	ID   core.ReservationID `msgpack:"i"`
	Load Load               `msgpack:"l"`
}
