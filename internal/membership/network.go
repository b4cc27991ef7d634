package membership

import (
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
)

// Network is what the service needs of the transport between nodes.
type Network interface {
	peer.Messenger
	SetAddress(node core.NodeID, address string)
	Forget(node core.NodeID)
}
