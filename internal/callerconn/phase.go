package callerconn

// phase is what a connection is doing.
type phase int32

const (
	// phaseNew is a connection on which nothing was read yet.
	phaseNew phase = iota
	// phaseIdle is a connection that is kept after a response. Nothing was read since.
	phaseIdle
	// phaseHead is a connection on which a part of a request's head was read.
	phaseHead
	// phaseRead is a connection with a whole head, before the handler begins.
	phaseRead
	// phaseServing is a connection whose request is in the handler. Nothing of the
	// response was sent.
	phaseServing
	// phaseResponding is a connection on which a part of the response was sent.
	phaseResponding
	// phaseAnswered is a connection whose handler has ended the response, or whose
	// request was rejected before the handler.
	phaseAnswered
)

// awaiting reports whether the HTTP server waits for bytes of a request.
func (p phase) awaiting() bool { return p <= phaseHead }

// String returns the name of the phase in logs and metrics.
func (p phase) String() string {
	return [...]string{"new", "idle", "reading", "read", "serving", "responding", "answered"}[p]
}
