package node

import "gentiantide.example/gentiantide/internal/core"

// BlockPeers makes messages from this node to the nodes for which isBlocked
// returns true fail. It simulates a network partition in the outgoing direction
// and is for tests. nil ends the partition.
func (n *Node) BlockPeers(isBlocked func(core.NodeID) bool) { n.transport.Block(isBlocked) }
