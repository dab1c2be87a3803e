// Package testkit is shared by the tests: it fixes the seed and the length of
// property tests, so that a run gives the same verdict every time.
package testkit

import (
	"flag"
	"os"
	"testing"
)

// Environment variables that lengthen property tests.
const (
	// EnvSeed is the seed of rapid, a whole number above 0; unset stands for 1.
	EnvSeed = "CROCUSWAY_FUZZ_SEED"
	// EnvChecks is the number of cases of each property; unset stands for 100.
	EnvChecks = "CROCUSWAY_FUZZ_CHECKS"
)

// Main runs the tests of a package with fixed rapid settings. Call it from
// TestMain in every package that uses rapid.
func Main(m *testing.M) {
	Configure()
	os.Exit(m.Run())
}

// Configure fixes the rapid settings. Call it from a TestMain that runs the
// tests by other means than Main.
func Configure() {
	flag.Parse()
	setFlag("rapid.seed", EnvSeed, "1")
	setFlag("rapid.checks", EnvChecks, "100")
	setFlag("rapid.nofailfile", "", "true")
}

func setFlag(name, env, fallback string) {
	value := fallback
	if set := os.Getenv(env); env != "" && set != "" {
		value = set
	}
	if flag.Lookup(name) == nil {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
