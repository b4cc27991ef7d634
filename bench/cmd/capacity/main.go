// Command capacity measures how the cost of each role grows with the numbers
// of the design's table, on loopback and within five minutes, and prints one
// line for each slope.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"gentiantide.example/gentiantide/bench/capacity/roles"
	"gentiantide.example/gentiantide/bench/capacity/slope"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the programs gentiantided and standin")
	only := flag.String("only", "", "roles to measure, separated by commas; empty: all")
	flag.Parse()
	os.Exit(run(*bin, *only))
}

func run(bin, only string) int {
	dir, err := os.MkdirTemp("", "gentiantide-capacity-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	began, status := time.Now(), 0
	fmt.Printf("machine cores=%d go=%s\n", runtime.NumCPU(), runtime.Version())
	c := &roles.Context{Print: &slope.Printer{Out: os.Stdout}, BinDir: bin, WorkDir: dir}
	for _, r := range roles.All() {
		if only != "" && !slices.Contains(strings.Split(only, ","), r.Name) {
			continue
		}
		start := time.Now()
		if err := r.Measure(c); err != nil {
			fmt.Fprintf(os.Stderr, "%s was not measured: %v\n", r.Name, err)
			status = 1
		}
		fmt.Printf("role=%s took=%.1fs\n", r.Name, time.Since(start).Seconds())
	}
	fmt.Printf("took=%.0fs\n", time.Since(began).Seconds())
	if status == 0 {
		_ = os.RemoveAll(dir)
	}
	return status
}
