package membership

// Kinds of messages between nodes.
const (
	kindHeartbeat = "member.heartbeat"
	kindDigest    = "member.digest"
)

// heartbeat is sent to every node of the own data centre.
type heartbeat struct {
	From            Identity `msgpack:"f"`
	SettingsVersion uint64   `msgpack:"v"`
	// Status is the state of the replicas that the sender owns, in the
	// directory's encoding.
	Status []byte `msgpack:"s,omitempty"`
}

// heartbeatAnswer is the answer to a heartbeat.
type heartbeatAnswer struct {
	From            Identity `msgpack:"f"`
	SettingsVersion uint64   `msgpack:"v"`
	// ReachesYou says whether the answering node's own heartbeats to the
	// sender were answered lately.
	ReachesYou bool `msgpack:"r"`
}

// digestRequest asks a node of another data centre for its members.
type digestRequest struct {
	From Identity `msgpack:"f"`
}

// digestMember is one member of the answering node's data centre.
type digestMember struct {
	Identity        Identity `msgpack:"i"`
	SettingsVersion uint64   `msgpack:"v"`
}

// digestAnswer lists the present members of the answering node's data centre.
type digestAnswer struct {
	Members []digestMember `msgpack:"m"`
	Status  []byte         `msgpack:"s,omitempty"`
}
