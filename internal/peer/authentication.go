package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	challengeBytes = 32
	proofBytes     = sha256.Size
	// proofContext is part of the authenticated data, so that a proof is not
	// valid in another protocol with the same secret or in a later version of
	// this one.
	proofContext = "gentiantide peer proof 1"
)

// role is the side of a connection. It is part of the authenticated data, so
// that a proof cannot be reflected to its sender as the proof of the other side.
type role byte

const (
	roleDialler role = iota + 1
	roleAcceptor
)

// authentication is the state of the mutual challenge-response authentication
// of one connection: each side proves that it knows a shared secret by an
// HMAC-SHA256 over its role, both node IDs and a random challenge of each side.
//
// It keeps out processes without the secret, both those that connect to a node
// and those that a node connects to, for example at an address that another VM
// had before. It neither encrypts nor signs the frames that follow: an attacker
// who can read the network can read them, and one who can modify the traffic
// between two nodes can take over an authenticated connection. The secret must
// be random, since the proofs allow an offline test of guesses.
//
// TLS is not used because each node would need a certificate and a private key
// that are stored and renewed, and the VMs are stateless and may be replaced at
// any time. A shared secret comes with the settings file of the node.
type authentication struct {
	secrets                             []core.Secret
	dialler, acceptor                   core.NodeID
	diallerChallenge, acceptorChallenge []byte
}

func newChallenge() []byte {
	challenge := make([]byte, challengeBytes)
	_, _ = rand.Read(challenge) // never returns an error, see crypto/rand
	return challenge
}

// proofs returns the concatenated proofs of a side, one for each secret. During
// a rotation of the secret the other side may know only one of them.
func (a *authentication) proofs(r role) []byte {
	out := make([]byte, 0, len(a.secrets)*proofBytes)
	for _, secret := range a.secrets {
		out = append(out, a.proof(secret, r)...)
	}
	return out
}

func (a *authentication) proof(secret core.Secret, r role) []byte {
	mac := hmac.New(sha256.New, secret.Reveal())
	for _, part := range [][]byte{
		[]byte(proofContext), {byte(r)}, []byte(a.dialler), []byte(a.acceptor), a.diallerChallenge, a.acceptorChallenge,
	} {
		// The length prefix makes the encoding of the parts unambiguous.
		_, _ = mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

// verify reports whether at least one of the concatenated proofs of a side is
// valid for one of the secrets.
func (a *authentication) verify(r role, proofs []byte) bool {
	valid := false
	for _, secret := range a.secrets {
		want := a.proof(secret, r)
		for rest := proofs; len(rest) >= proofBytes; rest = rest[proofBytes:] {
			valid = hmac.Equal(want, rest[:proofBytes]) || valid
		}
	}
	return valid
}
