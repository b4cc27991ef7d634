package main

import (
	"fmt"
	"os"
)

// testCase is a case on a site. run returns whether the rule held.
type testCase struct {
	site site
	run  func(w *world, trouble bool) (held bool, err error)
}

var cases = map[string]testCase{
	"dark":    {permits, darkRequest},
	"moved":   {permits, movedStore},
	"part":    {permits, crashingPart},
	"readers": {licences, slowReaders},
	"tally":   {permits, lostTally},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(cases[os.Args[1]].site, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	held, err := cases[os.Args[1]].run(w, trouble)
	w.close()
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case !held:
		w.note("result: the rule was broken")
		os.Exit(1)
	}
	w.note("result: the rule held")
}
