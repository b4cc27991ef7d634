package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/bench/measure/env"
	"gentiantide.example/gentiantide/bench/measure/figures"
)

// bench is the subcommand that measures the figures on the shape of each user, that
// is the size of its fleet and its workload.
type bench struct {
	binDir, figureList, shape string
	short, keepLogs           bool

	dir    string
	failed bool
}

// Name implements subcommands.Command.
func (*bench) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*bench) Synopsis() string {
	return "measure the figures on the shapes (fleet size and workload) of the users"
}

// Usage implements subcommands.Command.
func (*bench) Usage() string {
	return "bench [-only NAME[,NAME]] [-shape NAME] [-short] [-keep]\n  Prints one line for each figure.\n"
}

// SetFlags implements subcommands.Command.
func (b *bench) SetFlags(f *flag.FlagSet) {
	f.StringVar(&b.binDir, "bin", "bin", "directory of the programs gentiantided and standin")
	f.StringVar(&b.figureList, "only", "", "comma-separated figures to measure; all if empty")
	f.StringVar(&b.shape, "shape", "", "measure only on this shape")
	f.BoolVar(&b.short, "short", false, "halve the duration of each measured condition, for quick runs during development")
	f.BoolVar(&b.keepLogs, "keep", false, "keep the logs")
}

// Execute implements subcommands.Command.
func (b *bench) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	selected, usageError := b.selected()
	shapes := b.shapes()
	if f.NArg() > 0 || usageError != "" || len(shapes) == 0 {
		fmt.Fprintln(os.Stderr, usageError)
		f.Usage()
		return subcommands.ExitUsageError
	}
	dir, err := os.MkdirTemp("", "gentiantide-bench-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	b.dir = dir
	start := time.Now()
	for _, s := range shapes {
		b.run(ctx, s, selected)
	}
	fmt.Printf("note=end seconds=%.0f\n", time.Since(start).Seconds())
	if b.keepLogs || b.failed {
		fmt.Println("note=logs directory=" + dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	if b.failed {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// selected returns the figures that -only names, or all if it is empty. A figure
// that does not exist is a usage error.
func (b *bench) selected() (chosen []figures.Figure, usageError string) {
	all := figures.All()
	if b.figureList == "" {
		return all, ""
	}
	names := strings.Split(b.figureList, ",")
	for _, name := range names {
		if !slices.ContainsFunc(all, func(f figures.Figure) bool { return slices.Contains(f.Measures, name) }) {
			return nil, "unknown figure " + name
		}
	}
	for _, f := range all {
		if slices.ContainsFunc(names, func(name string) bool { return slices.Contains(f.Measures, name) }) {
			chosen = append(chosen, f)
		}
	}
	return chosen, ""
}

// shapes returns the shape that -shape names, or all if it is empty.
func (b *bench) shapes() []env.Shape {
	all := env.Shapes()
	if b.shape == "" {
		return all
	}
	return slices.DeleteFunc(all, func(s env.Shape) bool { return s.Name != b.shape })
}

// run measures the figures on one shape. A figure that cannot be measured is
// reported and does not stop the others.
func (b *bench) run(ctx context.Context, s env.Shape, selected []figures.Figure) {
	dir := filepath.Join(b.dir, s.Name)
	if err := os.Mkdir(dir, 0o755); err != nil {
		b.reportFailure("start", s, err)
		return
	}
	e, err := env.Start(env.Options{BinDir: b.binDir, WorkDir: dir, Shape: s, Short: b.short})
	if err != nil {
		b.reportFailure("start", s, err)
		return
	}
	defer e.Close()
	for _, f := range selected {
		watch := e.StartMonitor()
		lines, err := f.Run(ctx, e)
		for _, line := range lines {
			fmt.Println(line)
		}
		if err != nil {
			b.reportFailure(strings.Join(f.Measures, ","), s, err)
			if err := e.Reset(ctx); err != nil {
				b.reportFailure("reset", s, err)
			}
		}
		fmt.Println(watch.Note(f.Measures[0]))
	}
}

// reportFailure prints that a step or a measurement failed on a shape.
func (b *bench) reportFailure(step string, s env.Shape, err error) {
	b.failed = true
	fmt.Printf("note=failed measure=%s shape=%s error=%q\n", step, s.Name, err.Error())
}
