// Command capacity measures how the cost of each role of a node grows with the
// quantities that determine it, such as nodes, replicas and items. It runs on
// loopback, takes less than five minutes and prints one line for each slope.
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
	binDir := flag.String("bin", "bin", "directory of the programs gentiantided and standin")
	roleList := flag.String("only", "", "comma-separated roles to measure; all if empty")
	flag.Parse()
	os.Exit(run(*binDir, *roleList))
}

func run(binDir, roleList string) int {
	dir, err := os.MkdirTemp("", "gentiantide-capacity-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	startedAt, status := time.Now(), 0
	fmt.Printf("machine cores=%d go=%s\n", runtime.NumCPU(), runtime.Version())
	env := &roles.Environment{Print: &slope.Printer{Out: os.Stdout}, BinDir: binDir, WorkDir: dir}
	for _, r := range roles.All() {
		if roleList != "" && !slices.Contains(strings.Split(roleList, ","), r.Name) {
			continue
		}
		start := time.Now()
		if err := r.Measure(env); err != nil {
			fmt.Fprintf(os.Stderr, "cannot measure role %s: %v\n", r.Name, err)
			status = 1
		}
		fmt.Printf("role=%s took=%.1fs\n", r.Name, time.Since(start).Seconds())
	}
	fmt.Printf("took=%.0fs\n", time.Since(startedAt).Seconds())
	if status == 0 {
		_ = os.RemoveAll(dir)
	}
	return status
}
