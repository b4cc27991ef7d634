package engine

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
)

// Reasons for which Submit does not accept a request.
var (
	// ErrRefused means that the request did not run.
	ErrRefused = errors.New("refused")
	// ErrFailed means that the request ran and failed.
	ErrFailed = errors.New("generation failed")
	// ErrInvalid means that the request can never run.
	ErrInvalid = errors.New("invalid request")
)

// Engine is the batching loop and its state. Close ends it.
type Engine struct {
	params Params
	dice   *httpkit.Dice
	wake   chan struct{}
	ctx    context.Context
	stop   context.CancelFunc
	ended  chan struct{}

	mu       sync.Mutex
	fault    Fault
	waiting  []*Sequence // first in, first out
	running  []*Sequence
	kvUsed   int
	runs     uint64
	cache    *prefixCache
	events   eventLog
	load     loadLog
	lastStep time.Duration
	stats    Stats
	starts   *startLog
	kv       *kvStore
	anyModel bool
	models   []modelName
	loading  map[modelName]context.CancelFunc
	role     string
	fencing  uint64
}

// New starts an engine.
func New(p Params) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		params:   p,
		dice:     httpkit.NewDice(p.Seed),
		wake:     make(chan struct{}, 1),
		ctx:      ctx,
		stop:     stop,
		ended:    make(chan struct{}),
		load:     loadLog{lag: p.LoadLag},
		starts:   newStartLog(),
		kv:       newKVStore(),
		anyModel: len(p.Models) == 0,
		loading:  make(map[modelName]context.CancelFunc),
		role:     p.Role,
	}
	e.events = eventLog{lag: p.EventLag, loss: httpkit.Share(p.EventLoss), dice: e.dice}
	e.cache = e.newCache()
	for _, model := range p.Models {
		e.models = append(e.models, parseModel(model))
	}
	e.noteLoad()
	go e.loop()
	return e
}

func (e *Engine) newCache() *prefixCache {
	return newPrefixCache(e.params.CacheBlocks, func(kind EventKind, block uint64) {
		e.events.add(time.Now(), kind, block)
	})
}

// Close ends the loop and loses what is running.
func (e *Engine) Close() {
	e.stop()
	<-e.ended
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseAll()
}

// Submit queues a request. Errors: ErrRefused, ErrFailed, ErrInvalid.
func (e *Engine) Submit(req Request) (*Sequence, error) {
	seq, err := e.sequence(req)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.accepts(seq); err != nil {
		return nil, err
	}
	e.runs++
	seq.Run = e.runs
	e.stats.Accepted++
	e.waiting = append(e.waiting, seq)
	e.stats.PeakWaiting = max(e.stats.PeakWaiting, len(e.waiting))
	e.kv.note(seq)
	e.noteLoad()
	e.signal()
	return seq, nil
}

func (e *Engine) sequence(req Request) (*Sequence, error) {
	tokens := PromptTokens(req.Prompt)
	seq := &Sequence{
		Request:      req,
		Length:       req.MaxTokens,
		hash:         PromptHash(req.Prompt),
		blocks:       Blocks(tokens),
		promptTokens: len(tokens),
		changed:      make(chan struct{}, 1),
	}
	if seq.Length == 0 {
		seq.Length = e.params.DefaultLength(seq.hash)
	}
	seq.produced.Store(int64(req.ResumeFrom))
	switch {
	case req.ResumeFrom > seq.Length:
		return nil, invalid("resume_from is beyond the end of the answer")
	case seq.kv() > e.params.KVTokens:
		return nil, invalid("prompt and answer exceed the KV cache")
	case req.ResumeFrom > 0 && req.Generated != Answer(req.Prompt, req.ResumeFrom):
		return nil, invalid("generated is not the text of the tokens before resume_from")
	}
	return seq, nil
}

func invalid(message string) error { return errors.Join(ErrInvalid, errors.New(message)) }

// accepts applies the commanded faults, the queue bound and the loaded models.
func (e *Engine) accepts(seq *Sequence) error {
	switch {
	case e.ctx.Err() != nil, e.dice.Hit(e.fault.Refuse), len(e.waiting) >= e.params.MaxWaiting, !e.serves(seq.Model):
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
	wanted := parseModel(model)
	for _, loaded := range e.models {
		if loaded.serves(wanted) {
			return true
		}
	}
	return false
}

// countStart must be called with the lock held.
func (e *Engine) countStart(seq *Sequence) {
	e.stats.Started++
	s := e.starts.of(seq.ID)
	s.Starts++
	if seq.ResumeFrom > 0 {
		s.Resumes++
	}
}

// Cancel ends a sequence; one that has ended stays as it is.
func (e *Engine) Cancel(seq *Sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel(seq)
	e.noteLoad()
}

func (e *Engine) cancel(seq *Sequence) {
	if seq.ended() {
		return
	}
	if seq.stage() == stateRunning {
		e.kvUsed -= seq.kv()
	}
	e.waiting = without(e.waiting, seq)
	e.running = without(e.running, seq)
	e.stats.Cancelled++
	seq.set(stateCancelled)
}

// CancelID ends the sequences with the id, or only the one with the run if it
// is not 0. It returns how many it ended.
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
	e.noteLoad()
	return len(found)
}

func without(list []*Sequence, seq *Sequence) []*Sequence {
	for i, s := range list {
		if s == seq {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// SetFault puts a fault plan in force. A crash loses all sequences and what
// the engine has cached.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	if f.Crash {
		e.loseAll()
		e.cache = e.newCache()
	}
	e.noteLoad()
	e.signal()
}

func (e *Engine) loseAll() {
	for _, list := range [][]*Sequence{e.waiting, e.running} {
		for _, seq := range list {
			seq.set(stateLost)
		}
	}
	e.waiting, e.running, e.kvUsed = nil, nil, 0
}

// Stats returns the counts; ids adds those of each request id.
func (e *Engine) Stats(ids bool) Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running, s.Waiting = len(e.running), len(e.waiting)
	for _, starts := range e.starts.byID {
		if starts.Starts-starts.Resumes > 1 {
			s.Repeated++
		}
	}
	if ids {
		s.ByID = e.starts.copy()
	}
	return s
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
