package platformnode

import (
	"cmp"
	"slices"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/nodes"
	"gentiantide.example/gentiantide/internal/quarantine"
)

const (
	// copyPageBytes bounds the rows of one page of the copies, so that the nodes and the
	// quarantined parts fit beside them.
	copyPageBytes = 256 << 10
	// copyRowBytes is what a row takes in a page besides its key and value, at most.
	copyRowBytes = 128
)

// copyRequest asks a peer for one page of its table copies.
type copyRequest struct {
	// After is Next of the page before, or empty for the first page.
	After string `msgpack:"a,omitempty"`
}

// tableCopy is one page of a node's copies of the tables that it needs for routing.
type tableCopy struct {
	Tables map[string][]infra.VersionedRow `msgpack:"t"`
	// Next is where the next page begins, or empty in the last page.
	Next string `msgpack:"x,omitempty"`
	// Nodes are the nodes that the peer knows, so that a node that starts while the
	// store is away uses the same hubs. Only the first page has them.
	Nodes []nodes.Record `msgpack:"n,omitempty"`
	// Quarantine are the quarantined parts that the peer knows. Only the first page has
	// them.
	Quarantine []quarantine.Notice `msgpack:"q,omitempty"`
	// Crashes are the crashes that the peer knows. Only the first page has them.
	Crashes []byte `msgpack:"c,omitempty"`
}

// copyPosition identifies a row across all tables. Pages follow its order.
func copyPosition(row *infra.VersionedRow) string {
	return row.Table + "\x00" + row.Partition + "\x00" + row.Key
}

// copyPage returns the page of the rows that begins after a position, with at least one
// row if there is one.
func copyPage(rows []infra.VersionedRow, after string) *tableCopy {
	slices.SortFunc(rows, func(a, b infra.VersionedRow) int {
		return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Partition, b.Partition), cmp.Compare(a.Key, b.Key))
	})
	out := &tableCopy{Tables: make(map[string][]infra.VersionedRow)}
	size, last := 0, ""
	for i := range rows {
		row := &rows[i]
		position := copyPosition(row)
		if after != "" && position <= after {
			continue
		}
		size += len(position) + len(row.Value) + copyRowBytes
		if size > copyPageBytes && last != "" {
			out.Next = last
			break
		}
		out.Tables[row.Table] = append(out.Tables[row.Table], *row)
		last = position
	}
	return out
}
