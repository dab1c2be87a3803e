package control

import (
	"math"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// planOp is one call of an operator.
type planOp struct {
	// kind is "plan", "confirm", "reject" or "history".
	kind string
	id   api.PlanID
}

// planOutcome is the answer that the operator got.
type planOutcome struct {
	code    errs.Code
	id      api.PlanID
	base    api.Revision
	changes int
}

// planModel is the oracle: the number of accepted changes, and for each plan its
// base and state.
type planModel struct {
	config int
	// bases and states hold one byte a plan.
	bases, states string
}

func (m planModel) planned() planModel {
	m.bases += string(rune(m.config))
	m.states += "p"
	return m
}

// decided returns the model after a decision and the code of its answer.
func (m planModel) decided(op planOp) (planModel, errs.Code) {
	i := int(op.id) - 1
	if i >= len(m.states) {
		return m, errs.NotFound
	}
	wanted := byte('r')
	if op.kind == "confirm" {
		wanted = 'c'
	}
	switch {
	case m.states[i] == wanted:
		return m, ""
	case m.states[i] != 'p':
		return m, errs.Conflict
	case wanted == 'c' && int(m.bases[i]) != m.config:
		return m, errs.Conflict
	case wanted == 'c':
		m.config++
	}
	m.states = m.states[:i] + string(rune(wanted)) + m.states[i+1:]
	return m, ""
}

// step returns the states that may follow a call with its outcome.
func (m planModel) step(op planOp, out planOutcome) []any {
	if out.code == errs.NotLeader || out.code == errs.Unavailable {
		return []any{m}
	}
	if op.kind == "history" {
		return onlyIf(out.changes == m.config, m)
	}
	if op.kind == "plan" {
		switch out.code {
		case errs.Timeout:
			return []any{m, m.planned()}
		case errs.Conflict:
			return []any{m}
		}
		return onlyIf(int(out.id) == len(m.states)+1 && int(out.base) == m.config, m.planned())
	}
	next, code := m.decided(op)
	if out.code == errs.Timeout {
		return []any{m, next}
	}
	return onlyIf(out.code == code, next)
}

func onlyIf(possible bool, m planModel) []any {
	if possible {
		return []any{m}
	}
	return nil
}

func planChecker() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{planModel{}} },
		Step: func(state, input, output any) []any {
			return state.(planModel).step(input.(planOp), output.(planOutcome))
		},
	}
	return nondeterministic.ToModel()
}

// planRun records the history of calls.
type planRun struct {
	f     *fixture
	clock atomic.Int64
	share atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *planRun) call(op planOp) planOutcome {
	begin := r.clock.Add(1)
	out := r.execute(op)
	end := r.clock.Add(1)
	if out.code == errs.Timeout {
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{Input: op, Call: begin, Output: out, Return: end})
	return out
}

func (r *planRun) execute(op planOp) planOutcome {
	service := r.f.service()
	switch op.kind {
	case "plan":
		in := api.Intent{Accounts: []api.Account{{ID: "a", Share: int(r.share.Add(1)), KeyHashes: []string{digest}}}}
		planned, err := service.plan(ctx, api.PlanRequest{Operator: "amal", Intent: in})
		return planOutcome{code: codeOf(err), id: planned.Plan.ID, base: planned.Plan.Base}
	case "history":
		history, err := service.history(ctx, api.HistoryRequest{Limit: historyLimit})
		return planOutcome{code: codeOf(err), changes: len(history.Items)}
	}
	confirm := op.kind == "confirm"
	_, err := service.decide(noWait(), api.DecideRequest{Operator: "amal", Plan: op.id, Confirm: confirm})
	return planOutcome{code: codeOf(err)}
}

const digest = "0000000000000000000000000000000000000000000000000000000000000001"

func codeOf(err error) errs.Code {
	if err == nil {
		return ""
	}
	return errs.CodeOf(err)
}

// Operators race, answers are lost and the leader changes.
func TestPlansAreLinearizable(t *testing.T) {
	for seed := range int64(20) {
		run := &planRun{f: newFixture()}
		var operators sync.WaitGroup
		for operator := range int64(4) {
			random := rand.New(rand.NewSource(seed*10 + operator))
			operators.Go(func() {
				for range 10 {
					run.random(random)
				}
			})
		}
		operators.Wait()
		require.True(t, porcupine.CheckOperations(planChecker(), run.ops), "seed %d", seed)
	}
}

func (r *planRun) random(random *rand.Rand) {
	if random.Intn(8) == 0 {
		r.f.setFaults(true, false)
	}
	if random.Intn(8) == 0 {
		r.f.elect(random.Intn(3))
	}
	kinds := []string{"plan", "plan", "confirm", "confirm", "reject", "history"}
	kind := kinds[random.Intn(len(kinds))]
	r.call(planOp{kind: kind, id: api.PlanID(1 + random.Intn(12))})
}

