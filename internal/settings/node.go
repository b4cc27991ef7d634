package settings

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Node is one node of the settings tree. It is immutable.
type Node struct {
	// Version is the tree version of the node's last change. It is 0 for a fixed
	// node that was never changed.
	Version uint64
	Values  Values
	// decoded holds the Go values by key. uniqueValues lists the values that no
	// other node may have. Both are computed once, since every snapshot and every
	// check reads them.
	decoded      map[string]any
	uniqueValues []string
}

// newNode returns a node with values in canonical form. Values that were not
// checked before decode to a zero value if they are invalid.
func newNode(version uint64, values Values) *Node {
	n := &Node{Version: version, Values: values, decoded: make(map[string]any, len(values))}
	for key, raw := range values {
		if k, ok := schemaByName[key]; ok {
			n.decoded[key] = k.decode(raw)
		}
	}
	n.uniqueValues = n.findUniqueValues()
	return n
}

// findUniqueValues returns the node's model, route and API key digests, each
// prefixed with its key. Routes that differ only in a trailing slash are equal.
func (n *Node) findUniqueValues() []string {
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

// text returns the string that the node itself sets for a key, or "".
func (n *Node) text(key string) string {
	text, _ := n.decoded[key].(string)
	return text
}

// list returns the list that the node itself sets for a key, or nil.
func (n *Node) list(key string) []string {
	list, _ := n.decoded[key].([]string)
	return list
}

// sum returns the node's checksum, which is part of the tree's checksum.
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
	for _, key := range n.Values.sortedKeys() {
		write(key)
		write(string(n.Values[key]))
	}
	return h.Sum64()
}
