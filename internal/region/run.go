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
	// gets the first plan.
	PlanOnce(intent api.Intent, key string) (api.Plan, error)
	// Decide confirms or rejects a plan; a repeated call gets the first outcome.
	Decide(id api.PlanID, confirm bool, wait time.Duration) (api.DecideResponse, error)
	// Status returns the summary of the leader.
	Status() (api.StatusResponse, error)
}

// Runner carries changes into regions. It is for one goroutine.
type Runner struct {
	// Operators has one for each region.
	Operators map[Name]Operator
	// Save keeps the progress after each step that changes it.
	Save func(Change) error
	// answered tells errors of the region from those of the way to it; nil
	// stands for answered. Tests replace it.
	answered func(error) bool
}

// Plan asks every region that has no valid plan for one, all at once, since a
// plan changes nothing yet.
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
		r.fail(s, err)
		return
	}
	if s.State == Refused {
		s.Key = newKey()
	}
	plan, err := op.PlanOnce(s.Intent, s.Key)
	if err != nil {
		r.fail(s, err)
		return
	}
	s.Reached, s.Reason = true, ""
	s.State = Planned
	s.Plan = plan.ID
	s.Consequences = plan.Consequences
}

// Confirm confirms the planned steps one after the other and stops at the first
// refusal. Regions that can't be reached are passed over; a later call goes on
// with them.
func (r *Runner) Confirm(c Change, wait time.Duration) (Change, error) {
	return r.decide(c, true, wait)
}

// Reject turns every planned step down. Steps without a valid plan need no call;
// those of regions that can't be reached stay planned.
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
		r.fail(s, err)
		return
	}
	decision, err := op.Decide(s.Plan, confirm, wait)
	if err != nil {
		r.fail(s, err)
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

// fail notes why a step did not go on. Without an answer the outcome is not
// known, so the step stays as it was and is asked again.
func (r *Runner) fail(s *Step, err error) {
	isAnswer := r.answered
	if isAnswer == nil {
		isAnswer = answered
	}
	s.Reason = err.Error()
	s.Reached = isAnswer(err)
	if s.Reached {
		s.State = Refused
	}
}

// answered reports whether an error is the region's own. Otherwise the region
// may not have seen the call, or its answer was lost.
func answered(err error) bool {
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
