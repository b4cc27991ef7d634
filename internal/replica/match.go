package replica

// Match says whether a response belongs to a request.
type Match uint8

const (
	// MatchNone is a response to another request.
	MatchNone Match = iota
	// MatchUnknown is a response that does not name its request.
	MatchUnknown
	// MatchOwn is a response that names the request.
	MatchOwn
)
