package control

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/faults"
)

const stepDomain = "set domain"

// domainOrders counts the changes of each failure domain within one leadership. A
// change names the count that it rests on, so that one that was held up on its way
// can't undo a later one.
type domainOrders struct {
	// changing is held from the check of a precondition until the outcome of the
	// change, so that changes are appended to the log in the order of the checks.
	changing sync.Mutex

	mu       sync.Mutex
	sequence map[api.FailureDomain]uint64
}

func newDomainOrders() *domainOrders {
	return &domainOrders{sequence: make(map[api.FailureDomain]uint64)}
}

func (d *domainOrders) current(name api.FailureDomain) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sequence[name]
}

// advance counts a change. It is called before the change is proposed, because a
// proposal whose outcome is unknown may still be committed.
func (d *domainOrders) advance(name api.FailureDomain) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence[name]++
}

// domainPrecondition handles control.domain.precondition.
func (s *Service) domainPrecondition(ctx context.Context, r api.DomainPreconditionRequest) (api.DomainPrecondition, error) {
	if err := checkDomainName(r.Name); err != nil {
		return api.DomainPrecondition{}, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return api.DomainPrecondition{}, err
	}
	return api.DomainPrecondition{Term: lead.term, Sequence: lead.domains.current(r.Name)}, s.confirmLeading(lead)
}

// setDomain handles control.domain. It fails with errs.Stale if the domain was changed,
// or the leader was, since the precondition was given out. Without a precondition, as
// older daemons send it, a change is always carried out.
func (s *Service) setDomain(ctx context.Context, r api.DomainRequest) (api.DomainResponse, error) {
	var none api.DomainResponse
	if err := checkDomainName(r.Domain.Name); err != nil {
		return none, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	lead.domains.changing.Lock()
	defer lead.domains.changing.Unlock()
	current := api.DomainPrecondition{Term: lead.term, Sequence: lead.domains.current(r.Domain.Name)}
	if r.Precondition != nil && *r.Precondition != current {
		level.Info(s.logger).Log("msg", "Failure domain change refused", "domain", r.Domain.Name, "state", r.Domain.State,
			"operator", r.Operator, "reason", "changed since the call was confirmed", "confirmed", *r.Precondition, "current", current)
		return none, refuse(errs.Stale, stepDomain, "domain %s: the call rests on %s, now at %s", r.Domain.Name, *r.Precondition, current)
	}
	lead.domains.advance(r.Domain.Name)
	response, err := propose[api.DomainResponse](ctx, s, &domainCommand{Domain: r.Domain, Operator: r.Operator})
	if err != nil {
		return response, err
	}
	s.requestReconcile()
	level.Info(s.logger).Log("msg", "Failure domain set", "domain", r.Domain.Name, "state", r.Domain.State,
		"operator", r.Operator, "revision", response.Revision, "precondition", current, "confirmed", r.Precondition != nil)
	return response, nil
}

func checkDomainName(name api.FailureDomain) error {
	var list faults.List
	if name == "" || len(name) > maxNameLength {
		list.Add("domain.name", string(name), "of 1 to %d characters", maxNameLength)
	}
	return list.Err(stepDomain, "")
}
