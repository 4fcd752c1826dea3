// Package rapidseed makes the property-based tests of package rapid reproducible: it
// fixes the random seed, so that every run checks the same cases.
package rapidseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seedFlag is rapid's flag for the random seed.
const seedFlag = "rapid.seed"

// defaultSeed applies if neither the command line nor the package sets a seed.
const defaultSeed = "20261204"

// checksFlag is rapid's flag for the number of cases of a property.
const checksFlag = "rapid.checks"

// onCommandLine holds the names of the flags that the command line sets.
var onCommandLine = map[string]bool{}

// SetChecks sets the number of cases of the properties of one test, unless the command line
// sets one.
func SetChecks(t testing.TB, checks int) {
	if onCommandLine[checksFlag] {
		return
	}
	before := flag.Lookup(checksFlag).Value.String()
	setFlag(checksFlag, strconv.Itoa(checks))
	t.Cleanup(func() { setFlag(checksFlag, before) })
}

// setFlag panics if a flag is not defined or the value is invalid.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// Main runs the tests of a package with a fixed seed, unless the command line sets
// one, and exits the process. Call it from TestMain.
func Main(m *testing.M) { MainWith(m, nil) }

// MainWith is Main with additional flags of rapid, by name. Flags on the command line
// take precedence. MainWith panics if a flag is not defined.
func MainWith(m *testing.M, flags map[string]string) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { onCommandLine[f.Name] = true })
	set := func(name, value string) {
		if onCommandLine[name] {
			return
		}
		setFlag(name, value)
	}
	if _, hasSeed := flags[seedFlag]; !hasSeed {
		set(seedFlag, defaultSeed)
	}
	for name, value := range flags {
		set(name, value)
	}
	os.Exit(m.Run())
}
