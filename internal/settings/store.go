package settings

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

// Rows of the table service.
const (
	headKey    = "settings/head"
	nodePrefix = "settings/node"
	logPrefix  = "settings/log/"
)

// tableTimeout bounds one call to the table service.
const tableTimeout = 2 * time.Second

// logKey pads the version so that keys sort by version.
func logKey(version uint64) string { return fmt.Sprintf("%s%020d", logPrefix, version) }

func nodeKey(path string) string { return nodePrefix + path }

// head is the newest version and the checksum of its tree.
type head struct {
	Version uint64 `msgpack:"v"`
	Sum     uint64 `msgpack:"c"`
}

// store reads and writes the rows of the settings tree.
type store struct {
	table    infra.Table
	scanPage int // rows per scan
}

// head reads the head row and its row version; an absent row is version 0.
func (s *store) head(ctx context.Context) (head, uint64, error) {
	row, err := s.get(ctx, headKey)
	if err != nil || row.Version == 0 {
		return head{}, 0, err
	}
	var h head
	if err := msgpack.Unmarshal(row.Value, &h); err != nil {
		return head{}, 0, errors.Wrap(err, "settings: head row")
	}
	return h, row.Version, nil
}

// get reads a row; an absent row has version 0.
func (s *store) get(ctx context.Context, key string) (infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := s.table.Get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) {
		return infra.Row{Key: key}, nil
	}
	return row, err
}

func (s *store) scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return s.table.Scan(ctx, prefix, after, limit)
}

// node reads a node's version and its row version, both 0 if it is absent.
func (s *store) node(ctx context.Context, path string) (version, rowVersion uint64, err error) {
	row, err := s.get(ctx, nodeKey(path))
	if err != nil || row.Version == 0 {
		return 0, 0, err
	}
	var image nodeImage
	if err := msgpack.Unmarshal(row.Value, &image); err != nil {
		return 0, 0, errors.Wrapf(err, "settings: node row %s", path)
	}
	return image.Version, row.Version, nil
}

// entry reads one log entry; ok is false if the row is absent.
func (s *store) entry(ctx context.Context, version uint64) (e Entry, ok bool, err error) {
	row, err := s.get(ctx, logKey(version))
	if err != nil || row.Version == 0 {
		return Entry{}, false, err
	}
	if err := msgpack.Unmarshal(row.Value, &e); err != nil {
		return Entry{}, false, errors.Wrapf(err, "settings: log row %d", version)
	}
	return e, true, nil
}

// entries reads the log entries after a version, oldest first.
func (s *store) entries(ctx context.Context, after uint64, limit int) ([]Entry, error) {
	rows, err := s.scan(ctx, logPrefix, logKey(after), limit)
	if err != nil {
		return nil, err
	}
	out := make([]Entry, len(rows))
	for i, row := range rows {
		if err := msgpack.Unmarshal(row.Value, &out[i]); err != nil {
			return nil, errors.Wrapf(err, "settings: row %s", row.Key)
		}
	}
	return out, nil
}

// whole reads all nodes. The pages are read at different times: the tree is
// that of the head that was read last, after the log entries in between were
// applied, and its checksum tells whether the reads fit together.
func (s *store) whole(ctx context.Context) (*Tree, error) {
	before, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	nodes, err := s.nodes(ctx)
	if err != nil {
		return nil, err
	}
	after, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	if after.Version < before.Version {
		return nil, errors.New("settings: the table service answered with an old head")
	}
	tree := newTree(after.Version, nodes)
	if after.Version > before.Version {
		if err := s.replay(ctx, tree, before.Version, after.Version); err != nil {
			return nil, err
		}
	}
	return tree, tree.check(after.Sum)
}

func (s *store) nodes(ctx context.Context) ([]nodeImage, error) {
	var out []nodeImage
	after := ""
	for {
		rows, err := s.scan(ctx, nodePrefix, after, s.scanPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			image := nodeImage{}
			if err := msgpack.Unmarshal(row.Value, &image); err != nil {
				return nil, errors.Wrapf(err, "settings: row %s", row.Key)
			}
			image.Path = row.Key[len(nodePrefix):]
			out = append(out, image)
		}
		if len(rows) < s.scanPage {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// replay puts the nodes of the log entries (from, to] into a tree.
func (s *store) replay(ctx context.Context, tree *Tree, from, to uint64) error {
	for from < to {
		entries, err := s.entries(ctx, from, s.scanPage)
		if err != nil {
			return err
		}
		if len(entries) == 0 {
			return errors.Errorf("settings: log entry %d is missing", from+1)
		}
		for _, e := range entries {
			if e.Version > to {
				return nil
			}
			var node *Node
			if !e.Deleted {
				node = newNode(e.Version, e.Values.clone())
			}
			tree.put(e.Path, node)
			from = e.Version
		}
	}
	return nil
}
