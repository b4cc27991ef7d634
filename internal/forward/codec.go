package forward

import (
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/promptcache"
	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/replica"
)

// Codec translates between HTTP headers and the types of this package.
type Codec interface {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// PromptParts returns the parts of a request's prompt that other requests may
	// share, from the first to the last.
	PromptParts(h http.Header) []quarantine.Part
	// Prompt returns all parts of a request's prompt, each with its length, and the
	// number of tokens that the request occupies at most, or 0 if it is unknown.
	Prompt(h http.Header) (parts []promptcache.Part, tokens int)
	// ReplicaHeader returns the headers of the request to a replica: the caller's
	// end-to-end headers and those that encode the options.
	ReplicaHeader(h http.Header, send SendOptions) http.Header
	// ParseResponse parses the status and headers of a replica's response to the request
	// with the ID.
	ParseResponse(requestID string, status int, h http.Header) ResponseInfo
	// ResponseMatcher returns a function that says whether a response with the given
	// headers belongs to the request with the ID.
	ResponseMatcher(id string) func(http.Header) replica.Match
	// CallerHeader copies to the caller's response those headers of the replica's
	// response that the caller gets.
	CallerHeader(to, from http.Header)
}

// SendOptions describes one attempt to send a request to a replica.
type SendOptions struct {
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Replica is the only replica that may run the request.
	Replica core.ReplicaID
	// ResumeAfter is the ID of the last event that the caller has received, or
	// NoResume to run the request from the start.
	ResumeAfter int64
	// Identified is set if the configuration names organisations. The replica is then
	// told Org, or none if it is empty, whatever the caller has sent, and no key.
	Identified bool
	Org        core.Org
}

// NoResume is the value of ResumeAfter for a request that runs from the start.
const NoResume int64 = -1
