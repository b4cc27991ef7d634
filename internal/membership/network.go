package membership

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
)

// Network is the part of the transport between nodes that the service uses; see
// peer.Transport.
type Network interface {
	peer.Messenger
	// SetAddress sets the address of a node's peer listener.
	SetAddress(node core.NodeID, address string)
	// Forget closes the connection to a node and removes its address.
	Forget(node core.NodeID)
}
