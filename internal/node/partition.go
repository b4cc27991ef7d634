package node

import "gentiantide.example/gentiantide/internal/core"

// BlockPeers makes messages from this node to the nodes for which cut returns
// true fail, as a network cut in that direction would; nil removes the cut.
// Tests of partitions use it.
func (n *Node) BlockPeers(cut func(core.NodeID) bool) { n.transport.Block(cut) }
