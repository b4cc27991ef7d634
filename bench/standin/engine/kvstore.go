package engine

import (
	"encoding/json"
	"errors"
)

const (
	// maxKV bounds the requests whose KV cache can be exported or was imported.
	maxKV   = 1000
	kvMagic = "gentiantide-standin-kv-1"
)

// kvBlob is the exported KV cache of a request, opaque to others.
type kvBlob struct {
	Magic  string   `json:"magic"`
	Hash   uint64   `json:"hash,string"`
	Blocks []uint64 `json:"blocks"`
	Tokens int      `json:"tokens"`
}

// kvStore remembers the latest requests and the imported blobs by request id.
type kvStore struct {
	latest   map[string]*Sequence
	latestID []string
	blobs    map[string]kvBlob
	blobID   []string
}

func newKVStore() *kvStore {
	return &kvStore{latest: make(map[string]*Sequence), blobs: make(map[string]kvBlob)}
}

func (k *kvStore) note(seq *Sequence) {
	if _, ok := k.latest[seq.ID]; !ok {
		k.latestID = append(k.latestID, seq.ID)
	}
	k.latest[seq.ID] = seq
	if len(k.latestID) > maxKV {
		delete(k.latest, k.latestID[0])
		k.latestID = k.latestID[1:]
	}
}

func (k *kvStore) put(id string, blob kvBlob) {
	if _, ok := k.blobs[id]; !ok {
		k.blobID = append(k.blobID, id)
	}
	k.blobs[id] = blob
	if len(k.blobID) > maxKV {
		delete(k.blobs, k.blobID[0])
		k.blobID = k.blobID[1:]
	}
}

// imported returns how many tokens of the sequence an imported blob covers.
func (k *kvStore) imported(seq *Sequence) int {
	blob, ok := k.blobs[seq.ID]
	if !ok || blob.Hash != seq.hash {
		return 0
	}
	return blob.Tokens
}

// ExportKV returns the KV cache of a recent request, or false.
func (e *Engine) ExportKV(id string) ([]byte, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seq, ok := e.kv.latest[id]
	if !ok || seq.stage() == stateWaiting || seq.stage() == stateLost {
		return nil, false
	}
	blob, err := json.Marshal(kvBlob{Magic: kvMagic, Hash: seq.hash, Blocks: seq.blocks, Tokens: seq.context()})
	return blob, err == nil
}

// ImportKV takes an exported KV cache for a later request with the id.
func (e *Engine) ImportKV(id string, data []byte) error {
	var blob kvBlob
	if err := json.Unmarshal(data, &blob); err != nil || blob.Magic != kvMagic || blob.Tokens < 0 {
		return errors.New("not an exported KV cache")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv.put(id, blob)
	e.cache.insert(blob.Blocks)
	return nil
}
