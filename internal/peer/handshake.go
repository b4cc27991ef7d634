package peer

import (
	"bufio"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// handshakeTimeout bounds the time until a connection is authenticated, so
	// that a process that connects and sends nothing does not occupy it.
	handshakeTimeout = 2 * time.Second
	// maxHandshakeFrameBytes bounds each frame before a connection is
	// authenticated. A node ID of at most 63 bytes and a challenge, or two
	// proofs, need less.
	maxHandshakeFrameBytes = 1 << 10
	// SeedPrefix is the prefix of the placeholder node IDs of seed addresses,
	// whose node ID is not known yet. The handshake accepts any node ID there.
	SeedPrefix = "seed:"
)

var (
	errProofFailed    = errors.New("peer did not prove knowledge of the peer secret")
	errSecretNotSet   = errors.New("peer requires authentication but this node has no peer secret")
	errNodeIDMismatch = errors.New("another node answered at the address of the peer")
	errHelloExpected  = errors.New("first frame from the peer is not a hello")
	errNoChallenge    = errors.New("peer did not respond to the hello with a challenge; it may have no peer secret")
)

// dialHandshake runs the dialler's side of the handshake. With a secret, both
// sides exchange challenges and prove that they know it. Without a secret it
// sends only the hello and waits for nothing.
func (t *Transport) dialHandshake(conn net.Conn, reader *bufio.Reader, to core.NodeID) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	if len(t.secrets) == 0 {
		return t.writeFrame(conn, &frame{Type: frameHello, Kind: string(t.self)})
	}
	a := &authentication{secrets: t.secrets, dialler: t.self, diallerChallenge: newChallenge()}
	if err := t.writeFrame(conn, &frame{Type: frameHello, Kind: string(t.self), Body: a.diallerChallenge}); err != nil {
		return err
	}
	f, err := readFrame(reader, maxHandshakeFrameBytes)
	if err != nil || f.Type != frameChallenge || len(f.Body) != challengeBytes {
		return errNoChallenge
	}
	a.acceptor, a.acceptorChallenge = core.NodeID(f.Kind), f.Body
	if a.acceptor != to && !strings.HasPrefix(string(to), SeedPrefix) {
		return errors.Wrapf(errNodeIDMismatch, "expected node %s, got %s", to, a.acceptor)
	}
	if err := t.writeFrame(conn, &frame{Type: frameProof, Body: a.proofs(roleDialler)}); err != nil {
		return err
	}
	f, err = readFrame(reader, maxHandshakeFrameBytes)
	if err != nil || f.Type != frameProof || !a.verify(roleAcceptor, f.Body) {
		return errProofFailed
	}
	return nil
}

// acceptHandshake runs the acceptor's side of the handshake and returns the
// dialler's node ID. With a secret the dialler sends its proof first, so that a
// process that does not know the secret gets no proof to test guesses against.
func (t *Transport) acceptHandshake(conn net.Conn, reader *bufio.Reader) (core.NodeID, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	hello, err := readFrame(reader, maxHandshakeFrameBytes)
	switch {
	case err != nil:
		return "", err
	case hello.Type != frameHello:
		return "", errHelloExpected
	case len(t.secrets) == 0 && len(hello.Body) == 0:
		return core.NodeID(hello.Kind), nil
	case len(t.secrets) == 0:
		return "", errSecretNotSet
	case len(hello.Body) != challengeBytes:
		return "", errProofFailed
	}
	a := &authentication{
		secrets: t.secrets, dialler: core.NodeID(hello.Kind), acceptor: t.self,
		diallerChallenge: hello.Body, acceptorChallenge: newChallenge(),
	}
	if err := t.writeFrame(conn, &frame{Type: frameChallenge, Kind: string(t.self), Body: a.acceptorChallenge}); err != nil {
		return "", err
	}
	f, err := readFrame(reader, maxHandshakeFrameBytes)
	if err != nil || f.Type != frameProof || !a.verify(roleDialler, f.Body) {
		return "", errProofFailed
	}
	return a.dialler, t.writeFrame(conn, &frame{Type: frameProof, Body: a.proofs(roleAcceptor)})
}

func (t *Transport) writeFrame(conn net.Conn, f *frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		return err
	}
	n, err := conn.Write(data)
	t.bytesSent.Add(int64(n))
	return err
}
