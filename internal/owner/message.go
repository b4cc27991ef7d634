package owner

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// The kinds of messages between the holders of reservations and the owners of
// replicas. Times travel as durations, because the clocks of nodes differ.
const (
	// KindReserve is a call of a holder; the answer is immediate.
	KindReserve = "owner.reserve"
	// KindRelease is a one-way message of a holder.
	KindRelease = "owner.release"
	// KindObserve is a one-way message of a holder.
	KindObserve = "owner.observe"
	// KindRegister is a one-way message of a holder with all its reservations
	// on the replicas of one owner.
	KindRegister = "owner.register"
	// KindEvent is a one-way message of an owner: granted, expired, evicted,
	// preempted or lost.
	KindEvent = "owner.event"
)

// ReserveMessage asks for a slot.
type ReserveMessage struct {
	Replica core.ReplicaID     `msgpack:"r"`
	ID      core.ReservationID `msgpack:"i"`
	Class   core.Class         `msgpack:"c,omitempty"`
	Org     core.Org           `msgpack:"o,omitempty"`
	Tokens  int                `msgpack:"t,omitempty"`
	// Remaining is the time to the deadline; 0 means no deadline.
	Remaining time.Duration `msgpack:"d,omitempty"`
	// Finish is the time until the work must have ended; 0 means no bound.
	Finish time.Duration `msgpack:"f,omitempty"`
	// Due is in Unix milliseconds; 0 means none.
	Due    int64 `msgpack:"u,omitempty"`
	NoWait bool  `msgpack:"n,omitempty"`
	// Probe marks a test request to a replica that the holder has ejected.
	Probe bool `msgpack:"p,omitempty"`
}

// ReserveAnswer is the immediate answer to ReserveMessage.
type ReserveAnswer struct {
	Verdict Verdict       `msgpack:"v"`
	Load    Load          `msgpack:"l"`
	Wait    time.Duration `msgpack:"w,omitempty"`
}

// ReleaseMessage gives a reservation back or withdraws a waiting one.
type ReleaseMessage struct {
	Replica core.ReplicaID     `msgpack:"r"`
	ID      core.ReservationID `msgpack:"i"`
	// Completed is set if the work ran to its end.
	Completed bool `msgpack:"c,omitempty"`
	// ProbeGood is set if the work was a test request and as fast as expected.
	ProbeGood bool  `msgpack:"g,omitempty"`
	Speed     Speed `msgpack:"s"`
}

// Speed is what a holder observed of a replica; 0 means nothing.
type Speed struct {
	FirstToken time.Duration `msgpack:"f,omitempty"`
	PerToken   time.Duration `msgpack:"t,omitempty"`
	// Waited is how long a holder waited for a first token that did not come
	// before it cancelled the work.
	Waited time.Duration `msgpack:"w,omitempty"`
}

// ObserveMessage reports a first token while the work goes on. Long work would
// otherwise hide for its whole length that the replica is slow.
type ObserveMessage struct {
	Replica core.ReplicaID `msgpack:"r"`
	Speed   Speed          `msgpack:"s"`
}

// RegisterItem is one reservation of a holder.
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
	// Complete is set if the list holds all reservations on the replicas that
	// the holder takes the receiver to own. Otherwise it only adds.
	Complete bool `msgpack:"c,omitempty"`
}

// EventMessage tells a holder what happened to one of its reservations.
type EventMessage struct {
	Kind EventKind          `msgpack:"k"`
	ID   core.ReservationID `msgpack:"i"`
	Load Load               `msgpack:"l"`
}
