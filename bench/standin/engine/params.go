package engine

import "time"

// Params configures an engine.
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

	// Slots is the maximum number of running sequences.
	Slots int
	// MaxWaiting is the capacity of the FIFO queue. Further requests are refused.
	MaxWaiting int
	// KVTokens is the size of the KV cache in tokens. A running sequence
	// reserves memory for its prompt and its whole output.
	KVTokens int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens.
	CacheBlocks int

	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// EventLag is the delay before a cache event is published, and EventLoss
	// the probability that it is never published.
	EventLag  time.Duration
	EventLoss float64

	// DefaultTokens is the mean output length of requests without max_tokens.
	// For one in LongOneIn prompts (0: none) it is multiplied by LongFactor.
	DefaultTokens int
	LongOneIn     int
	LongFactor    int

	// Models are the models loaded at the start, as "model@version" or
	// "model@version+adapter". If there are none, every model is served.
	Models []string
	Role   string
	// WeightsURL is the base URL of the weight store from which models are
	// loaded. If it is empty, loading takes LoadTime.
	WeightsURL string
	LoadTime   time.Duration
	// IgnoreFencing makes the engine execute orders with an old fencing number.
	IgnoreFencing bool
}

// DefaultParams returns the parameters of a small engine: about 1,600 tokens/s
// with 32 running sequences.
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
