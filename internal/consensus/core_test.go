package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type simDuration = time.Duration

func TestCoreKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		r := rand.New(rand.NewPCG(seed, 0))
		steps := rapid.IntRange(50, 300).Draw(rt, "steps")
		if _, err := simulate(faultNone, r.IntN, steps); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestSimulationReachesItsFaults guards the property test against runs in which
// nothing happens.
func TestSimulationReachesItsFaults(t *testing.T) {
	total := map[string]int{}
	for run := range uint64(200) {
		s, err := simulate(faultNone, rand.New(rand.NewPCG(run, 0)).IntN, 200)
		require.NoError(t, err)
		for what, n := range s.oracle.seen {
			total[what] += n
		}
	}
	for _, what := range []string{
		"elected", "acknowledged", "read served", "read failed", "disk lost", "snapshot installed",
		"2 voters of 3 members", "3 voters of 4 members", "5 voters of 5 members",
	} {
		require.Positive(t, total[what], "%s: %v", what, total)
	}
	t.Log(total)
}
