// Command soak runs nodes as processes under random faults, or with planned work only,
// and checks the guarantees to callers. See package soak.
package main

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"gentiantide.example/gentiantide/bench/soak"
)

// command holds the flags.
type command struct {
	binary, keepDir        string
	nodes                  int
	faultTime, plannedTime time.Duration
	planned, dark          bool
	keepLogsOfAll          bool
}

func main() {
	var c command
	flag.StringVar(&c.binary, "binary", "bin/gentiantided", "path of the node daemon")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the first run")
	runs := flag.Int("runs", 1, "number of runs; each run adds 1 to the seed")
	flag.IntVar(&c.nodes, "nodes", 0, "number of nodes, 0 for the default")
	flag.DurationVar(&c.faultTime, "faults", 0, "how long faults are injected, 0 for the default")
	flag.BoolVar(&c.planned, "planned", false, "planned work only, without faults")
	flag.BoolVar(&c.dark, "dark", false, "engines go dark at requests that crash them, instead of refusing connections")
	flag.DurationVar(&c.plannedTime, "planned-time", 0, "how long planned work is done, 0 for the default")
	flag.BoolVar(&c.keepLogsOfAll, "keep", false, "keep the logs of all runs, not only of failed ones")
	flag.StringVar(&c.keepDir, "dir", os.TempDir(), "directory in which the logs of failed runs are kept")
	flag.Parse()
	failed := 0
	for i := range *runs {
		if !c.run(*seed + uint64(i)) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", *runs-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// options returns the options of a run.
func (c *command) options(dir string, seed uint64) soak.Options {
	o := soak.DefaultOptions(c.binary, dir, seed)
	o.Dark = c.dark
	if c.nodes > 0 {
		o.Nodes = c.nodes
	}
	if c.faultTime > 0 {
		o.FaultDuration = c.faultTime
	}
	if c.plannedTime > 0 {
		o.PlannedDuration = c.plannedTime
	}
	return o
}

// run makes one run and keeps its logs if it failed.
func (c *command) run(seed uint64) bool {
	dir := filepath.Join(c.keepDir, "soak-"+strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	start := soak.Run
	if c.planned {
		start = soak.RunPlanned
	}
	report, err := start(c.options(dir, seed))
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: seed %d: %v (logs in %s)\n", seed, err, dir)
		return false
	}
	fmt.Printf("seed %d: %d of %d requests served, %d jobs, %d guarantees broken\n", seed, report.Served, report.Sent, report.Jobs, len(report.Violations))
	for _, what := range slices.Sorted(maps.Keys(report.Counts)) {
		fmt.Printf("   %s: %d\n", what, report.Counts[what])
	}
	for _, v := range report.Violations {
		fmt.Println("  ", v)
	}
	if len(report.Violations) > 0 {
		fmt.Println("   logs in", dir)
		return false
	}
	if c.keepLogsOfAll {
		return true
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	return true
}
