package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// tokenDigests reads the digests of the operators' tokens. The file holds no
// token, so that reading it gives no access.
func tokenDigests(to *[][sha256.Size]byte) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		const expected = "a list of SHA-256 digests of tokens, 64 hexadecimal digits each"
		if n.Kind != strictjson.Array {
			d.refuse(n, path, "wrong type: "+string(n.Kind), expected)
			return
		}
		if len(n.Elements) == 0 {
			d.refuse(n, path, "the list is empty", expected)
		}
		for _, e := range n.Elements {
			if text, ok := d.text(path, e, expected); ok {
				d.tokenDigest(path, e, text, expected, to)
			}
		}
	}
}

func (d *decoder) tokenDigest(path string, n *strictjson.Node, text, expected string, to *[][sha256.Size]byte) {
	var digest [sha256.Size]byte
	raw, err := hex.DecodeString(text)
	switch {
	case err != nil || len(raw) != len(digest):
		d.refuse(n, path, "value is not a SHA-256 digest", expected)
		return
	case copy(digest[:], raw) > 0 && digest == sha256.Sum256(nil):
		d.refuse(n, path, "value is the digest of the empty token", expected)
	case slices.Contains(*to, digest):
		d.refuse(n, path, "the digest is already in the list", "each token once")
	}
	*to = append(*to, digest)
}

// guarded checks that the operators' listener asks for a token or cannot be
// reached from another VM: whoever reaches it can change every deployment.
func (d *decoder) guarded(root *strictjson.Node, node *Node) {
	o := node.Operators
	if o.Open && len(o.TokenDigests) > 0 {
		d.refuse(root.Get("operators").Get("open"), "operators.open", "operators.token_sha256 is set as well", "one of the two")
		return
	}
	address := netip.MustParseAddrPort(node.Listen.Operators).Addr().Unmap()
	if o.Open || len(o.TokenDigests) > 0 || address.IsLoopback() {
		return
	}
	d.refuse(root.Get("listen").Get("operators"), "listen.operators",
		"address "+node.Listen.Operators+" can be reached from other VMs and no token is required",
		`a loopback address, or operators.token_sha256, or operators {"open": true}`)
}
