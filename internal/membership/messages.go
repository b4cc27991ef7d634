package membership

// Message kinds.
const (
	kindHeartbeat = "member.heartbeat"
	kindDigest    = "member.digest"
)

// heartbeat is sent to every other node of the sender's data centre, and to seed
// addresses.
type heartbeat struct {
	From            Identity `msgpack:"f"`
	SettingsVersion uint64   `msgpack:"v"`
	// Status is the status of the replicas that the sender owns, as encoded by
	// package directory.
	Status []byte `msgpack:"s,omitempty"`
}

// heartbeatResponse is the response to a heartbeat.
type heartbeatResponse struct {
	From            Identity `msgpack:"f"`
	SettingsVersion uint64   `msgpack:"v"`
	// ReachesSender is whether the sender of the heartbeat recently responded to a
	// heartbeat of the responding node.
	ReachesSender bool `msgpack:"r"`
}

// digestRequest asks a node of another data centre for the members of its data
// centre.
type digestRequest struct {
	From Identity `msgpack:"f"`
}

// digestMember is one member of the responding node's data centre.
type digestMember struct {
	Identity        Identity `msgpack:"i"`
	SettingsVersion uint64   `msgpack:"v"`
}

// digestResponse lists the live and leaving members of the responding node's data
// centre.
type digestResponse struct {
	Members []digestMember `msgpack:"m"`
	// Status is the status of all replicas of the data centre, as encoded by
	// package directory.
	Status []byte `msgpack:"s,omitempty"`
}
