package engine

import (
	"encoding/json"
	"errors"
)

const (
	// maxKVEntries is the maximum number of recent requests, whose KV cache can be
	// exported, and of imported KV caches.
	maxKVEntries = 1000
	kvMagic      = "gentiantide-standin-kv-1"
)

// kvBlob is the exported KV cache of a request. Its form is opaque to callers.
type kvBlob struct {
	Magic  string   `json:"magic"`
	Hash   uint64   `json:"hash,string"`
	Blocks []uint64 `json:"blocks"`
	Tokens int      `json:"tokens"`
}

// kvStore holds the recent requests and the imported KV caches by request id, and
// the ids of both, oldest first.
type kvStore struct {
	requests   map[string]*Sequence
	requestIDs []string
	blobs      map[string]kvBlob
	blobIDs    []string
}

func newKVStore() *kvStore {
	return &kvStore{requests: make(map[string]*Sequence), blobs: make(map[string]kvBlob)}
}

func (k *kvStore) addRequest(seq *Sequence) {
	if _, ok := k.requests[seq.ID]; !ok {
		k.requestIDs = append(k.requestIDs, seq.ID)
	}
	k.requests[seq.ID] = seq
	if len(k.requestIDs) > maxKVEntries {
		delete(k.requests, k.requestIDs[0])
		k.requestIDs = k.requestIDs[1:]
	}
}

func (k *kvStore) addImport(id string, blob kvBlob) {
	if _, ok := k.blobs[id]; !ok {
		k.blobIDs = append(k.blobIDs, id)
	}
	k.blobs[id] = blob
	if len(k.blobIDs) > maxKVEntries {
		delete(k.blobs, k.blobIDs[0])
		k.blobIDs = k.blobIDs[1:]
	}
}

// importedTokens returns how many tokens of the sequence an imported KV cache
// covers.
func (k *kvStore) importedTokens(seq *Sequence) int {
	blob, ok := k.blobs[seq.ID]
	if !ok || blob.Hash != seq.hash {
		return 0
	}
	return blob.Tokens
}

// ExportKV returns the KV cache of a recent request. It returns false if the
// request is unknown, waiting or lost.
func (e *Engine) ExportKV(id string) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seq, ok := e.kv.requests[id]
	if !ok || seq.currentState() == stateWaiting || seq.currentState() == stateLost {
		return nil, false
	}
	blob, err := json.Marshal(kvBlob{Magic: kvMagic, Hash: seq.hash, Blocks: seq.blocks, Tokens: seq.contextTokens()})
	return blob, err == nil
}

// ImportKV stores an exported KV cache for a later request with the id.
func (e *Engine) ImportKV(id string, data []byte) error {
	var blob kvBlob
	if err := json.Unmarshal(data, &blob); err != nil || blob.Magic != kvMagic || blob.Tokens < 0 {
		return errors.New("not an exported KV cache")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv.addImport(id, blob)
	e.cache.insert(blob.Blocks)
	return nil
}
