// Package fixedseed sets a fixed random seed for property tests, so that CI runs
// the same cases each time. Test files import it for its side effect. The flag
// -rapid.seed overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the flag is registered by the import above
	}
}
