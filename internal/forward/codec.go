package forward

import (
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// Codec translates between the headers on the wire and this package's types.
type Codec interface {
	// Call reads the headers of a caller's request.
	Call(h http.Header) (Call, error)
	// ReplicaHeader returns the headers for a replica: the caller's end-to-end
	// headers and those that the send adds.
	ReplicaHeader(h http.Header, send Send) http.Header
	// Answer reads the headers of a replica's answer.
	Answer(status int, h http.Header) AnswerInfo
	// Belongs returns a test for the answers to the request with the id.
	Belongs(id string) func(http.Header) bool
	// CallerHeader adds the headers that go on to the caller.
	CallerHeader(to, from http.Header)
}

// Send says how one request goes to one replica.
type Send struct {
	// Remaining is the time left for the work.
	Remaining time.Duration
	// Replica is the only one that may run the request.
	Replica core.ReplicaID
	// ResumeAfter is the last event that the caller has, or a negative number
	// for a new run.
	ResumeAfter int64
}

// NoResume is the ResumeAfter of a new run.
const NoResume int64 = -1

// AnswerInfo is what a replica says in the headers of an answer.
type AnswerInfo struct {
	// NotRun is set if the request has not run at this replica and will not.
	NotRun bool
	// Misdirected is set if another replica has the address.
	Misdirected bool
	// Proven is set if the answer carries the replica's proof.
	Proven bool
	// Load is the load report, if there is one.
	Load *replica.Load
}
