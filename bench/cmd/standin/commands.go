package main

import (
	"flag"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/bench/naive"
	"gentiantide.example/gentiantide/bench/standin/engine"
	"gentiantide.example/gentiantide/bench/standin/fleet"
	"gentiantide.example/gentiantide/bench/standin/objects"
	"gentiantide.example/gentiantide/bench/standin/plain"
	"gentiantide.example/gentiantide/bench/standin/table"
	"gentiantide.example/gentiantide/bench/standin/weights"
)

// crashStatus is the exit status of an engine on a commanded crash.
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
			f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of the faults")
			f.Float64Var(&p.WritesPerSecond, "writes", p.WritesPerSecond, "transactions per second, 0 for no limit")
			f.Float64Var(&p.ReadsPerSecond, "reads", p.ReadsPerSecond, "reads per second, 0 for no limit")
			f.DurationVar(&p.MaxWait, "max-wait", p.MaxWait, "how long excess calls wait")
		},
		handler: func() (http.Handler, func()) { return table.New(p), nil },
	}
}

func objectsCommand() subcommands.Command {
	p := objects.DefaultParams()
	return &command{
		name: "objects", synopsis: "object store",
		flags: func(f *flag.FlagSet) {
			f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of the faults")
			f.Float64Var(&p.WritesPerSecond, "writes", p.WritesPerSecond, "writes per second, 0 for no limit")
			f.Float64Var(&p.ReadsPerSecond, "reads", p.ReadsPerSecond, "reads per second, 0 for no limit")
			f.DurationVar(&p.MaxWait, "max-wait", p.MaxWait, "how long excess calls wait")
		},
		handler: func() (http.Handler, func()) { return objects.New(p), nil },
	}
}

func weightsCommand() subcommands.Command {
	p := weights.DefaultParams()
	return &command{
		name: "weights", synopsis: "weight store with a limited rate",
		flags: func(f *flag.FlagSet) {
			f.Int64Var(&p.Size, "size", p.Size, "size of a model version in bytes")
			f.Float64Var(&p.Rate, "rate", p.Rate, "total bytes per second, 0 for no limit")
			f.Var((*listFlag)(&p.Models), "models", "models that exist as model@version, separated by commas; none: all exist")
		},
		handler: func() (http.Handler, func()) { return weights.New(p), nil },
	}
}

func fleetCommand() subcommands.Command {
	p := fleet.DefaultParams()
	return &command{
		name: "fleet", synopsis: "fleet list that lags",
		flags: func(f *flag.FlagSet) {
			f.DurationVar(&p.Lag, "lag", p.Lag, "how old the list is")
		},
		handler: func() (http.Handler, func()) { return fleet.New(p), nil },
	}
}

func plainCommand() subcommands.Command {
	p := plain.DefaultParams()
	return &command{
		name: "plain", synopsis: "plain service with calls that must not be repeated",
		flags: func(f *flag.FlagSet) {
			f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of the faults")
			f.DurationVar(&p.Time, "time", p.Time, "duration of a call")
			f.IntVar(&p.Slots, "slots", p.Slots, "calls that run at once")
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
		name: "naive", synopsis: "naive proxy, for comparison",
		flags: func(f *flag.FlagSet) {
			f.Var(&backends, "backends", "base URLs of the backend servers, separated by commas")
		},
		handler: func() (http.Handler, func()) {
			proxy := naive.New(backends)
			return proxy, proxy.Close
		},
	}
}

func engineFlags(f *flag.FlagSet, p *engine.Params) {
	f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of the faults")
	f.DurationVar(&p.StepBase, "step-base", p.StepBase, "fixed time of a step")
	f.DurationVar(&p.StepPerSequence, "step-per-sequence", p.StepPerSequence, "step time for each running sequence")
	f.DurationVar(&p.StepPerContext, "step-per-context", p.StepPerContext, "step time for each 1,000 tokens of context")
	f.DurationVar(&p.PrefillPerToken, "prefill-per-token", p.PrefillPerToken, "step time for each prompt token that is not cached")
	f.IntVar(&p.Slots, "slots", p.Slots, "running sequences at most")
	f.IntVar(&p.MaxWaiting, "max-waiting", p.MaxWaiting, "waiting requests at most")
	f.IntVar(&p.KVTokens, "kv-tokens", p.KVTokens, "KV cache memory in tokens")
	f.IntVar(&p.CacheBlocks, "cache-blocks", p.CacheBlocks, "prefix cache in blocks of 16 tokens")
	f.DurationVar(&p.LoadLag, "load-lag", p.LoadLag, "age of the load report")
	f.DurationVar(&p.EventLag, "event-lag", p.EventLag, "age at which cache events are published")
	f.Float64Var(&p.EventLoss, "event-loss", p.EventLoss, "share of cache events that are lost")
	f.IntVar(&p.DefaultTokens, "default-tokens", p.DefaultTokens, "mean answer length without max_tokens")
	f.IntVar(&p.LongOneIn, "long-one-in", p.LongOneIn, "one in this many prompts has a long answer, 0 for none")
	f.IntVar(&p.LongFactor, "long-factor", p.LongFactor, "how many times longer a long answer is")
	f.Var((*listFlag)(&p.Models), "models", "models loaded at the start as model@version, separated by commas; none: all are served")
	f.StringVar(&p.Role, "role", p.Role, "role in the load report")
	f.StringVar(&p.WeightsURL, "weights", p.WeightsURL, "URL of the weight store")
	f.DurationVar(&p.LoadTime, "load-time", p.LoadTime, "time to load a model without a weight store")
	f.BoolVar(&p.IgnoreFencing, "ignore-fencing", p.IgnoreFencing, "execute orders with an old fencing number")
}
