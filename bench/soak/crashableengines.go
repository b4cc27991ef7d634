package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// engineRestartTime is how long an engine that has crashed is away.
	engineRestartTime = time.Second
	// darkEngineTime is how long an engine is dark that is lost with its machine, and
	// darkRegisteredTime how long it stays registered.
	darkEngineTime     = 5 * time.Second
	darkRegisteredTime = 3600 * time.Millisecond
)

// crashableEngines are the engines of a testbed, with others in place of those that have
// crashed. Only their phase calls the methods, except crash.
type crashableEngines struct {
	testbed *testbed
	// name begins the IDs of the engines that replace others.
	name string
	// behave responds to a request; it calls crash if the request crashes the engine.
	behave func(b *backend, r platformtest.ReceivedRequest) platformtest.Behaviour
	// dark is set if engines go dark, for good, instead of refusing connections.
	dark    bool
	crashed chan *backend
	live    []*backend
	// pending are the times at which engines replace crashed ones.
	pending []time.Time
	started int
}

func (e *crashableEngines) init() {
	e.crashed = make(chan *backend, 1024)
	for _, b := range e.testbed.backends {
		if !b.gone {
			e.adopt(b)
		}
	}
}

func (e *crashableEngines) adopt(b *backend) {
	b.SetBehaviour(func(r platformtest.ReceivedRequest) platformtest.Behaviour { return e.behave(b, r) })
	if b.service == "models" {
		e.live = append(e.live, b)
	}
}

// random returns one of the live engines, or nil if all have crashed.
func (e *crashableEngines) random(rng *rand.Rand) *backend {
	if len(e.live) == 0 {
		return nil
	}
	return e.live[rng.IntN(len(e.live))]
}

// crash ends an engine: it resets its connections and refuses others, or goes dark.
func (e *crashableEngines) crash(b *backend) platformtest.Behaviour {
	e.crashed <- b
	if !e.dark {
		b.proxy.close()
		return platformtest.Behaviour{Reset: true}
	}
	go func() {
		_ = b.proxy.goDark(true) // fails only if it is closed
		time.Sleep(darkEngineTime)
		b.proxy.close()
	}()
	return platformtest.Behaviour{Silence: &platformtest.Silence{At: platformtest.SilentBeforeHead, Duration: darkEngineTime}}
}

// replace starts the engines that are due and removes the registrations of crashed ones.
func (e *crashableEngines) replace() error {
	for range len(e.crashed) {
		if err := e.remove(<-e.crashed); err != nil {
			return err
		}
	}
	for len(e.pending) > 0 && time.Now().After(e.pending[0]) {
		e.pending = e.pending[1:]
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

func (e *crashableEngines) remove(b *backend) error {
	for i, other := range e.live {
		if other == b {
			e.live = append(e.live[:i:i], e.live[i+1:]...)
			b.gone = true
			e.pending = append(e.pending, time.Now().Add(engineRestartTime))
			if e.dark {
				time.AfterFunc(darkRegisteredTime, func() { _ = e.testbed.store.Remove("servers", b.ID) })
				return nil
			}
			return e.testbed.store.Remove("servers", b.ID)
		}
	}
	return nil // it crashed at two requests
}

// replaceAll starts the engines that are still away.
func (e *crashableEngines) replaceAll() error {
	for i := range e.pending {
		e.pending[i] = time.Time{}
	}
	if err := e.replace(); err != nil {
		return err
	}
	for i := range e.pending {
		e.pending[i] = time.Time{}
	}
	return e.replace()
}

func (e *crashableEngines) start() error {
	e.started++
	b, err := e.testbed.addBackend(fmt.Sprintf("%s-%d", e.name, e.started), "models", eventsPerStream)
	if err != nil {
		return err
	}
	e.adopt(b)
	return nil
}
