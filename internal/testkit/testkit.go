// Package testkit fixes the seed and the number of cases of property tests, so that
// their results are reproducible.
package testkit

import (
	"flag"
	"os"
	"testing"
)

// Environment variables that configure property tests.
const (
	// EnvSeed is the seed of rapid, an integer above 0; 1 if unset.
	EnvSeed = "CROCUSWAY_FUZZ_SEED"
	// EnvChecks is the number of cases of each property; 100 if unset.
	EnvChecks = "CROCUSWAY_FUZZ_CHECKS"
)

// Main runs the tests of a package with fixed rapid settings. Call it from
// TestMain in every package that uses rapid.
func Main(m *testing.M) {
	Configure()
	os.Exit(m.Run())
}

// Configure fixes the rapid settings. Call it from a TestMain that does not use
// Main.
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
