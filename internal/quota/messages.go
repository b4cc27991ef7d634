package quota

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

const (
	// kindAsk is a call from a node to the owner of an organisation in its data centre.
	kindAsk = "quota.ask"
	// kindReturn is a one-way message with which a node gives back what it didn't use.
	kindReturn = "quota.return"
	// kindPass is a call from an owner to one in another data centre.
	kindPass = "quota.pass"
	// kindHandOver is a call with which an owner that stops leaves the next one what it
	// has.
	kindHandOver = "quota.handover"
	// kindProbe is a call to a node that did not answer, or to learn whether any does.
	kindProbe = "quota.probe"
	// kindUse is a call for the ledgers that a node keeps.
	kindUse = "quota.use"
	// kindAnnounce is a call with which a node says that it has started or stops.
	kindAnnounce = "quota.node"
)

// askRequest asks for a lease.
type askRequest struct {
	Org   core.Org `msgpack:"o"`
	Limit Limit    `msgpack:"l"`
	// Needed is the number of requests that wait, and Advance that of those expected.
	Needed  int        `msgpack:"n,omitempty"`
	Advance int        `msgpack:"a,omitempty"`
	Returns []returned `msgpack:"r,omitempty"`
	// Relayed is set if another node that may own the organisation passes the request on.
	Relayed bool `msgpack:"f,omitempty"`
}

// askAnswer answers an askRequest.
type askAnswer struct {
	Granted int `msgpack:"g,omitempty"`
	// Wait is the time until a request that got no lease gets its turn.
	Wait time.Duration `msgpack:"w,omitempty"`
	// Rate is what the ledger may lease, and Use what it has leased lately, in requests a
	// second.
	Rate float64 `msgpack:"p,omitempty"`
	Use  float64 `msgpack:"u,omitempty"`
	// Owner is the node whose ledger has decided.
	Owner core.NodeID `msgpack:"i"`
}

// returnNotice gives back what was not used.
type returnNotice struct {
	Org     core.Org   `msgpack:"o"`
	Returns []returned `msgpack:"r"`
}

// passRequest asks the owner of another data centre for a part of its ledger.
type passRequest struct {
	Org   core.Org `msgpack:"o"`
	Limit Limit    `msgpack:"l"`
	Count float64  `msgpack:"n"`
}

// passAnswer answers a passRequest. The count is no longer in the ledger.
type passAnswer struct {
	Count float64 `msgpack:"n,omitempty"`
}

// announcement says that a node has started or stops.
type announcement struct {
	Node     nodes.Record `msgpack:"n"`
	Stopping bool         `msgpack:"s,omitempty"`
}
