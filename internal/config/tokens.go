package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"

	"gentiantide.example/gentiantide/internal/config/strictjson"
)

// tokenDigests returns the decoder of the digests of the operators' tokens. The
// settings file holds digests instead of tokens, so that reading it gives no
// access.
func tokenDigests(to *[][sha256.Size]byte) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		const expected = "a list of SHA-256 digests of tokens, 64 hexadecimal digits each"
		if n.Kind != strictjson.Array {
			d.reject(n, path, "wrong type: "+string(n.Kind), expected)
			return
		}
		if len(n.Elements) == 0 {
			d.reject(n, path, "the list is empty", expected)
		}
		for _, e := range n.Elements {
			if text, ok := d.text(path, e, expected); ok {
				d.tokenDigest(path, e, text, expected, to)
			}
		}
	}
}

// tokenDigest decodes one digest and appends it to the list.
func (d *decoder) tokenDigest(path string, n *strictjson.Node, text, expected string, to *[][sha256.Size]byte) {
	var digest [sha256.Size]byte
	raw, err := hex.DecodeString(text)
	switch {
	case err != nil || len(raw) != len(digest):
		d.reject(n, path, "value is not a SHA-256 digest", expected)
		return
	case copy(digest[:], raw) > 0 && digest == sha256.Sum256(nil):
		d.reject(n, path, "value is the digest of the empty token", expected)
	case slices.Contains(*to, digest):
		d.reject(n, path, "the digest is already in the list", "each token once")
	}
	*to = append(*to, digest)
}

// checkOperatorAccess rejects an operators' listener that requires no token and
// can be reached from other VMs, unless it is open on purpose. Whoever has access
// to this listener can change every deployment.
func (d *decoder) checkOperatorAccess(root *strictjson.Node, node *Node) {
	o := node.Operators
	if o.Open && len(o.TokenDigests) > 0 {
		d.reject(root.Get("operators").Get("open"), "operators.open", "operators.token_sha256 is set as well", "one of the two")
		return
	}
	address := netip.MustParseAddrPort(node.Listen.Operators).Addr().Unmap()
	if o.Open || len(o.TokenDigests) > 0 || address.IsLoopback() {
		return
	}
	d.reject(root.Get("listen").Get("operators"), "listen.operators",
		"address "+node.Listen.Operators+" can be reached from other VMs and no token is required",
		`a loopback address, or operators.token_sha256, or operators {"open": true}`)
}
