package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/wire"
)

const (
	// dialTimeout bounds connection set-up, which takes about two one-way delays of
	// 1 ms within a region. A longer one would keep a node from another for that
	// long after a partition has healed.
	dialTimeout = 300 * time.Millisecond
	// redialDelay is the delay between a failed dial or a lost connection and the
	// next dial, so that a node does not dial an unreachable peer for every
	// message. It is also the delay after a failed accept.
	redialDelay = 200 * time.Millisecond
	// writeTimeout bounds a write to a connection; a connection whose peer has
	// stopped reading is closed.
	writeTimeout = 2 * time.Second
	// sendQueueFrames is the length of the send queue of a link. Further frames
	// are dropped, so that a slow peer uses a bounded amount of memory.
	sendQueueFrames = 1024
)

// Transport implements Messenger over TCP.
type Transport struct {
	self core.NodeID
	log  *slog.Logger

	handlers map[string]Handler
	secrets  []core.Secret
	// containPanics is set by ContainPanics.
	containPanics bool

	mu        sync.Mutex
	links     map[core.NodeID]*link
	listener  net.Listener
	accepted  map[net.Conn]struct{}
	closed    bool
	baseCtx   context.Context
	cancel    context.CancelFunc
	serving   sync.WaitGroup
	bytesSent atomic.Int64
	bytesRead atomic.Int64
	blocked   atomic.Pointer[func(core.NodeID) bool]
}

// New returns a transport for the node self. All handlers must be registered
// before Start.
func New(self core.NodeID, log *slog.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		self:     self,
		log:      log,
		handlers: make(map[string]Handler),
		links:    make(map[core.NodeID]*link),
		accepted: make(map[net.Conn]struct{}),
		baseCtx:  ctx,
		cancel:   cancel,
	}
}

// SetSecrets makes the transport use only connections, in both directions, whose
// other side proves that it knows one of the secrets; see authentication. It must
// be called before Start and SetAddress. Without secrets connections are not
// authenticated.
func (t *Transport) SetSecrets(secrets []core.Secret) { t.secrets = secrets }

// Self implements Messenger.
func (t *Transport) Self() core.NodeID { return t.self }

// Handle implements Messenger.
func (t *Transport) Handle(kind string, handler Handler) { t.handlers[kind] = handler }

// Start accepts and serves connections from other nodes on the listener until
// Close.
func (t *Transport) Start(listener net.Listener) {
	t.mu.Lock()
	t.listener = listener
	t.mu.Unlock()
	t.serving.Add(1)
	go t.acceptLoop(listener)
}

// SetAddress sets the address, IP and port, of a node's peer listener. A change
// closes the connection to the previous address.
func (t *Transport) SetAddress(node core.NodeID, address string) {
	if node == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.links[node]; ok {
		if l.address == address {
			return
		}
		l.close()
	}
	t.links[node] = newLink(t, node, address)
}

// Forget closes the connection to a node and removes its address.
func (t *Transport) Forget(node core.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.links[node]; ok {
		l.close()
		delete(t.links, node)
	}
}

// Block makes messages to the nodes for which isBlocked returns true fail. It
// simulates a network partition in the outgoing direction and is for tests. nil
// ends the partition.
func (t *Transport) Block(isBlocked func(core.NodeID) bool) {
	if isBlocked == nil {
		t.blocked.Store(nil)
		return
	}
	t.blocked.Store(&isBlocked)
}

// Call implements Messenger.
func (t *Transport) Call(ctx context.Context, to core.NodeID, kind string, req, resp any) error {
	body, err := msgpack.Marshal(req)
	if err != nil {
		return errors.Wrapf(err, "encode request of kind %s", kind)
	}
	var response []byte
	if to == t.self {
		response, err = t.callLocal(ctx, kind, body)
	} else {
		response, err = t.callRemote(ctx, to, kind, body)
	}
	if err != nil || resp == nil {
		return err
	}
	if len(response) == 1 && response[0] == msgpcode.Nil { // would leave resp as it is
		return errors.Errorf("response to request of kind %s is nil", kind)
	}
	return errors.Wrapf(wire.Unmarshal(response, resp), "decode response to request of kind %s", kind)
}

func (t *Transport) callLocal(ctx context.Context, kind string, body []byte) ([]byte, error) {
	response, err := t.invoke(ctx, t.self, kind, body)
	if err != nil {
		return nil, &RemoteError{Message: err.Error()}
	}
	return response, nil
}

// ContainPanics makes a panic of a handler fail its message only. All handlers must
// release their locks and drop incomplete changes by deferred calls. It must be called
// before Start.
func (t *Transport) ContainPanics() { t.containPanics = true }

// invoke passes a message to its handler.
func (t *Transport) invoke(ctx context.Context, from core.NodeID, kind string, body []byte) (response []byte, err error) {
	handler, ok := t.handlers[kind]
	if !ok {
		return nil, errors.New("unknown message kind " + kind)
	}
	if len(body) > 0 {
		if err := wire.Check(body); err != nil {
			return nil, errors.Wrapf(err, "body of a message of kind %s", kind)
		}
	}
	if t.containPanics {
		defer contain.Error(t.log, "message", kind+" from "+string(from), &err)
	}
	return handler(ctx, from, body)
}

func (t *Transport) callRemote(ctx context.Context, to core.NodeID, kind string, body []byte) ([]byte, error) {
	l := t.link(to)
	if l == nil {
		return nil, ErrUnavailable
	}
	return l.call(ctx, kind, body)
}

// Send implements Messenger.
func (t *Transport) Send(to core.NodeID, kind string, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return errors.Wrapf(err, "encode message of kind %s", kind)
	}
	if to == t.self {
		go func() {
			if _, err := t.callLocal(t.baseCtx, kind, body); err != nil {
				t.log.Warn("handling a message to this node itself failed", "kind", kind, "error", err)
			}
		}()
		return nil
	}
	l := t.link(to)
	if l == nil {
		return ErrUnavailable
	}
	return l.send(&frame{Type: frameOneWay, Kind: kind, Body: body})
}

// link returns the link to a node, or nil if its address is unknown or messages
// to it are blocked.
func (t *Transport) link(to core.NodeID) *link {
	if isBlocked := t.blocked.Load(); isBlocked != nil && (*isBlocked)(to) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[to]
}

// Traffic returns the total bytes sent and received, without TCP/IP headers.
func (t *Transport) Traffic() (sent, received int64) {
	return t.bytesSent.Load(), t.bytesRead.Load()
}

// Close closes the listener and all connections, cancels the context of the
// handlers and waits until they return.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	if t.listener != nil {
		_ = t.listener.Close()
	}
	for _, l := range t.links {
		l.close()
	}
	for conn := range t.accepted {
		_ = conn.Close()
	}
	t.mu.Unlock()
	t.cancel()
	t.serving.Wait()
}
