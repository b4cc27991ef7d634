package engine

import "sync/atomic"

// state is the state of a sequence. The states from stateCompleted on are final.
type state int32

const (
	stateWaiting state = iota
	stateRunning
	stateCompleted
	stateCancelled
	// stateLost means that the engine crashed or was closed before the sequence
	// ended.
	stateLost
)

// Sequence is an accepted request and its progress.
type Sequence struct {
	Request
	// Run is the number of the request among the accepted requests of this
	// engine, from 1.
	Run uint64
	// Length is the number of tokens of the whole output.
	Length int

	hash         uint64
	blocks       []uint64
	promptTokens int

	produced atomic.Int64
	state    atomic.Int32
	changed  chan struct{} // holds one value after produced or state has changed
}

// Produced returns the index of the next token. It counts from the start of the
// output, also after a resume.
func (s *Sequence) Produced() int { return int(s.produced.Load()) }

// Changed returns a channel that has a value when the sequence has new tokens or
// has ended.
func (s *Sequence) Changed() <-chan struct{} { return s.changed }

// Completed reports whether the whole output has been produced.
func (s *Sequence) Completed() bool { return s.currentState() == stateCompleted }

func (s *Sequence) currentState() state { return state(s.state.Load()) }

func (s *Sequence) ended() bool { return s.currentState() >= stateCompleted }

// kvTokens returns the KV cache memory that the sequence reserves, in tokens.
func (s *Sequence) kvTokens() int { return s.promptTokens + s.Length }

// contextTokens returns the number of tokens in the context of the next step.
func (s *Sequence) contextTokens() int { return s.promptTokens + s.Produced() }

func (s *Sequence) setState(st state) {
	s.state.Store(int32(st))
	s.notify()
}

func (s *Sequence) addToken() {
	s.produced.Add(1)
	s.notify()
}

func (s *Sequence) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// finishReason returns "length" if the request sets max_tokens, otherwise "stop".
func (s *Sequence) finishReason() string {
	if s.MaxTokens > 0 {
		return "length"
	}
	return "stop"
}
