package region

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// fakeRegion is a region that can lose calls and answers.
type fakeRegion struct {
	plans    []api.Plan
	accepted []api.Plan
	config   api.Revision
	// lost selects what the next calls lose: 'c' the call, 'a' the answer, 0 nothing.
	lost byte
}

var errLost = errs.New(errs.Timeout, "call", "region", "no answer")

func (f *fakeRegion) PlanOnce(in api.Intent, key string) (api.Plan, error) {
	if f.lost == 'c' {
		return api.Plan{}, errLost
	}
	i := slices.IndexFunc(f.plans, func(p api.Plan) bool { return p.Key == key })
	if i < 0 {
		i = len(f.plans)
		f.plans = append(f.plans, api.Plan{ID: api.PlanID(i + 1), Key: key, Base: f.config, State: api.PlanPending, Intent: in})
	}
	plan := f.plans[i]
	if f.lost == 'a' {
		return api.Plan{}, errLost
	}
	return plan, nil
}

func (f *fakeRegion) Decide(id api.PlanID, confirm bool, _ time.Duration) (api.DecideResponse, error) {
	if f.lost == 'c' {
		return api.DecideResponse{}, errLost
	}
	plan := &f.plans[id-1]
	if plan.State == api.PlanPending && confirm && plan.Base != f.config {
		return api.DecideResponse{}, errs.New(errs.Conflict, "decide plan", "region", "another change was accepted")
	}
	if plan.State == api.PlanPending && confirm {
		f.config++
		plan.State, plan.Decided = api.PlanConfirmed, f.config
		f.accepted = append(f.accepted, *plan)
	}
	if f.lost == 'a' {
		return api.DecideResponse{}, errLost
	}
	return api.DecideResponse{Plan: *plan, InForce: true}, nil
}

func (f *fakeRegion) Status() (api.StatusResponse, error) {
	if f.lost != 0 {
		return api.StatusResponse{}, errLost
	}
	view := api.View{Revision: f.config}
	for _, plan := range f.accepted {
		view.Accounts = plan.Intent.Accounts
	}
	return api.StatusResponse{View: view}, nil
}

// harness holds a runner, its fake regions and the saved change.
type harness struct {
	regions Regions
	fakes   []*fakeRegion
	runner  *Runner
	saved   Change
}

func newHarness(n int) *harness {
	r := &harness{runner: &Runner{Operators: map[Name]Operator{}}}
	r.runner.Save = func(c Change) error {
		r.saved = c.clone()
		return nil
	}
	for i := range n {
		name := Name(fmt.Sprintf("r%d", i))
		r.regions.Regions = append(r.regions.Regions, Region{Name: name, Entries: []string{"127.0.0.1:7200"}})
		r.fakes = append(r.fakes, &fakeRegion{})
		r.runner.Operators[name] = r.fakes[i]
	}
	return r
}

func sharedIntent() Intent {
	return Intent{Shared: api.Intent{Accounts: []api.Account{{ID: "shop", Class: 3}}}}
}

// applyWithLosses plans and confirms with random losses of calls and answers, then
// without losses. Each call starts from the saved change, like a restarted client.
func applyWithLosses(t *rapid.T, r *harness) error {
	r.saved = NewChange(sharedIntent(), r.regions)
	for range rapid.IntRange(1, 12).Draw(t, "rounds") {
		for i, f := range r.fakes {
			f.lost = rapid.SampledFrom([]byte{0, 0, 'c', 'a'}).Draw(t, "lost")
			if rapid.IntRange(0, 5).Draw(t, "other operator") == 0 {
				r.fakes[i].config++
			}
		}
		step := r.runner.Plan
		if rapid.Bool().Draw(t, "confirm") {
			step = func(c Change) (Change, error) { return r.runner.Confirm(c, 0) }
		}
		if _, err := step(r.saved); err != nil {
			return err
		}
	}
	for _, f := range r.fakes {
		f.lost = 0
	}
	for range 2 * len(r.fakes) {
		c, err := r.runner.Plan(r.saved)
		if err != nil {
			return err
		}
		if _, err = r.runner.Confirm(c, 0); err != nil {
			return err
		}
	}
	return r.check()
}

// check requires that every region accepted the change exactly once.
func (r *harness) check() error {
	if !r.saved.Done() {
		return fmt.Errorf("the change is not done: %+v", r.saved)
	}
	for i, f := range r.fakes {
		if len(f.accepted) != 1 {
			return fmt.Errorf("region %d accepted the change %d times", i, len(f.accepted))
		}
	}
	return nil
}

func TestEveryRegionAcceptsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHarness(rapid.IntRange(1, 4).Draw(t, "regions"))
		if err := applyWithLosses(t, r); err != nil {
			t.Fatal(err)
		}
	})
}

// TestCheckDetectsLostAnswersTreatedAsRefusals requires that check fails for a runner
// that requests a new plan after a lost answer.
func TestCheckDetectsLostAnswersTreatedAsRefusals(t *testing.T) {
	detected := false
	rapid.Check(t, func(t *rapid.T) {
		r := newHarness(2)
		r.runner.isRegionError = func(error) bool { return true }
		detected = applyWithLosses(t, r) != nil || detected
	})
	require.True(t, detected)
}

func TestRefusalStopsTheChange(t *testing.T) {
	r := newHarness(3)
	c, err := r.runner.Plan(NewChange(sharedIntent(), r.regions))
	require.NoError(t, err)
	r.fakes[0].lost = 'c'
	r.fakes[1].config++
	c, err = r.runner.Confirm(c, 0)
	require.NoError(t, err)
	require.Equal(t, []State{Planned, Refused, Planned}, []State{c.Steps[0].State, c.Steps[1].State, c.Steps[2].State})
	require.Empty(t, r.fakes[2].accepted, "nothing is confirmed after a refusal")
	overview := r.runner.Overview(r.regions)
	require.False(t, overview.Regions[0].Reached)
	require.Empty(t, overview.Differences)

	r.fakes[0].lost = 0
	c, err = r.runner.Reject(c)
	require.NoError(t, err)
	require.True(t, c.Done())
	require.True(t, r.saved.Done())
}

func TestOverviewListsDifferences(t *testing.T) {
	r := newHarness(3)
	for i, class := range []int{3, 3, 4} {
		r.fakes[i].accepted = []api.Plan{{Intent: api.Intent{Accounts: []api.Account{{ID: "shop", Class: class}}}}}
	}
	r.fakes[1].accepted = nil
	require.Equal(t, []Difference{{Item: "account shop", Regions: []Name{"r1", "r2"}}}, r.runner.Overview(r.regions).Differences)
}

func TestFilesAreChecked(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "change.json")
	require.NoError(t, WriteChange(file, Change{Version: 2}))
	_, err := ReadChange(file)
	require.Equal(t, errs.Invalid, errs.CodeOf(err))
	want := NewChange(sharedIntent(), newHarness(2).regions)
	require.NoError(t, WriteChange(file, want))
	got, err := ReadChange(file)
	require.NoError(t, err)
	require.Equal(t, want, got)

	_, err = ReadRegions(filepath.Join("testdata", "regions_faults.json"))
	require.ErrorContains(t, err, "without repeats")
	require.ErrorContains(t, err, "entries")
	regions, err := ReadRegions(filepath.Join("testdata", "regions.json"))
	require.NoError(t, err)
	_, err = ReadIntent(filepath.Join("testdata", "intent_faults.json"), regions)
	for _, fault := range []string{"shared.domains", "a region of the regions file", "account shop"} {
		require.ErrorContains(t, err, fault)
	}
}
