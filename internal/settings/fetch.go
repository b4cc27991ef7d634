package settings

import (
	"context"
	"slices"
	"sort"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// fetchRequest asks a peer for the changes after a version.
type fetchRequest struct {
	// From is the version that the requester has.
	From uint64 `msgpack:"f"`
	// Pinned is set to continue the transfer of a full tree of this version with
	// the nodes after path After. 0 asks for log entries or the first chunk of a
	// full tree.
	Pinned uint64 `msgpack:"p,omitempty"`
	After  string `msgpack:"a,omitempty"`
}

// fetchResponse contains log entries or a chunk of a full tree.
type fetchResponse struct {
	// Loaded is set if the peer has loaded its settings; Version and Sum are
	// those of its tree.
	Loaded  bool   `msgpack:"l"`
	Version uint64 `msgpack:"v"`
	Sum     uint64 `msgpack:"c"`
	// Entries are consecutive and start right after the requested version.
	Entries []Entry `msgpack:"e,omitempty"`
	// FullTree is set if Nodes is a chunk of the full tree of Version.
	FullTree bool         `msgpack:"w,omitempty"`
	Nodes    []nodeRecord `msgpack:"n,omitempty"`
	More     bool         `msgpack:"m,omitempty"`
}

func (m *Manager) handleFetch(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var request fetchRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "settings: decode fetch request")
	}
	response := m.fetchResponseFor(request)
	return msgpack.Marshal(&response)
}

func (m *Manager) fetchResponseFor(request fetchRequest) fetchResponse {
	m.mu.Lock()
	tree, recent, loaded := m.tree, m.recent, m.loaded
	m.mu.Unlock()
	response := fetchResponse{Loaded: loaded, Version: tree.version, Sum: tree.sum}
	switch {
	case !loaded || request.From >= tree.version:
	case request.Pinned != 0 && request.Pinned != tree.version:
		// The tree changed between two chunks; the requester starts over.
	case request.Pinned == 0 && len(recent) > 0 && recent[0].Version <= request.From+1:
		response.Entries, response.More = entriesChunk(recent[request.From+1-recent[0].Version:], m.limits.maxChunkBytes)
	default:
		response.FullTree = true
		response.Nodes, response.More = tree.chunk(request.After, m.limits.maxChunkBytes)
	}
	return response
}

// entriesChunk returns the first entries up to a size limit in bytes, but at
// least one, and whether there are more.
func entriesChunk(entries []Entry, limit int) ([]Entry, bool) {
	size := 0
	for i := range entries {
		if size += entries[i].size(); size > limit && i > 0 {
			return slices.Clone(entries[:i]), true
		}
	}
	return slices.Clone(entries), false
}

// chunk returns the nodes after a path, in path order, up to a size limit in
// bytes, but at least one, and whether there are more.
func (t *Tree) chunk(after string, limit int) ([]nodeRecord, bool) {
	paths := t.Paths()
	size := 0
	var out []nodeRecord
	for _, path := range paths[sort.SearchStrings(paths, after):] {
		if path == after {
			continue
		}
		record := nodeRecord{Path: path, Version: t.nodes[path].Version, Values: t.nodes[path].Values}
		if size += record.size(); size > limit && len(out) > 0 {
			return out, true
		}
		out = append(out, record)
	}
	return out, false
}

// errNotLoaded means that the peer has not loaded any settings itself.
var errNotLoaded = errors.New("settings: the peer has not loaded its settings yet")

// fetch updates this node's tree to the version of a peer. A transfer of a full
// tree starts over if the peer's tree changes between two chunks.
func (m *Manager) fetch(ctx context.Context, from core.NodeID) error {
	var request fetchRequest
	var nodes []nodeRecord
	for range maxFetchCalls {
		tree, loaded := m.state()
		request.From = tree.version
		response, err := m.callFetch(ctx, from, request)
		if err != nil {
			return err
		}
		switch {
		case response.Version <= tree.version:
			if !loaded && response.Version == tree.version && response.Sum == tree.sum {
				m.install(tree, nil)
			}
			return nil
		case response.FullTree:
			if request.Pinned == 0 {
				nodes = nil
			}
			nodes = append(nodes, response.Nodes...)
			if !response.More {
				return m.installFullTree(response, nodes)
			}
			if len(response.Nodes) == 0 {
				return errors.New("settings: the peer sent an empty chunk of its tree")
			}
			request = fetchRequest{Pinned: response.Version, After: response.Nodes[len(response.Nodes)-1].Path}
		case len(response.Entries) > 0:
			if err := m.installEntries(tree, response.Entries); err != nil {
				return err
			}
			if !response.More {
				return nil
			}
			request = fetchRequest{}
		default:
			request, nodes = fetchRequest{}, nil
		}
	}
	return errors.New("settings: fetch from peer exceeded the maximum number of calls")
}

func (m *Manager) callFetch(ctx context.Context, from core.NodeID, request fetchRequest) (fetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var response fetchResponse
	if err := m.messenger.Call(ctx, from, kindFetch, &request, &response); err != nil {
		return response, err
	}
	if !response.Loaded {
		return response, errNotLoaded
	}
	return response, nil
}

func (m *Manager) installFullTree(response fetchResponse, nodes []nodeRecord) error {
	tree := buildTree(response.Version, nodes)
	if err := tree.check(response.Sum); err != nil {
		return err
	}
	m.install(tree, nil)
	return nil
}

func (m *Manager) installEntries(tree *Tree, entries []Entry) error {
	var err error
	for _, e := range entries {
		if tree, err = tree.applyEntry(e); err != nil {
			return err
		}
	}
	m.install(tree, entries)
	return nil
}
