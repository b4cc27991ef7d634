// Package fixedseed gives the property tests of a package the same random
// choices in each run, so that CI gives the same verdict each time. Test files
// import it for its side effect. The flag -rapid.seed overrides it.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the flag is registered by the import above
	}
}
