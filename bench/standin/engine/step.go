package engine

import "time"

// loop runs one step after the other, with one timer for all of them, and
// sleeps while there is nothing to do.
func (e *Engine) loop() {
	defer close(e.ended)
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

// beginStep admits waiting sequences and returns how long the step takes, or
// false if there is nothing to run.
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
		contexts += seq.context()
	}
	d := e.params.StepBase +
		time.Duration(len(e.running))*e.params.StepPerSequence +
		time.Duration(contexts)*e.params.StepPerContext/1000 +
		time.Duration(prefill)*e.params.PrefillPerToken
	e.lastStep = time.Duration(float64(d) * e.fault.Slowdown.value())
	return e.lastStep, true
}

// admit moves sequences from the queue to the batch in the order of arrival
// and returns the number of prompt tokens to process. A head that does not fit
// into the KV cache holds up all behind it.
func (e *Engine) admit() int {
	prefill := 0
	for len(e.waiting) > 0 && len(e.running) < e.params.Slots {
		seq := e.waiting[0]
		if e.kvUsed+seq.kv() > e.params.KVTokens {
			break
		}
		e.waiting[0] = nil
		e.waiting = e.waiting[1:]
		e.kvUsed += seq.kv()
		prefill += e.prefill(seq)
		e.running = append(e.running, seq)
		seq.set(stateRunning)
		e.countStart(seq)
	}
	e.stats.PeakRunning = max(e.stats.PeakRunning, len(e.running))
	return prefill
}

// prefill returns the tokens that must be processed before the first new one:
// the prompt, and for a resumed stream what was generated before, without
// what is cached.
func (e *Engine) prefill(seq *Sequence) int {
	total := seq.promptTokens + seq.ResumeFrom
	cached := max(e.cache.match(seq.blocks)*BlockTokens, e.kv.imported(seq))
	cached = min(cached, total)
	e.cache.insert(seq.blocks)
	e.stats.PrefillTokens += int64(total - cached)
	e.stats.CachedTokens += int64(cached)
	return total - cached
}

// endStep gives each running sequence its token and removes the complete ones.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Steps++
	kept := e.running[:0]
	for _, seq := range e.running {
		if seq.Produced() < seq.Length {
			e.stats.Tokens++
			seq.advance()
		}
		if seq.Produced() < seq.Length {
			kept = append(kept, seq)
			continue
		}
		e.kvUsed -= seq.kv()
		e.stats.Completed++
		e.starts.of(seq.ID).Completions++
		seq.set(stateCompleted)
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.noteLoad()
}
