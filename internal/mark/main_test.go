package mark_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
