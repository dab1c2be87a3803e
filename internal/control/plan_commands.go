package control

import (
	"reflect"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// planCommand records a plan that the leader evaluated.
type planCommand struct {
	Operator     string            `cbor:"1,keyasint"`
	Intent       api.Intent        `cbor:"2,keyasint"`
	Base         api.Revision      `cbor:"3,keyasint"`
	Consequences []api.Consequence `cbor:"4,keyasint,omitempty"`
	// Limit bounds the stored plans.
	Limit int `cbor:"5,keyasint"`
	// Key makes the command idempotent. It may be empty.
	Key string `cbor:"6,keyasint,omitempty"`
}

func (*planCommand) kind() commandKind { return kindPlan }

func (c *planCommand) apply(t *tx) (any, error) {
	const step = "record plan"
	if plan, ok := t.guards.planRecorded(t, c.Key); ok {
		return c.repeated(plan)
	}
	base := t.ConfigRevision()
	if c.Base != base {
		return nil, refuse(errs.Conflict, step, "evaluated on configuration %d, the current one is %d: %s", c.Base, base, t.history.since(c.Base))
	}
	if !t.plans.evictFor(c.Limit, base) {
		return nil, refuse(errs.Full, step, "%d plans are pending, confirm or reject one first", c.Limit)
	}
	plan := api.Plan{
		ID:           t.counters.nextPlan(),
		Base:         c.Base,
		State:        api.PlanPending,
		Operator:     c.Operator,
		Key:          c.Key,
		Intent:       c.Intent,
		Consequences: c.Consequences,
	}
	t.plans.put(plan)
	return plan, nil
}

// repeated returns the plan of an earlier request with the same key.
func (c *planCommand) repeated(plan api.Plan) (any, error) {
	if plan.Operator != c.Operator || !reflect.DeepEqual(plan.Intent, c.Intent) {
		return nil, refuse(errs.Invalid, "record plan", "key %q was used for plan %d with a different intent or operator", c.Key, plan.ID)
	}
	return plan, nil
}

// findPlan returns the plan that an earlier request with the key recorded.
func findPlan(t *tx, key string) (api.Plan, bool) { return t.plans.byKey(key) }

// decideCommand confirms or rejects a plan.
type decideCommand struct {
	Operator string     `cbor:"1,keyasint"`
	Plan     api.PlanID `cbor:"2,keyasint"`
	Confirm  bool       `cbor:"3,keyasint"`
}

func (*decideCommand) kind() commandKind { return kindDecide }

func (c *decideCommand) targetState() api.PlanState {
	if c.Confirm {
		return api.PlanConfirmed
	}
	return api.PlanRejected
}

func (c *decideCommand) apply(t *tx) (any, error) {
	const step = "decide plan"
	plan, ok := t.plans.get(c.Plan)
	if !ok {
		return nil, refuse(errs.NotFound, step, "plan %d is not known", c.Plan)
	}
	if plan.State == c.targetState() {
		return plan, nil
	}
	if plan.State != api.PlanPending {
		return nil, refuse(errs.Conflict, step, "plan %d was already %s at revision %d", plan.ID, plan.State, plan.Decided)
	}
	if !c.Confirm {
		plan.State = api.PlanRejected
		plan.Decided = t.Revision()
		t.plans.put(plan)
		return plan, nil
	}
	if err := t.guards.base(t, plan); err != nil {
		return nil, err
	}
	return c.accept(t, plan), nil
}

func (c *decideCommand) accept(t *tx, plan api.Plan) api.Plan {
	plan.State = api.PlanConfirmed
	plan.Decided = t.nextRevision()
	t.changed = true
	t.config.merge(t, plan.Intent)
	t.counters.countConfigChange(plan.Decided)
	t.plans.put(plan)
	t.history.add(historyRow{
		Config: t.ConfigRevision(),
		Item: api.HistoryItem{
			Revision:   plan.Decided,
			Plan:       plan.ID,
			Operator:   c.Operator,
			UnixMillis: t.now,
			Summary:    summarize(plan.Intent),
		},
	})
	return plan
}
