package engine

import "time"

// Params are the fixed properties of an engine.
type Params struct {
	Seed uint64

	// A step produces one token for each running sequence. It takes
	// StepBase + StepPerSequence for each running sequence + StepPerContext
	// for each 1,000 tokens of their contexts + PrefillPerToken for each
	// prompt token of newly admitted sequences that is not cached.
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerContext  time.Duration
	PrefillPerToken time.Duration

	// Slots is the largest number of running sequences.
	Slots int
	// MaxWaiting is the length of the FIFO queue; requests beyond are refused.
	MaxWaiting int
	// KVTokens is the KV cache memory in tokens. A sequence holds its prompt
	// and its longest answer while it runs.
	KVTokens int
	// CacheBlocks bounds the prefix cache, in blocks of BlockTokens.
	CacheBlocks int

	// LoadLag is how old the load report is.
	LoadLag time.Duration
	// EventLag is how late cache events are published, and EventLoss the share
	// of them that never is.
	EventLag  time.Duration
	EventLoss float64

	// DefaultTokens is the mean answer length of requests without max_tokens.
	// One in LongOneIn prompts (0: none) has an answer LongFactor times longer.
	DefaultTokens int
	LongOneIn     int
	LongFactor    int

	// Models are loaded at the start, as "model@version" or
	// "model@version+adapter". Without any, every model is served.
	Models []string
	Role   string
	// WeightsURL is the weight store from which models are loaded. Without it
	// loading takes LoadTime.
	WeightsURL string
	LoadTime   time.Duration
	// IgnoreFencing makes the engine execute orders with an old fencing number.
	IgnoreFencing bool
}

// DefaultParams returns a small engine: about 1,600 tokens/s at 32 sequences.
func DefaultParams() Params {
	return Params{
		Seed:            1,
		StepBase:        10 * time.Millisecond,
		StepPerSequence: 300 * time.Microsecond,
		StepPerContext:  20 * time.Microsecond,
		PrefillPerToken: 50 * time.Microsecond,
		Slots:           32,
		MaxWaiting:      1024,
		KVTokens:        200_000,
		CacheBlocks:     4096,
		LoadLag:         500 * time.Millisecond,
		EventLag:        time.Second,
		EventLoss:       0.02,
		DefaultTokens:   32,
		LongOneIn:       20,
		LongFactor:      20,
		LoadTime:        2 * time.Second,
	}
}
