package engine

import "sync/atomic"

// state is the stage of a sequence.
type state int32

const (
	stateWaiting state = iota
	stateRunning
	stateCompleted
	stateCancelled
	// stateLost is a sequence that was in an engine that crashed.
	stateLost
)

// Sequence is one accepted request.
type Sequence struct {
	Request
	// Run numbers the accepted requests of this engine.
	Run uint64
	// Length is the number of tokens of the whole answer.
	Length int

	hash         uint64
	blocks       []uint64
	promptTokens int

	produced atomic.Int64
	state    atomic.Int32
	changed  chan struct{} // holds a value after produced or state changed
}

// Produced returns the index after the last token produced so far.
func (s *Sequence) Produced() int { return int(s.produced.Load()) }

// Changed receives a value after new tokens or the end.
func (s *Sequence) Changed() <-chan struct{} { return s.changed }

// Completed reports whether the whole answer has been produced.
func (s *Sequence) Completed() bool { return s.stage() == stateCompleted }

func (s *Sequence) stage() state { return state(s.state.Load()) }

func (s *Sequence) ended() bool { return s.stage() >= stateCompleted }

// kv is the KV cache memory of the sequence in tokens.
func (s *Sequence) kv() int { return s.promptTokens + s.Length }

// context is the number of tokens that the next step attends to.
func (s *Sequence) context() int { return s.promptTokens + s.Produced() }

func (s *Sequence) set(st state) {
	s.state.Store(int32(st))
	s.wake()
}

func (s *Sequence) advance() {
	s.produced.Add(1)
	s.wake()
}

func (s *Sequence) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// finishReason is "length" if the caller's limit ended the answer.
func (s *Sequence) finishReason() string {
	if s.MaxTokens > 0 {
		return "length"
	}
	return "stop"
}
