package consensus

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type simDuration = time.Duration

// simSteps is the average number of actions of one property run.
const simSteps = "150"

func TestCoreInvariants(t *testing.T) {
	require.NoError(t, flag.Set("rapid.steps", simSteps))
	rapid.Check(t, func(rt *rapid.T) {
		must := func(err error) {
			if err != nil {
				rt.Fatal(err)
			}
		}
		// rapid prefers small numbers, so each draw only seeds a uniform generator;
		// a run still shrinks by dropping actions.
		drawn := uint64(0)
		draw := func() func(n int) int {
			drawn++
			return rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), drawn)).IntN
		}
		choose := draw()
		s := newSim(faultNone, simVoters+2*choose(2), choose)
		must(s.run(60))
		actions := weightedActions()
		rt.Repeat(map[string]func(*rapid.T){
			"act": func(rt *rapid.T) {
				s.choose = draw()
				a := actions[s.choose(len(actions))]
				rt.Log(a.name)
				must(a.do(s))
			},
		})
		must(s.heal())
	})
}

// TestSimulationCoversFaults guards the property test against runs in which
// nothing happens.
func TestSimulationCoversFaults(t *testing.T) {
	total := map[string]int{}
	for run := range uint64(200) {
		s, err := simulate(faultNone, rand.New(rand.NewPCG(run, 0)).IntN, 200)
		require.NoError(t, err)
		for what, n := range s.oracle.eventCounts {
			total[what] += n
		}
	}
	for _, what := range []string{
		"elected", "acknowledged", "read served", "read failed", "disk lost", "snapshot installed", "transfer", "bootstrap refused",
		"2 voters of 3 members", "3 voters of 4 members", "5 voters of 5 members",
	} {
		require.Positive(t, total[what], "%s: %v", what, total)
	}
	t.Log(total)
}
