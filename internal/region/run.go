package region

import (
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// Operator is the operators' interface of one region.
type Operator interface {
	// PlanOnce records a plan for an intent; a repeated call with the same key
	// returns the first plan.
	PlanOnce(intent api.Intent, key string) (api.Plan, error)
	// Decide confirms or rejects a plan; a repeated call returns the first outcome.
	Decide(id api.PlanID, confirm bool, wait time.Duration) (api.DecideResponse, error)
	// Status returns the status of the leader.
	Status() (api.StatusResponse, error)
}

// Runner applies changes to regions. It is not safe for concurrent use.
type Runner struct {
	// Operators holds the operators' interface of each region.
	Operators map[Name]Operator
	// Save stores the progress after each change of it.
	Save func(Change) error
	// isRegionError distinguishes errors of the region from transport errors. Tests
	// replace it; nil means the function of the same name.
	isRegionError func(error) bool
}

// Plan requests a plan from every region that has no valid one. The requests are
// concurrent, since a plan changes nothing yet.
func (r *Runner) Plan(c Change) (Change, error) {
	c = c.clone()
	var wg sync.WaitGroup
	for i := range c.Steps {
		s := &c.Steps[i]
		if s.State != Pending && s.State != Refused {
			continue
		}
		wg.Go(func() { r.plan(s) })
	}
	wg.Wait()
	return c, r.Save(c)
}

func (r *Runner) plan(s *Step) {
	op, err := r.operator(s.Region)
	if err != nil {
		r.recordFailure(s, err)
		return
	}
	if s.State == Refused {
		s.Key = newKey()
	}
	plan, err := op.PlanOnce(s.Intent, s.Key)
	if err != nil {
		r.recordFailure(s, err)
		return
	}
	s.Reached, s.Reason = true, ""
	s.State = Planned
	s.Plan = plan.ID
	s.Consequences = plan.Consequences
}

// Confirm confirms the planned steps in order and stops at the first refusal. It
// skips unreachable regions; a later call retries them.
func (r *Runner) Confirm(c Change, wait time.Duration) (Change, error) {
	return r.decide(c, true, wait)
}

// Reject rejects every planned step. Steps without a valid plan need no call;
// those of unreachable regions stay planned.
func (r *Runner) Reject(c Change) (Change, error) {
	c = c.clone()
	for i := range c.Steps {
		if s := &c.Steps[i]; s.State == Pending || s.State == Refused {
			s.State = Rejected
		}
	}
	return r.decide(c, false, 0)
}

func (r *Runner) decide(c Change, confirm bool, wait time.Duration) (Change, error) {
	c = c.clone()
	for i := range c.Steps {
		s := &c.Steps[i]
		if s.State != Planned {
			continue
		}
		r.decideStep(s, confirm, wait)
		if err := r.Save(c); err != nil {
			return c, err
		}
		if s.State == Refused {
			return c, nil
		}
	}
	return c, r.Save(c)
}

func (r *Runner) decideStep(s *Step, confirm bool, wait time.Duration) {
	op, err := r.operator(s.Region)
	if err != nil {
		r.recordFailure(s, err)
		return
	}
	decision, err := op.Decide(s.Plan, confirm, wait)
	if err != nil {
		r.recordFailure(s, err)
		return
	}
	s.Reached, s.Reason = true, ""
	s.Revision = decision.Plan.Decided
	s.InForce = decision.InForce
	s.State = Rejected
	if confirm {
		s.State = Accepted
	}
}

func (r *Runner) operator(name Name) (Operator, error) {
	if op, ok := r.Operators[name]; ok {
		return op, nil
	}
	return nil, errs.New(errs.Invalid, "find region", string(name), "not in the regions file")
}

// recordFailure stores the error of a step. Without an answer of the region the
// outcome is unknown, so the step keeps its state and is retried.
func (r *Runner) recordFailure(s *Step, err error) {
	fromRegion := r.isRegionError
	if fromRegion == nil {
		fromRegion = isRegionError
	}
	s.Reason = err.Error()
	s.Reached = fromRegion(err)
	if s.Reached {
		s.State = Refused
	}
}

// isRegionError reports whether the region itself returned the error. Otherwise
// the region may not have received the call, or its answer was lost.
func isRegionError(err error) bool {
	switch errs.CodeOf(err) {
	case errs.Unavailable, errs.Timeout, errs.NotLeader:
		return false
	}
	return true
}

// newKey returns the idempotency key of one plan.
func newKey() string { return ulid.Make().String() }

func (c Change) clone() Change {
	c.Steps = append([]Step(nil), c.Steps...)
	return c
}
