package main

import (
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/bench/naive"
	"gentiantide.example/gentiantide/bench/standin/engine"
	"gentiantide.example/gentiantide/bench/standin/fleet"
	"gentiantide.example/gentiantide/bench/standin/objects"
	"gentiantide.example/gentiantide/bench/standin/plain"
	"gentiantide.example/gentiantide/bench/standin/table"
	"gentiantide.example/gentiantide/bench/standin/weights"
)

// crashStatus is the exit status of an engine after a crash fault.
const crashStatus = 3

func commands() []subcommands.Command {
	return []subcommands.Command{
		tableCommand(), objectsCommand(), weightsCommand(), fleetCommand(), engineCommand(), plainCommand(),
		naiveCommand(),
	}
}

func tableCommand() subcommands.Command {
	p := table.DefaultParams()
	return &command{
		name: "table", synopsis: "transactional table service",
		flags: func(f *flag.FlagSet) {
			storeFlags(f, "transactions", &p.Seed, &p.WritesPerSecond, &p.ReadsPerSecond, &p.MaxWait)
		},
		handler: func() (http.Handler, func()) { return table.New(p), nil },
	}
}

func objectsCommand() subcommands.Command {
	p := objects.DefaultParams()
	return &command{
		name: "objects", synopsis: "object store",
		flags: func(f *flag.FlagSet) {
			storeFlags(f, "writes", &p.Seed, &p.WritesPerSecond, &p.ReadsPerSecond, &p.MaxWait)
		},
		handler: func() (http.Handler, func()) { return objects.New(p), nil },
	}
}

func weightsCommand() subcommands.Command {
	p := weights.DefaultParams()
	return &command{
		name: "weights", synopsis: "weight store with a rate limit",
		flags: func(f *flag.FlagSet) {
			f.Int64Var(&p.Size, "size", p.Size, "size of a model version in bytes")
			f.Float64Var(&p.Rate, "rate", p.Rate, "total bytes per second, 0 for no limit")
			f.Var((*listFlag)(&p.Models), "models", "comma-separated models that exist, as model@version; all exist if empty")
		},
		handler: func() (http.Handler, func()) { return weights.New(p), nil },
	}
}

func fleetCommand() subcommands.Command {
	p := fleet.DefaultParams()
	return &command{
		name: "fleet", synopsis: "fleet list that shows changes after a lag",
		flags: func(f *flag.FlagSet) {
			f.DurationVar(&p.Lag, "lag", p.Lag, "age of the list")
		},
		handler: func() (http.Handler, func()) { return fleet.New(p), nil },
	}
}

func plainCommand() subcommands.Command {
	p := plain.DefaultParams()
	return &command{
		name: "plain", synopsis: "plain service with non-idempotent calls",
		flags: func(f *flag.FlagSet) {
			f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of the random faults")
			f.DurationVar(&p.CallDuration, "time", p.CallDuration, "duration of a call")
			f.IntVar(&p.Slots, "slots", p.Slots, "maximum number of concurrent calls")
		},
		handler: func() (http.Handler, func()) { return plain.New(p), nil },
	}
}

func engineCommand() subcommands.Command {
	p := engine.DefaultParams()
	return &command{
		name: "engine", synopsis: "model engine with continuous batching",
		flags: func(f *flag.FlagSet) { engineFlags(f, &p) },
		handler: func() (http.Handler, func()) {
			server := engine.NewServer(p)
			server.Exit = func() { os.Exit(crashStatus) }
			return server, server.Close
		},
	}
}

func naiveCommand() subcommands.Command {
	var backends listFlag
	return &command{
		name: "naive", synopsis: "naive round-robin proxy, as a baseline for comparison",
		flags: func(f *flag.FlagSet) {
			f.Var(&backends, "backends", "comma-separated base URLs of the backend servers")
		},
		handler: func() (http.Handler, func()) {
			proxy := naive.New(backends)
			return proxy, proxy.Close
		},
	}
}

// storeFlags are those of a store with rate limits. writes is what it calls its writes.
func storeFlags(f *flag.FlagSet, writes string, seed *uint64, writesPerSecond, readsPerSecond *float64, maxWait *time.Duration) {
	f.Uint64Var(seed, "seed", *seed, "seed of the random faults")
	f.Float64Var(writesPerSecond, "writes", *writesPerSecond, writes+" per second, 0 for no limit")
	f.Float64Var(readsPerSecond, "reads", *readsPerSecond, "reads per second, 0 for no limit")
	f.DurationVar(maxWait, "max-wait", *maxWait, "how long calls above the rate limit may wait")
}

func engineFlags(f *flag.FlagSet, p *engine.Params) {
	f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of the random faults")
	f.DurationVar(&p.StepBase, "step-base", p.StepBase, "base time of a step")
	f.DurationVar(&p.StepPerSequence, "step-per-sequence", p.StepPerSequence, "step time per running sequence")
	f.DurationVar(&p.StepPerContext, "step-per-context", p.StepPerContext, "step time per 1,000 tokens of context")
	f.DurationVar(&p.PrefillPerToken, "prefill-per-token", p.PrefillPerToken, "step time per prompt token that is not cached")
	f.IntVar(&p.Slots, "slots", p.Slots, "maximum number of running sequences")
	f.IntVar(&p.MaxWaiting, "max-waiting", p.MaxWaiting, "maximum number of waiting requests")
	f.IntVar(&p.KVTokens, "kv-tokens", p.KVTokens, "size of the KV cache in tokens")
	f.IntVar(&p.CacheBlocks, "cache-blocks", p.CacheBlocks, "size of the prefix cache in blocks of 16 tokens")
	f.DurationVar(&p.LoadLag, "load-lag", p.LoadLag, "age of the load report")
	f.DurationVar(&p.EventLag, "event-lag", p.EventLag, "delay with which cache events are published")
	f.Float64Var(&p.EventLoss, "event-loss", p.EventLoss, "share of cache events that are lost")
	f.IntVar(&p.DefaultTokens, "default-tokens", p.DefaultTokens, "mean output length in tokens of requests without max_tokens")
	f.IntVar(&p.LongOneIn, "long-one-in", p.LongOneIn, "one in this many prompts gets a long output, 0 for none")
	f.IntVar(&p.LongFactor, "long-factor", p.LongFactor, "factor by which a long output is longer")
	f.Var((*listFlag)(&p.Models), "models", "comma-separated models loaded at the start, as model@version; all are served if empty")
	f.StringVar(&p.Role, "role", p.Role, "role that the load report states")
	f.StringVar(&p.WeightsURL, "weights", p.WeightsURL, "URL of the weight store")
	f.DurationVar(&p.LoadTime, "load-time", p.LoadTime, "time to load a model if there is no weight store")
	f.BoolVar(&p.IgnoreFencing, "ignore-fencing", p.IgnoreFencing, "execute orders with an old fencing number")
}
