// Command soak runs nodes as processes under random faults and checks the
// guarantees to callers. See package soak.
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

func main() {
	binary := flag.String("binary", "bin/gentiantided", "path of the node daemon")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the first run")
	runs := flag.Int("runs", 1, "number of runs; each run adds 1 to the seed")
	nodes := flag.Int("nodes", 0, "number of nodes, 0 for the default")
	faultDuration := flag.Duration("faults", 0, "how long faults are injected, 0 for the default")
	planned := flag.Bool("planned", false, "planned work only, without faults")
	plannedDuration := flag.Duration("planned-time", 0, "how long planned work is done, 0 for the default")
	keep := flag.Bool("keep", false, "keep the logs of all runs")
	keepDir := flag.String("dir", os.TempDir(), "directory in which the logs of failed runs are kept")
	flag.Parse()
	failed := 0
	for i := range *runs {
		if !run(*binary, *seed+uint64(i), *nodes, *faultDuration, *planned, *plannedDuration, *keepDir, *keep) {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", *runs-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// run makes one run and keeps its logs if it failed.
func run(binary string, seed uint64, nodes int, faultDuration time.Duration, planned bool, plannedDuration time.Duration, keepDir string, keep bool) bool {
	dir := filepath.Join(keepDir, "soak-"+strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	options := soak.DefaultOptions(binary, dir, seed)
	if nodes > 0 {
		options.Nodes = nodes
	}
	if faultDuration > 0 {
		options.FaultDuration = faultDuration
	}
	if plannedDuration > 0 {
		options.PlannedDuration = plannedDuration
	}
	start := soak.Run
	if planned {
		start = soak.RunPlanned
	}
	report, err := start(options)
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
	if keep {
		return true
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
	return true
}
