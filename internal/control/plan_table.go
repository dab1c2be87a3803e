package control

import (
	"cmp"
	"slices"
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// planTable holds the newest plans, sorted by ID.
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

// byKey returns the plan with an idempotency key. No plan has the empty key.
func (p *planTable) byKey(key string) (api.Plan, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	i := slices.IndexFunc(p.rows, func(row api.Plan) bool { return key != "" && row.Key == key })
	if i < 0 {
		return api.Plan{}, false
	}
	return p.rows[i], true
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

// evictFor makes room for a new plan by deleting the oldest one that is decided
// or can no longer be confirmed. It reports false when every plan can still be
// confirmed.
func (p *planTable) evictFor(limit int, base api.Revision) bool {
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
