package settings

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Node is one node of the tree. It is immutable.
type Node struct {
	// Version is the tree version of the node's last change, 0 for a fixed
	// node that was never changed.
	Version uint64
	Values  Values
	// typed has the decoded values and identities what only one node may have;
	// both are worked out once, since every snapshot and check reads them.
	typed      map[string]any
	identities []string
}

// newNode makes a node of checked values.
func newNode(version uint64, values Values) *Node {
	n := &Node{Version: version, Values: values, typed: make(map[string]any, len(values))}
	for key, raw := range values {
		if k, ok := schemaByName[key]; ok {
			n.typed[key] = k.decode(raw)
		}
	}
	n.identities = n.findIdentities()
	return n
}

// findIdentities returns the node's model, route and API key digests.
func (n *Node) findIdentities() []string {
	var out []string
	if model := n.text("model"); model != "" {
		out = append(out, "model "+model)
	}
	if route := n.text("route"); route != "" {
		out = append(out, "route "+strings.TrimSuffix(route, "/")+"/")
	}
	for _, digest := range n.list("org.key_sha256") {
		out = append(out, "org.key_sha256 "+digest)
	}
	return out
}

// text returns an own string value, or "".
func (n *Node) text(key string) string {
	text, _ := n.typed[key].(string)
	return text
}

// list returns an own list value.
func (n *Node) list(key string) []string {
	list, _ := n.typed[key].([]string)
	return list
}

// sum is the node's part of the tree's checksum.
func (n *Node) sum(path string) uint64 {
	h := xxhash.New()
	var b [8]byte
	write := func(text string) {
		binary.BigEndian.PutUint64(b[:], uint64(len(text)))
		_, _ = h.Write(b[:])
		_, _ = h.WriteString(text)
	}
	write(path)
	binary.BigEndian.PutUint64(b[:], n.Version)
	_, _ = h.Write(b[:])
	for _, key := range n.Values.names() {
		write(key)
		write(string(n.Values[key]))
	}
	return h.Sum64()
}
