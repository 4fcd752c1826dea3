// Package rapidseed gives property tests the same cases in every run.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// seed is that of every run whose command line gives none.
const seed = "20261204"

// Main runs a package's tests with a fixed seed of rapid, unless the command line
// gives one. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", seed) // the flag is rapid's own
	}
	os.Exit(m.Run())
}
