package settings

import (
	"context"
	"slices"
	"sort"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// fetchRequest asks for the settings after a version.
type fetchRequest struct {
	From uint64 `msgpack:"f"`
	// Pinned is the version of a whole tree whose nodes after path After are
	// asked for; 0 asks for log entries or the beginning of a tree.
	Pinned uint64 `msgpack:"p,omitempty"`
	After  string `msgpack:"a,omitempty"`
}

// fetchAnswer has log entries, or a part of a whole tree.
type fetchAnswer struct {
	Loaded  bool   `msgpack:"l"`
	Version uint64 `msgpack:"v"`
	Sum     uint64 `msgpack:"c"`
	// Entries follow the asked version without a gap.
	Entries []Entry `msgpack:"e,omitempty"`
	// Whole is set if Nodes is a part of the whole tree of Version.
	Whole bool        `msgpack:"w,omitempty"`
	Nodes []nodeImage `msgpack:"n,omitempty"`
	More  bool        `msgpack:"m,omitempty"`
}

func (m *Manager) handleFetch(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var request fetchRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrap(err, "settings fetch")
	}
	answer := m.answerFetch(request)
	return msgpack.Marshal(&answer)
}

func (m *Manager) answerFetch(request fetchRequest) fetchAnswer {
	m.mu.Lock()
	tree, recent, loaded := m.tree, m.recent, m.loaded
	m.mu.Unlock()
	answer := fetchAnswer{Loaded: loaded, Version: tree.version, Sum: tree.sum}
	switch {
	case !loaded || request.From >= tree.version:
	case request.Pinned != 0 && request.Pinned != tree.version:
		// The tree changed between two parts; the asker begins again.
	case request.Pinned == 0 && len(recent) > 0 && recent[0].Version <= request.From+1:
		answer.Entries, answer.More = entriesChunk(recent[request.From+1-recent[0].Version:], m.limits.chunkBytes)
	default:
		answer.Whole = true
		answer.Nodes, answer.More = tree.chunk(request.After, m.limits.chunkBytes)
	}
	return answer
}

func entriesChunk(entries []Entry, limit int) ([]Entry, bool) {
	size := 0
	for i := range entries {
		if size += entries[i].size(); size > limit && i > 0 {
			return slices.Clone(entries[:i]), true
		}
	}
	return slices.Clone(entries), false
}

// chunk returns nodes after a path, in path order, and whether there are more.
func (t *Tree) chunk(after string, limit int) ([]nodeImage, bool) {
	paths := t.Paths()
	size := 0
	var out []nodeImage
	for _, path := range paths[sort.SearchStrings(paths, after):] {
		if path == after {
			continue
		}
		image := nodeImage{Path: path, Version: t.nodes[path].Version, Values: t.nodes[path].Values}
		if size += image.size(); size > limit && len(out) > 0 {
			return out, true
		}
		out = append(out, image)
	}
	return out, false
}

// errNotLoaded means that the peer has no settings itself.
var errNotLoaded = errors.New("settings: the peer has no settings yet")

// fetch brings the tree up to a peer's.
func (m *Manager) fetch(ctx context.Context, from core.NodeID) error {
	var request fetchRequest
	var nodes []nodeImage
	for range fetchRounds {
		tree, loaded := m.state()
		request.From = tree.version
		answer, err := m.ask(ctx, from, request)
		if err != nil {
			return err
		}
		switch {
		case answer.Version <= tree.version:
			if !loaded && answer.Version == tree.version && answer.Sum == tree.sum {
				m.install(tree, nil)
			}
			return nil
		case answer.Whole:
			if request.Pinned == 0 {
				nodes = nil
			}
			nodes = append(nodes, answer.Nodes...)
			if !answer.More {
				return m.installWhole(answer, nodes)
			}
			if len(answer.Nodes) == 0 {
				return errors.New("settings: the peer sent an empty part")
			}
			request = fetchRequest{Pinned: answer.Version, After: answer.Nodes[len(answer.Nodes)-1].Path}
		case len(answer.Entries) > 0:
			if err := m.installEntries(tree, answer.Entries); err != nil {
				return err
			}
			if !answer.More {
				return nil
			}
			request = fetchRequest{}
		default:
			request, nodes = fetchRequest{}, nil
		}
	}
	return errors.New("settings: the peer's settings changed too often")
}

func (m *Manager) ask(ctx context.Context, from core.NodeID, request fetchRequest) (fetchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var answer fetchAnswer
	if err := m.messenger.Call(ctx, from, kindFetch, &request, &answer); err != nil {
		return answer, err
	}
	if !answer.Loaded {
		return answer, errNotLoaded
	}
	return answer, nil
}

func (m *Manager) installWhole(answer fetchAnswer, nodes []nodeImage) error {
	tree := newTree(answer.Version, nodes)
	if err := tree.check(answer.Sum); err != nil {
		return err
	}
	m.install(tree, nil)
	return nil
}

func (m *Manager) installEntries(tree *Tree, entries []Entry) error {
	var err error
	for _, e := range entries {
		if tree, err = tree.follow(e); err != nil {
			return err
		}
	}
	m.install(tree, entries)
	return nil
}
