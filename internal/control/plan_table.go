package control

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// historyLimit is the number of accepted changes that are remembered.
const historyLimit = 1000

// planTable holds the newest plans in the order of their numbers.
type planTable struct {
	mu   sync.RWMutex
	rows []api.Plan
}

func newPlanTable() *planTable { return &planTable{} }

func (p *planTable) get(id api.PlanID) (api.Plan, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	i, ok := p.find(id)
	if !ok {
		return api.Plan{}, false
	}
	return p.rows[i], true
}

func (p *planTable) find(id api.PlanID) (int, bool) {
	return slices.BinarySearchFunc(p.rows, id, func(row api.Plan, id api.PlanID) int {
		return cmp.Compare(row.ID, id)
	})
}

func (p *planTable) list() []api.Plan {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return slices.Clone(p.rows)
}

func (p *planTable) replace(rows []api.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows = rows
}

func (p *planTable) put(plan api.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.find(plan.ID); ok {
		p.rows[i] = plan
		return
	}
	p.rows = append(p.rows, plan)
}

// makeRoom forgets the oldest plan that is decided or can no longer be
// confirmed. It reports false when every plan can still be confirmed.
func (p *planTable) makeRoom(limit int, base api.Revision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rows) < limit {
		return true
	}
	i := slices.IndexFunc(p.rows, func(row api.Plan) bool {
		return row.State != api.PlanPending || row.Base != base
	})
	if i < 0 {
		return false
	}
	p.rows = slices.Delete(p.rows, i, i+1)
	return true
}

// historyTable holds the newest accepted changes, oldest first.
type historyTable struct {
	mu   sync.RWMutex
	rows []historyRow
}

// historyRow keeps the configuration revision that a change created.
type historyRow struct {
	Config api.Revision    `cbor:"1,keyasint"`
	Item   api.HistoryItem `cbor:"2,keyasint"`
}

func (h *historyTable) add(row historyRow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rows = append(h.rows, row)
	if len(h.rows) > historyLimit {
		h.rows = slices.Delete(h.rows, 0, len(h.rows)-historyLimit)
	}
}

func (h *historyTable) list() []historyRow {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return slices.Clone(h.rows)
}

func (h *historyTable) replace(rows []historyRow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rows = rows
}

// since describes the changes after a configuration revision.
func (h *historyTable) since(base api.Revision) string {
	var parts []string
	for _, row := range h.list() {
		if row.Config > base {
			parts = append(parts, fmt.Sprintf("revision %d by %s: %s", row.Item.Revision, row.Item.Operator, row.Item.Summary))
		}
	}
	return strings.Join(parts, "; ")
}

// planCommand records a plan that the leader evaluated.
type planCommand struct {
	Operator     string            `cbor:"1,keyasint"`
	Intent       api.Intent        `cbor:"2,keyasint"`
	Base         api.Revision      `cbor:"3,keyasint"`
	Consequences []api.Consequence `cbor:"4,keyasint,omitempty"`
	// Limit bounds the stored plans.
	Limit int `cbor:"5,keyasint"`
}

func (*planCommand) kind() commandKind { return kindPlan }

func (c *planCommand) apply(t *tx) (any, error) {
	const step = "record plan"
	base := t.ConfigRevision()
	if c.Base != base {
		return nil, refuse(errs.Conflict, step, "evaluated on configuration %d, now %d: %s", c.Base, base, t.history.since(c.Base))
	}
	if !t.plans.makeRoom(c.Limit, base) {
		return nil, refuse(errs.Full, step, "%d plans are pending, confirm or reject one first", c.Limit)
	}
	plan := api.Plan{
		ID:           t.counters.nextPlan(),
		Base:         c.Base,
		State:        api.PlanPending,
		Operator:     c.Operator,
		Intent:       c.Intent,
		Consequences: c.Consequences,
	}
	t.plans.put(plan)
	return plan, nil
}

// decideCommand confirms or rejects a plan.
type decideCommand struct {
	Operator string     `cbor:"1,keyasint"`
	Plan     api.PlanID `cbor:"2,keyasint"`
	Confirm  bool       `cbor:"3,keyasint"`
}

func (*decideCommand) kind() commandKind { return kindDecide }

func (c *decideCommand) wanted() api.PlanState {
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
	if plan.State == c.wanted() {
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
	plan.Decided = t.next()
	t.changed = true
	t.config.merge(t, plan.Intent)
	t.counters.configured(plan.Decided)
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
