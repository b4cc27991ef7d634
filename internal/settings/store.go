package settings

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

// The keys of rows in the table service.
const (
	headKey    = "settings/head"
	nodePrefix = "settings/node"
	logPrefix  = "settings/log/"
)

// tableTimeout bounds one call to the table service.
const tableTimeout = 2 * time.Second

// logKey returns the key of a log row. The version is zero-padded so that keys
// sort by version.
func logKey(version uint64) string { return fmt.Sprintf("%s%020d", logPrefix, version) }

func nodeKey(path string) string { return nodePrefix + path }

// head is the value of the head row: the newest version and the checksum of its
// tree.
type head struct {
	Version uint64 `msgpack:"v"`
	Sum     uint64 `msgpack:"c"`
}

// store reads and writes the settings tree in the table service.
type store struct {
	table        infra.Table
	scanPageRows int // rows per scan
}

// head reads the head row and returns its value and its row version. Both are
// zero if the row is absent.
func (s *store) head(ctx context.Context) (head, uint64, error) {
	row, err := s.get(ctx, headKey)
	if err != nil || row.Version == 0 {
		return head{}, 0, err
	}
	var h head
	if err := msgpack.Unmarshal(row.Value, &h); err != nil {
		return head{}, 0, errors.Wrap(err, "settings: decode head row")
	}
	return h, row.Version, nil
}

// get reads a row. An absent row is returned with version 0 and no error.
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

// node reads a node row and returns the node's version and the row version. Both
// are 0 if the row is absent.
func (s *store) node(ctx context.Context, path string) (version, rowVersion uint64, err error) {
	row, err := s.get(ctx, nodeKey(path))
	if err != nil || row.Version == 0 {
		return 0, 0, err
	}
	var record nodeRecord
	if err := msgpack.Unmarshal(row.Value, &record); err != nil {
		return 0, 0, errors.Wrapf(err, "settings: decode row of node %s", path)
	}
	return record.Version, row.Version, nil
}

// entry reads one log entry; ok is false if the row is absent.
func (s *store) entry(ctx context.Context, version uint64) (e Entry, ok bool, err error) {
	row, err := s.get(ctx, logKey(version))
	if err != nil || row.Version == 0 {
		return Entry{}, false, err
	}
	if err := msgpack.Unmarshal(row.Value, &e); err != nil {
		return Entry{}, false, errors.Wrapf(err, "settings: decode log entry %d", version)
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
			return nil, errors.Wrapf(err, "settings: decode log row %s", row.Key)
		}
	}
	return out, nil
}

// readTree reads the full tree. The node pages are not read at one point in time,
// so it reads the head row before and after them and applies the log entries
// between the two. The checksum then confirms that the reads are consistent.
func (s *store) readTree(ctx context.Context) (*Tree, error) {
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
		return nil, errors.New("settings: the table service returned an old head row")
	}
	tree := buildTree(after.Version, nodes)
	if after.Version > before.Version {
		if err := s.replay(ctx, tree, before.Version, after.Version); err != nil {
			return nil, err
		}
	}
	return tree, tree.check(after.Sum)
}

// nodes reads all node rows, page by page.
func (s *store) nodes(ctx context.Context) ([]nodeRecord, error) {
	var out []nodeRecord
	after := ""
	for {
		rows, err := s.scan(ctx, nodePrefix, after, s.scanPageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			record := nodeRecord{}
			if err := msgpack.Unmarshal(row.Value, &record); err != nil {
				return nil, errors.Wrapf(err, "settings: decode node row %s", row.Key)
			}
			record.Path = row.Key[len(nodePrefix):]
			out = append(out, record)
		}
		if len(rows) < s.scanPageRows {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// replay sets the nodes of a tree to their values after the log entries with
// versions (from, to].
func (s *store) replay(ctx context.Context, tree *Tree, from, to uint64) error {
	for from < to {
		entries, err := s.entries(ctx, from, s.scanPageRows)
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
