package control

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// repeatPlans requests plans, repeats the requests and draws leader changes and
// decisions in between. It reports whether each key had one plan throughout.
func repeatPlans(t *rapid.T, change func(*guards)) bool {
	f := newFixture()
	for _, s := range f.states {
		if change != nil {
			change(&s.guards)
		}
	}
	first := make(map[string]api.PlanID)
	for range rapid.IntRange(1, 20).Draw(t, "calls") {
		key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
		in := api.Intent{Services: []api.Service{{Name: key}}}
		response, err := f.service().plan(ctx, api.PlanRequest{Operator: "amal", Intent: in, Key: key})
		id, known := first[key]
		if err != nil || (known && id != response.Plan.ID) {
			return false
		}
		first[key] = response.Plan.ID
		switch rapid.IntRange(0, 3).Draw(t, "then") {
		case 0:
			f.elect(rapid.IntRange(0, 2).Draw(t, "leader"))
		case 1:
			_, _ = f.service().decide(noWait(), api.DecideRequest{Operator: "amal", Plan: response.Plan.ID, Confirm: true})
		}
	}
	return true
}

func TestRepeatedIntentGetsItsPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.True(t, repeatPlans(t, nil))
	})
}

func TestRepeatCheckCatchesMissingKeyLookup(t *testing.T) {
	caught := false
	rapid.Check(t, func(t *rapid.T) {
		withoutLookup := func(g *guards) {
			g.planRecorded = func(*tx, string) (api.Plan, bool) { return api.Plan{}, false }
		}
		caught = !repeatPlans(t, withoutLookup) || caught
	})
	require.True(t, caught)
}

func TestPlanKeyIsNotReused(t *testing.T) {
	f := newFixture()
	request := api.PlanRequest{
		Operator: "amal", Key: "k",
		Intent: api.Intent{Accounts: []api.Account{{ID: "a", KeyHashes: []string{digest}}}},
	}
	_, err := f.service().plan(ctx, request)
	require.NoError(t, err)
	request.Intent.Accounts[0].Class = 2
	_, err = f.service().plan(ctx, request)
	require.Equal(t, errs.Invalid, errs.CodeOf(err), "%v", err)
}