// runPlans runs drawn calls, one at a time, and reports whether the oracle
// accepts their history.
func runPlans(t *rapid.T, f *fixture) bool {
	run := &planRun{f: f}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		f.setFaults(rapid.IntRange(0, 7).Draw(t, "lose") == 0, rapid.IntRange(0, 15).Draw(t, "cut") == 0)
		if rapid.IntRange(0, 7).Draw(t, "elect") == 0 {
			f.elect(rapid.IntRange(0, 2).Draw(t, "leader"))
		}
		kind := rapid.SampledFrom([]string{"plan", "plan", "confirm", "confirm", "reject", "history"}).Draw(t, "kind")
		run.call(planOp{kind: kind, id: api.PlanID(rapid.IntRange(1, 12).Draw(t, "plan"))})
	}
	return porcupine.CheckOperations(planChecker(), run.ops)
}

func TestPlansFollowTheOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.True(t, runPlans(t, newFixture())) })
}

func TestPlanFuzzFindsBrokenVariants(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		for _, s := range f.states {
			s.guards.base = func(*tx, api.Plan) error { return nil }
		}
		if !runPlans(t, f) {
			found++
		}
	})
	require.NotZero(t, found)
	t.Logf("found in %d cases", found)
}

func TestPlanCheckerCatchesMissingCompareAndSet(t *testing.T) {
	for _, broken := range []bool{false, true} {
		run := &planRun{f: newFixture()}
		if broken {
			for _, s := range run.f.states {
				s.guards.base = func(*tx, api.Plan) error { return nil }
			}
		}
		first := run.call(planOp{kind: "plan"})
		second := run.call(planOp{kind: "plan"})
		require.Equal(t, first.base, second.base)
		run.call(planOp{kind: "confirm", id: first.id})
		run.call(planOp{kind: "confirm", id: second.id})
		require.Equal(t, !broken, porcupine.CheckOperations(planChecker(), run.ops))
	}
}

func TestConflictListsChanges(t *testing.T) {
	f := newFixture()
	in := api.Intent{Domains: []api.Domain{{Name: "tanta", State: api.DomainActive}}}
	late, err := f.service().plan(ctx, api.PlanRequest{Operator: "basim", Intent: in})
	require.NoError(t, err)
	f.configure(t, api.Intent{ServingGroups: []api.ServingGroup{servingGroup("scribe")}})
	_, err = f.service().decide(ctx, api.DecideRequest{Operator: "basim", Plan: late.Plan.ID, Confirm: true})
	requireCode(t, errs.Conflict, err)
	require.ErrorContains(t, err, "by amal: serving group scribe (1 x 2 hosts)")
}

// forecasts is a Forecaster with a fixed answer.
type forecasts []api.Consequence

func (f *forecasts) Forecast(api.FleetView, api.Intent) []api.Consequence { return *f }

func TestPlanThatBecameImpossibleIsRefused(t *testing.T) {
	forecast := &forecasts{}
	f := newFixture(func(c *Config) { c.Forecaster = forecast })
	in := api.Intent{ServingGroups: []api.ServingGroup{servingGroup("scribe")}}
	planned, err := f.service().plan(ctx, api.PlanRequest{Operator: "amal", Intent: in})
	require.NoError(t, err)
	*forecast = forecasts{{Kind: api.ConsequenceUnmet, Subject: "serving group scribe", Detail: "no fabric domain has 2 hosts"}}
	decide := api.DecideRequest{Operator: "amal", Plan: planned.Plan.ID, Confirm: true}
	_, err = f.service().decide(ctx, decide)
	requireCode(t, errs.Conflict, err)
	require.ErrorContains(t, err, "no fabric domain has 2 hosts")
	*forecast = nil
	decided, err := f.service().decide(ctx, decide)
	require.NoError(t, err)
	*forecast = forecasts{{Kind: api.ConsequenceUnmet, Subject: "serving group scribe"}}
	again, err := f.service().decide(ctx, decide)
	require.NoError(t, err, "a resent confirmation returns the first outcome")
	require.Equal(t, decided.Plan, again.Plan)
}

func TestPlansAreBounded(t *testing.T) {
	f := newFixture(func(c *Config) { c.Limits.MaxPlans = 2 })
	plan := func() (api.PlanResponse, error) {
		in := api.Intent{Domains: []api.Domain{{Name: "tanta", State: api.DomainActive}}}
		return f.service().plan(ctx, api.PlanRequest{Operator: "amal", Intent: in})
	}
	first, err := plan()
	require.NoError(t, err)
	_, err = plan()
	require.NoError(t, err)
	_, err = plan()
	requireCode(t, errs.Full, err)
	_, err = f.service().decide(ctx, api.DecideRequest{Operator: "amal", Plan: first.Plan.ID})
	require.NoError(t, err)
	_, err = plan()
	require.NoError(t, err)
	_, err = f.service().decide(ctx, api.DecideRequest{Operator: "amal", Plan: first.Plan.ID})
	requireCode(t, errs.NotFound, err)
}
