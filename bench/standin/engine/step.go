package engine

import "time"

// loop runs steps one after the other, all with the same timer. It blocks while
// there is no work.
func (e *Engine) loop() {
	defer close(e.loopDone)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		duration, work := e.beginStep()
		if !work {
			select {
			case <-e.wake:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		timer.Reset(duration)
		select {
		case <-timer.C:
			e.endStep()
		case <-e.ctx.Done():
			return
		}
	}
}

// beginStep admits waiting sequences and returns the duration of the step. It
// returns false if there is nothing to run.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Pause {
		return 0, false
	}
	prefill := e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	contexts := 0
	for _, seq := range e.running {
		contexts += seq.contextTokens()
	}
	d := e.params.StepBase +
		time.Duration(len(e.running))*e.params.StepPerSequence +
		time.Duration(contexts)*e.params.StepPerContext/1000 +
		time.Duration(prefill)*e.params.PrefillPerToken
	e.lastStep = time.Duration(float64(d) * e.fault.Slowdown.value())
	return e.lastStep, true
}

// admit moves sequences from the queue to the batch in order of arrival and
// returns the number of prompt tokens to process. A sequence at the head of the
// queue that does not fit into the KV cache blocks those behind it.
func (e *Engine) admit() int {
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.params.Slots {
		seq := e.waiting[0]
		if e.kvUsed+seq.kvTokens() > e.params.KVTokens {
			break
		}
		e.waiting[0] = nil
		e.waiting = e.waiting[1:]
		e.kvUsed += seq.kvTokens()
		prefill += e.prefill(seq)
		e.running = append(e.running, seq)
		seq.setState(stateRunning)
		e.countStart(seq)
	}
	e.stats.PeakRunning = max(e.stats.PeakRunning, len(e.running))
	return prefill
}

// prefill returns the number of tokens to process before the first new one: the
// prompt and, for a resumed stream, the tokens generated before, minus the cached
// tokens.
func (e *Engine) prefill(seq *Sequence) int {
	total := seq.promptTokens + seq.ResumeFrom
	cached := max(e.cache.match(seq.blocks)*BlockTokens, e.kv.importedTokens(seq))
	cached = min(cached, total)
	e.cache.insert(seq.blocks)
	e.stats.PrefillTokens += int64(total - cached)
	e.stats.CachedTokens += int64(cached)
	return total - cached
}

// endStep adds one token to each running sequence and removes the completed ones.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Steps++
	kept := e.running[:0]
	for _, seq := range e.running {
		if seq.Produced() < seq.Length {
			e.stats.Tokens++
			seq.addToken()
		}
		if seq.Produced() < seq.Length {
			kept = append(kept, seq)
			continue
		}
		e.kvUsed -= seq.kvTokens()
		e.stats.Completed++
		e.executions.counts(seq.ID).Completions++
		seq.setState(stateCompleted)
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.recordLoad()
}
