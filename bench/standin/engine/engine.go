package engine

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
)

// Errors of Submit and Order. Test for them with errors.Is.
var (
	// ErrRefused means that the request was not accepted and did not run.
	ErrRefused = errors.New("refused")
	// ErrFailed means that the request ran and failed.
	ErrFailed = errors.New("generation failed")
	// ErrInvalid means that the request or order is malformed or exceeds a limit,
	// so that a retry would fail too.
	ErrInvalid = errors.New("invalid request")
)

// Engine is a simulated model engine: the batching loop and its state. It is safe
// for concurrent use. Close stops it.
type Engine struct {
	params   Params
	rnd      *httpkit.SeededRand
	wake     chan struct{}
	ctx      context.Context
	stop     context.CancelFunc
	loopDone chan struct{}

	mu            sync.Mutex // guards the fields below
	fault         Fault
	waiting       []*Sequence // first in, first out
	running       []*Sequence
	kvUsed        int
	runs          uint64
	cache         *prefixCache
	events        eventLog
	load          loadLog
	lastStep      time.Duration
	stats         Stats
	executions    *executionLog
	kv            *kvStore
	anyModel      bool
	models        []modelName
	loading       map[modelName]context.CancelFunc
	role          string
	fencingNumber uint64
}

// New returns an engine and starts its batching loop.
func New(p Params) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		params:     p,
		rnd:        httpkit.NewSeededRand(p.Seed),
		wake:       make(chan struct{}, 1),
		ctx:        ctx,
		stop:       stop,
		loopDone:   make(chan struct{}),
		load:       loadLog{lag: p.LoadLag},
		executions: newExecutionLog(),
		kv:         newKVStore(),
		anyModel:   len(p.Models) == 0,
		loading:    make(map[modelName]context.CancelFunc),
		role:       p.Role,
	}
	e.events = eventLog{lag: p.EventLag, loss: httpkit.Probability(p.EventLoss), rnd: e.rnd}
	e.cache = e.newCache()
	for _, model := range p.Models {
		e.models = append(e.models, parseModelName(model))
	}
	e.recordLoad()
	go e.loop()
	return e
}

func (e *Engine) newCache() *prefixCache {
	return newPrefixCache(e.params.CacheBlocks, func(kind EventKind, block uint64) {
		e.events.add(time.Now(), kind, block)
	})
}

// Close stops the loop. Waiting and running sequences are lost.
func (e *Engine) Close() {
	e.stop()
	<-e.loopDone
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseAll()
}

// Submit adds a request to the queue. Errors: ErrRefused, ErrFailed, ErrInvalid.
func (e *Engine) Submit(req Request) (*Sequence, error) {
	seq, err := e.newSequence(req)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAccept(seq); err != nil {
		return nil, err
	}
	e.runs++
	seq.Run = e.runs
	e.stats.Accepted++
	e.waiting = append(e.waiting, seq)
	e.stats.PeakWaiting = max(e.stats.PeakWaiting, len(e.waiting))
	e.kv.addRequest(seq)
	e.recordLoad()
	e.signal()
	return seq, nil
}

func (e *Engine) newSequence(req Request) (*Sequence, error) {
	tokens := PromptTokens(req.Prompt)
	seq := &Sequence{
		Request:      req,
		Length:       req.MaxTokens,
		hash:         PromptHash(req.Prompt),
		blocks:       BlockHashes(tokens),
		promptTokens: len(tokens),
		changed:      make(chan struct{}, 1),
	}
	if seq.Length == 0 {
		seq.Length = e.params.DefaultLength(seq.hash)
	}
	seq.produced.Store(int64(req.ResumeFrom))
	switch {
	case req.ResumeFrom > seq.Length:
		return nil, invalidRequest("resume_from is beyond the end of the output")
	case seq.kvTokens() > e.params.KVTokens:
		return nil, invalidRequest("prompt and output exceed the KV cache")
	case req.ResumeFrom > 0 && req.Generated != OutputText(req.Prompt, req.ResumeFrom):
		return nil, invalidRequest("generated is not the text of the tokens before resume_from")
	}
	return seq, nil
}

func invalidRequest(message string) error { return errors.Join(ErrInvalid, errors.New(message)) }

// checkAccept returns an error if the fault plan, the queue limit or a model that
// is not loaded prevents a request. The caller holds the lock.
func (e *Engine) checkAccept(seq *Sequence) error {
	switch {
	case e.ctx.Err() != nil, e.rnd.Chance(e.fault.Refuse), len(e.waiting) >= e.params.MaxWaiting, !e.serves(seq.Model):
		e.stats.Refused++
		return ErrRefused
	case e.fault.Poison != "" && strings.Contains(seq.Prompt, e.fault.Poison):
		e.stats.Failed++
		e.countStart(seq)
		return ErrFailed
	}
	return nil
}

func (e *Engine) serves(model string) bool {
	if e.anyModel {
		return true
	}
	wanted := parseModelName(model)
	for _, loaded := range e.models {
		if loaded.serves(wanted) {
			return true
		}
	}
	return false
}

// countStart counts the start of an execution. The caller holds the lock.
func (e *Engine) countStart(seq *Sequence) {
	e.stats.Started++
	s := e.executions.counts(seq.ID)
	s.Starts++
	if seq.ResumeFrom > 0 {
		s.Resumes++
	}
}

// Cancel cancels a sequence. It does nothing if the sequence has ended.
func (e *Engine) Cancel(seq *Sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel(seq)
	e.recordLoad()
}

// cancel is Cancel for a caller that holds the lock.
func (e *Engine) cancel(seq *Sequence) {
	if seq.ended() {
		return
	}
	if seq.currentState() == stateRunning {
		e.kvUsed -= seq.kvTokens()
	}
	e.waiting = removeSequence(e.waiting, seq)
	e.running = removeSequence(e.running, seq)
	e.stats.Cancelled++
	seq.setState(stateCancelled)
}

// CancelID cancels the waiting and running sequences with a request id. If run is
// not 0, it cancels only the one with that Sequence.Run. It returns the number of
// cancelled sequences.
func (e *Engine) CancelID(id string, run uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*Sequence
	for _, list := range [][]*Sequence{e.waiting, e.running} {
		for _, seq := range list {
			if seq.ID == id && (run == 0 || seq.Run == run) {
				found = append(found, seq)
			}
		}
	}
	for _, seq := range found {
		e.cancel(seq)
	}
	e.recordLoad()
	return len(found)
}

func removeSequence(list []*Sequence, seq *Sequence) []*Sequence {
	for i, s := range list {
		if s == seq {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// SetFault replaces the fault plan. A crash loses all sequences and clears the
// prefix cache.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	if f.Crash {
		e.loseAll()
		e.cache = e.newCache()
	}
	e.recordLoad()
	e.signal()
}

// loseAll marks all waiting and running sequences as lost. The caller holds the
// lock.
func (e *Engine) loseAll() {
	for _, list := range [][]*Sequence{e.waiting, e.running} {
		for _, seq := range list {
			seq.setState(stateLost)
		}
	}
	e.waiting, e.running, e.kvUsed = nil, nil, 0
}

// Stats returns the counts since the start. With ids it includes the counts by
// request id.
func (e *Engine) Stats(ids bool) Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running, s.Waiting = len(e.running), len(e.waiting)
	for _, counts := range e.executions.byID {
		if counts.Starts-counts.Resumes > 1 {
			s.Repeated++
		}
	}
	if ids {
		s.ByID = e.executions.copy()
	}
	return s
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
