package quarantine

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// kindReport is a call from a node to a hub: a run may have crashed a replica.
	kindReport = "quarantine.report"
	// kindSilence is a call from a node to a hub: a replica has fallen silent.
	kindSilence = "quarantine.silence"
	// kindWitness is a call from a hub to all nodes: it asks whether runs with some
	// parts have proved harmless.
	kindWitness = "quarantine.witness"
	// kindReach is a call to a node: it asks whether a replica answers that node.
	kindReach = "quarantine.reach"
	// kindEntries is a call to all nodes that passes entries on.
	kindEntries = "quarantine.entries"
)

// report names a run that was at a replica when it crashed.
type report struct {
	Service core.DeploymentID `msgpack:"s"`
	Replica core.ReplicaID    `msgpack:"r"`
	// Started tells the processes of the replica apart, as in its registration.
	Started int64  `msgpack:"i,omitempty"`
	Parts   []Part `msgpack:"p"`
	// Silent is set if the replica fell silent, and Age is the time since it was noticed.
	Silent bool          `msgpack:"l,omitempty"`
	Age    time.Duration `msgpack:"a,omitempty"`
	// Copy is set if another hub has taken the report and decides.
	Copy bool `msgpack:"y,omitempty"`
	// Trials are the entries of the parts of which the run was the trial.
	Trials []Notice `msgpack:"t,omitempty"`
}

// reachRequest asks whether a process of a replica answers.
type reachRequest struct {
	Replica core.ReplicaID `msgpack:"r"`
	Started int64          `msgpack:"i,omitempty"`
}

// reachResponse says whether the replica answers or gives no sign of life. Neither is set
// if the node does not know the process.
type reachResponse struct {
	Answers bool `msgpack:"a,omitempty"`
	Silent  bool `msgpack:"l,omitempty"`
}

// witnessRequest asks when runs with the parts last proved harmless.
type witnessRequest struct {
	Parts []Part `msgpack:"p"`
}

// witnessResponse holds for each part the time since the latest harmless run with it
// began, or a negative time if there was none, and the same for any part.
type witnessResponse struct {
	Ages []time.Duration `msgpack:"a"`
	Any  time.Duration   `msgpack:"n"`
}

// Notice is an entry in a message. The end of the quarantine is given as a duration
// because the clocks of nodes differ.
type Notice struct {
	Part      Part          `msgpack:"p"`
	Round     int           `msgpack:"r"`
	Crashes   int           `msgpack:"c"`
	Remaining time.Duration `msgpack:"u"`
	Lifted    bool          `msgpack:"l,omitempty"`
	By        core.NodeID   `msgpack:"b"`
}

func newNotice(e *Entry, now time.Time) Notice {
	return Notice{Part: e.Part, Round: e.Round, Crashes: e.Crashes, Remaining: e.Until.Sub(now), Lifted: e.Lifted, By: e.By}
}

func (n *Notice) entry(now time.Time) Entry {
	return Entry{Part: n.Part, Round: n.Round, Crashes: n.Crashes, Until: now.Add(n.Remaining), Lifted: n.Lifted, By: n.By}
}
