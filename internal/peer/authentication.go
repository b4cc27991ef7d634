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
	// proofContext keeps a proof from being valid in another protocol that uses
	// the same secret, or in a later version of this one.
	proofContext = "gentiantide peer proof 1"
)

// role is the side of a connection. It is part of a proof, so that a proof
// that one side sent cannot be sent back to it as the other side's.
type role byte

const (
	roleDialler role = iota + 1
	roleAcceptor
)

// authentication is the state of the challenge-response of one connection:
// both sides prove with HMAC-SHA256 over both node ids and a random challenge
// of each side that they know a common secret.
//
// It protects against processes without the secret that connect to a node, or
// that a node connects to, for example at an address that another VM had
// before. It neither encrypts nor signs the frames that follow: whoever can
// read the network reads them, and whoever can change the traffic between two
// nodes can take over a connection after its proofs. The secret must be random,
// since the proofs allow guesses to be tested.
//
// TLS is not used because each node would need a certificate and a private key
// that are kept and renewed on VMs that keep nothing and may be replaced at any
// time; a secret that is the same for all nodes comes with the settings file.
type authentication struct {
	secrets                             []core.Secret
	dialler, acceptor                   core.NodeID
	diallerChallenge, acceptorChallenge []byte
}

func newChallenge() []byte {
	challenge := make([]byte, challengeBytes)
	_, _ = rand.Read(challenge) // never fails, see crypto/rand
	return challenge
}

// proofs returns the proof of a side for each secret. While the secret is
// rotated, one of them is known to the other side.
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
		// Lengths keep two lists of parts from having the same bytes.
		_, _ = mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		_, _ = mac.Write(part)
	}
	return mac.Sum(nil)
}

// verify reports whether one of the proofs that a side sent is valid.
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
