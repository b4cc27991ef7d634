package placement

import "gentiantide.example/gentiantide/internal/core"

// waitingRequest is a request of this node that waits for a grant.
type waitingRequest struct {
	hub    core.NodeID
	grants chan grantNotice // holds one
}

// notify passes a notice to the request, unless one is there already.
func (w *waitingRequest) notify(g grantNotice) {
	select {
	case w.grants <- g:
	default:
	}
}
