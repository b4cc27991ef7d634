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

// bench is the subcommand that measures the figures of both users' shapes.
type bench struct {
	bin, only, shape string
	short, keep      bool

	dir    string
	failed bool
}

// Name implements subcommands.Command.
func (*bench) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*bench) Synopsis() string { return "measure the figures of both users' shapes" }

// Usage implements subcommands.Command.
func (*bench) Usage() string {
	return "bench [-only NAME[,NAME]] [-shape NAME] [-short] [-keep]\n  Prints one line for each figure.\n"
}

// SetFlags implements subcommands.Command.
func (b *bench) SetFlags(f *flag.FlagSet) {
	f.StringVar(&b.bin, "bin", "bin", "directory of the programs gentiantided and standin")
	f.StringVar(&b.only, "only", "", "measure only these figures, separated by commas")
	f.StringVar(&b.shape, "shape", "", "run only this shape")
	f.BoolVar(&b.short, "short", false, "halve the length of the conditions, for work in between")
	f.BoolVar(&b.keep, "keep", false, "keep the logs")
}

// Execute implements subcommands.Command.
func (b *bench) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	selected, problem := b.selected()
	shapes := b.shapes()
	if f.NArg() > 0 || problem != "" || len(shapes) == 0 {
		fmt.Fprintln(os.Stderr, problem)
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
	if b.keep || b.failed {
		fmt.Println("note=logs directory=" + dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	if b.failed {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// selected returns the figures that -only names, all if it names none.
func (b *bench) selected() (chosen []figures.Figure, problem string) {
	all := figures.All()
	if b.only == "" {
		return all, ""
	}
	names := strings.Split(b.only, ",")
	for _, name := range names {
		if !slices.ContainsFunc(all, func(f figures.Figure) bool { return slices.Contains(f.Measures, name) }) {
			return nil, "no figure is named " + name
		}
	}
	for _, f := range all {
		if slices.ContainsFunc(names, func(name string) bool { return slices.Contains(f.Measures, name) }) {
			chosen = append(chosen, f)
		}
	}
	return chosen, ""
}

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
		b.fail("start", s, err)
		return
	}
	e, err := env.Start(env.Options{BinDir: b.bin, WorkDir: dir, Shape: s, Short: b.short})
	if err != nil {
		b.fail("start", s, err)
		return
	}
	defer e.Close()
	for _, f := range selected {
		watch := e.Watch()
		lines, err := f.Run(ctx, e)
		for _, line := range lines {
			fmt.Println(line)
		}
		if err != nil {
			b.fail(strings.Join(f.Measures, ","), s, err)
			if err := e.Reset(ctx); err != nil {
				b.fail("reset", s, err)
			}
		}
		fmt.Println(watch.Note(f.Measures[0]))
	}
}

func (b *bench) fail(what string, s env.Shape, err error) {
	b.failed = true
	fmt.Printf("note=failed measure=%s shape=%s error=%q\n", what, s.Name, err.Error())
}
