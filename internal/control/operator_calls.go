package control

import (
	"context"
	"slices"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/faults"
)

const (
	// planAttempts bounds the evaluations of one intent when the configuration
	// changes concurrently.
	planAttempts = 3
	// defaultHistory is the number of changes listed when the request sets no
	// limit.
	defaultHistory = 100
	// maxOperatorLength is the longest operator name, in bytes.
	maxOperatorLength = 128
	// maxPlanKey is the longest idempotency key of a plan, in bytes.
	maxPlanKey = 128
)

// plan handles control.plan.
func (s *Service) plan(ctx context.Context, r api.PlanRequest) (api.PlanResponse, error) {
	var none api.PlanResponse
	if err := checkPlanRequest(r); err != nil {
		return none, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	for attempt := 1; ; attempt++ {
		plan, err := s.evaluate(ctx, lead, r)
		if errs.Is(err, errs.Conflict) && attempt < planAttempts {
			continue
		}
		if err != nil {
			return none, err
		}
		level.Info(s.logger).Log("msg", "Plan recorded", "plan", plan.ID, "operator", r.Operator)
		return api.PlanResponse{Plan: plan}, nil
	}
}

// evaluate validates an intent against the current configuration and records
// the plan with that configuration as its base.
func (s *Service) evaluate(ctx context.Context, lead *leadership, r api.PlanRequest) (api.Plan, error) {
	if _, ok := s.state.plans.byKey(r.Key); ok {
		return propose[api.Plan](ctx, s, &planCommand{Operator: r.Operator, Intent: r.Intent, Key: r.Key})
	}
	base := s.state.ConfigRevision()
	fleet := s.fleet(lead)
	if err := validateIntent(s.state.configView(fleet.Hosts), r.Intent); err != nil {
		return api.Plan{}, err
	}
	cmd := &planCommand{
		Operator:     r.Operator,
		Intent:       r.Intent,
		Base:         base,
		Consequences: append(consequencesOf(s.state, r.Intent), s.forecast(fleet, r.Intent)...),
		Limit:        s.cfg.Limits.MaxPlans,
		Key:          r.Key,
	}
	return propose[api.Plan](ctx, s, cmd)
}

func (s *Service) forecast(fleet api.FleetView, intent api.Intent) []api.Consequence {
	if s.cfg.Forecaster == nil {
		return nil
	}
	return s.cfg.Forecaster.Forecast(fleet, intent)
}

// decide handles control.decide.
func (s *Service) decide(ctx context.Context, r api.DecideRequest) (api.DecideResponse, error) {
	var none api.DecideResponse
	if err := checkDecideRequest(r); err != nil {
		return none, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	if err := s.checkPossible(lead, r); err != nil {
		return none, err
	}
	plan, err := propose[api.Plan](ctx, s, &decideCommand{Operator: r.Operator, Plan: r.Plan, Confirm: r.Confirm})
	if err != nil {
		return none, err
	}
	level.Info(s.logger).Log("msg", "Plan decided", "plan", plan.ID, "state", plan.State, "operator", r.Operator, "revision", plan.Decided)
	s.requestReconcile()
	if plan.State != api.PlanConfirmed {
		return api.DecideResponse{Plan: plan}, nil
	}
	return s.awaitInForce(ctx, lead, plan, r.WaitMillis)
}

// checkPossible refuses to confirm a pending plan when a requirement can no
// longer be met and the plan did not say so.
func (s *Service) checkPossible(lead *leadership, r api.DecideRequest) error {
	plan, ok := s.state.plans.get(r.Plan)
	if !r.Confirm || !ok || plan.State != api.PlanPending || plan.Base != s.state.ConfigRevision() {
		return nil
	}
	unmet := newlyUnmet(plan, s.forecast(s.fleet(lead), plan.Intent))
	if len(unmet) == 0 {
		return nil
	}
	return refuse(errs.Conflict, "decide plan", "plan %d can no longer be met: %s", plan.ID, describe(unmet))
}

// awaitInForce waits until every entry that may work has applied the plan.
func (s *Service) awaitInForce(ctx context.Context, lead *leadership, plan api.Plan, waitMillis int64) (api.DecideResponse, error) {
	until := s.deadline(waitMillis)
	if waitMillis == 0 {
		until = s.cfg.Clock.Now().Add(s.leaseLength())
	}
	var lagging []api.EntryID
	inForce := func() bool {
		lagging = lead.leases.lagging(plan.Decided, s.cfg.Clock.Now())
		return len(lagging) == 0
	}
	done := s.wait(ctx, until, s.renewed, inForce)
	response := api.DecideResponse{Plan: plan, InForce: done, HeldOut: lagging}
	if done && !s.stillLeading(lead) {
		// The change is accepted, but only the next leader can determine
		// whether it is in force.
		response.InForce = false
	}
	return response, nil
}

// plans handles control.plans.
func (s *Service) plans(ctx context.Context, _ api.Empty) (api.PlansResponse, error) {
	lead, err := s.lead(ctx)
	if err != nil {
		return api.PlansResponse{}, err
	}
	plans := s.state.plans.list()
	slices.Reverse(plans)
	return api.PlansResponse{Plans: plans}, s.confirmLeading(lead)
}

// history handles control.history.
func (s *Service) history(ctx context.Context, r api.HistoryRequest) (api.HistoryResponse, error) {
	var none api.HistoryResponse
	if r.Limit < 0 || r.Limit > historyLimit {
		return none, refuse(errs.Invalid, "history", "limit = %d: must be 0 to %d", r.Limit, historyLimit)
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	limit := r.Limit
	if limit == 0 {
		limit = defaultHistory
	}
	rows := s.state.history.list()
	slices.Reverse(rows)
	response := api.HistoryResponse{}
	for _, row := range rows[:min(limit, len(rows))] {
		response.Items = append(response.Items, row.Item)
	}
	return response, s.confirmLeading(lead)
}

func checkOperator(step, operator string) error {
	var f faults.List
	if operator == "" || len(operator) > maxOperatorLength {
		f.Add("operator", operator, "of 1 to %d characters", maxOperatorLength)
	}
	return f.Err(step, "")
}

func checkPlanRequest(r api.PlanRequest) error {
	if err := checkOperator("plan", r.Operator); err != nil {
		return err
	}
	var f faults.List
	if len(r.Key) > maxPlanKey {
		f.Add("key", r.Key, "of at most %d characters", maxPlanKey)
	}
	return f.Err("plan", "")
}

func checkDecideRequest(r api.DecideRequest) error {
	if err := checkOperator("decide plan", r.Operator); err != nil {
		return err
	}
	if r.Plan == 0 {
		return refuse(errs.Invalid, "decide plan", "plan = 0: must be 1 or more")
	}
	return checkWait("decide plan", r.WaitMillis)
}
