package streamversion

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

const (
	// VersionsTable has one row for each service. All nodes follow it.
	VersionsTable = "versions"
	// StreamsTable has a row for each stream that began at another version than the base
	// version of its service.
	StreamsTable = "streams"
	// numPartitions spreads the rows of streams. A partition makes one transaction after
	// another, which takes 0.3 s while the store is slow, and refuses those that would wait
	// for over a second.
	numPartitions = 32
)

// streamKey identifies a stream: the service and the ID of the request that brought its
// first event. It is a digest, as callers choose the length and the bytes of IDs.
type streamKey [sha256.Size / 2]byte

func newStreamKey(service core.DeploymentID, request string) streamKey {
	digest := sha256.Sum256([]byte(string(service) + "\x00" + request))
	return streamKey(digest[:])
}

func (k streamKey) partition() int { return int(k[0]) % numPartitions }

func (k streamKey) row() infra.RowKey {
	return infra.RowKey{Table: StreamsTable, Partition: partitionName(k.partition()), Key: hex.EncodeToString(k[:])}
}

func partitionName(n int) string { return strconv.Itoa(n) }

func versionsKey(service core.DeploymentID) infra.RowKey {
	return infra.RowKey{Table: VersionsTable, Key: string(service)}
}

// singleRow is the range that holds one row.
func singleRow(key infra.RowKey) infra.RowRange {
	return infra.RowRange{Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00"}
}
