package streamversion

import (
	"context"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// pendingStream is a stream whose row this node writes.
type pendingStream struct {
	service core.DeploymentID
	key     streamKey
	until   time.Time

	mu sync.Mutex
	// begunClock is when the row was first sent, and untilClock is until, both by the
	// store's clock; 0 before that.
	begunClock, untilClock time.Duration
	// wanted is the version that the row must have. unknown is set if the row must say that
	// the version is not known. writes counts the changes of both.
	wanted  core.SoftwareVersion
	unknown bool
	writes  int
	// row is the version of the row in the store as far as it is known, and 0 if there is
	// none. stored is the value of writes that the row reflects.
	row    uint64
	stored int
	// queued is set while the writer has the stream in its queue or in a transaction.
	queued bool
	// sent is set once a transaction with the row was sent.
	sent bool
	// ended is set when the request has ended and the row is to be deleted at due.
	ended bool
	due   time.Time
	// changed receives a signal when stored changes.
	changed chan struct{}
}

// await returns when the row has the wanted version.
func (p *pendingStream) await(ctx context.Context) error {
	for {
		p.mu.Lock()
		done := p.stored == p.writes
		p.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// confirm notes that the row in the store has the version that was wanted at the given
// count of writes.
func (p *pendingStream) confirm(writes int, row uint64) {
	p.mu.Lock()
	p.stored, p.row = writes, row
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default: // a signal is already pending
	}
}
