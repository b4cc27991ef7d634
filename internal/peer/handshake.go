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
	// that a process that only connects does not hold it.
	handshakeTimeout = 2 * time.Second
	// maxHandshakeFrame bounds the frames before a connection is authenticated:
	// a node id of at most 63 bytes and a challenge or two proofs need less.
	maxHandshakeFrame = 1 << 10
	// SeedPrefix begins the ids of links to addresses whose node id is not
	// known yet.
	SeedPrefix = "seed:"
)

var (
	errNoProof    = errors.New("the peer did not prove that it knows the peer secret")
	errNoSecret   = errors.New("the peer requires a proof and this node has no peer secret")
	errOtherNode  = errors.New("another node answered at the address")
	errNoHello    = errors.New("the peer did not begin with a hello")
	errNoResponse = errors.New("the peer did not answer the challenge; it may have no peer secret")
)

// greet greets the acceptor of a connection, and proves to it and has it prove
// the knowledge of the secret, if there is one. Without a secret it sends the
// hello only and does not wait.
func (t *Transport) greet(conn net.Conn, reader *bufio.Reader, to core.NodeID) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	if len(t.secrets) == 0 {
		return t.writeFrame(conn, &frame{Type: frameHello, Kind: string(t.self)})
	}
	a := &authentication{secrets: t.secrets, dialler: t.self, diallerChallenge: newChallenge()}
	if err := t.writeFrame(conn, &frame{Type: frameHello, Kind: string(t.self), Body: a.diallerChallenge}); err != nil {
		return err
	}
	f, err := readFrame(reader, maxHandshakeFrame)
	if err != nil || f.Type != frameChallenge || len(f.Body) != challengeBytes {
		return errNoResponse
	}
	a.acceptor, a.acceptorChallenge = core.NodeID(f.Kind), f.Body
	if a.acceptor != to && !strings.HasPrefix(string(to), SeedPrefix) {
		return errors.Wrapf(errOtherNode, "expected %s, got %s", to, a.acceptor)
	}
	if err := t.writeFrame(conn, &frame{Type: frameProof, Body: a.proofs(roleDialler)}); err != nil {
		return err
	}
	f, err = readFrame(reader, maxHandshakeFrame)
	if err != nil || f.Type != frameProof || !a.verify(roleAcceptor, f.Body) {
		return errNoProof
	}
	return nil
}

// welcome reads the hello of an accepted connection and returns the dialler's
// id. With a secret the dialler proves first, so that a process that does not
// know the secret gets no proof to test guesses on.
func (t *Transport) welcome(conn net.Conn, reader *bufio.Reader) (core.NodeID, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	hello, err := readFrame(reader, maxHandshakeFrame)
	switch {
	case err != nil:
		return "", err
	case hello.Type != frameHello:
		return "", errNoHello
	case len(t.secrets) == 0 && len(hello.Body) == 0:
		return core.NodeID(hello.Kind), nil
	case len(t.secrets) == 0:
		return "", errNoSecret
	case len(hello.Body) != challengeBytes:
		return "", errNoProof
	}
	a := &authentication{
		secrets: t.secrets, dialler: core.NodeID(hello.Kind), acceptor: t.self,
		diallerChallenge: hello.Body, acceptorChallenge: newChallenge(),
	}
	if err := t.writeFrame(conn, &frame{Type: frameChallenge, Kind: string(t.self), Body: a.acceptorChallenge}); err != nil {
		return "", err
	}
	f, err := readFrame(reader, maxHandshakeFrame)
	if err != nil || f.Type != frameProof || !a.verify(roleDialler, f.Body) {
		return "", errNoProof
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
