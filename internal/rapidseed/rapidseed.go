// Package rapidseed gives property tests the same cases in every run.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

// seedFlag is rapid's flag for the seed of the cases.
const seedFlag = "rapid.seed"

// seed is that of every run whose command line gives none.
const seed = "20261204"

// Main runs a package's tests with a fixed seed of rapid, unless the command line
// gives one. Call it from TestMain.
func Main(m *testing.M) { MainWith(m, nil) }

// MainWith is Main with further flags of rapid, by name; those on the command line
// go first. A name that rapid does not know ends the test run.
func MainWith(m *testing.M, flags map[string]string) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if given[name] {
			return
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	if _, own := flags[seedFlag]; !own {
		set(seedFlag, seed)
	}
	for name, value := range flags {
		set(name, value)
	}
	os.Exit(m.Run())
}
