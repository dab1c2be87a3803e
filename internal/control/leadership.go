package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/singleflight"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// leadership is the state of one term as leader that is not replicated. It is
// kept when the leader lease is lost and regained within the term.
type leadership struct {
	term      uint64
	leases    *leaseTable
	stretch   leaseStretch
	hosts     *hostTable
	slots     *slotTable
	measures  *measures
	service   *serviceCounts
	revisions *revisionTimes
	progress  *progressTable
	enrolled  *enrolledTable
	domains   *domainOrders
	leaseGap  leaseGap
	// publishing holds the publications that are being committed, by version.
	publishing singleflight.Group
	// lastSlowRound is when the slow duties last ran.
	lastSlowRound time.Time
	// ctx ends when this voter steps down.
	ctx    context.Context
	cancel context.CancelFunc
}

// leaseGapWait is how long a call waits for a lost leader lease to be regained.
// It is below the second after which callers try another daemon: if calls were
// refused in a short gap, every caller would search for a leader, and that load
// keeps a busy leader from sending heartbeats.
const leaseGapWait = 400 * time.Millisecond

// lead returns the current leadership for a call. It waits up to leaseGapWait
// for a lost lease to be regained.
func (s *Service) lead(ctx context.Context) (*leadership, error) {
	lead, err := s.leadNow(ctx)
	if err == nil || !s.inLeaseGap(s.log.Status()) {
		return lead, err
	}
	s.wait(ctx, s.cfg.Clock.Now().Add(leaseGapWait), s.ticks, func() bool { return !s.inLeaseGap(s.log.Status()) })
	return s.leadNow(ctx)
}

// leadNow returns the current leadership without waiting for a lost lease. The
// first call of a term waits for a read barrier, so that the state includes
// every accepted change, and commits the term.
func (s *Service) leadNow(ctx context.Context) (*leadership, error) {
	if err := s.state.Err(); err != nil {
		s.stepDown()
		return nil, errs.Wrap(err, "lead", "")
	}
	status := s.log.Status()
	if !status.Leading {
		s.loseLease(status)
		return nil, s.notLeader("lead")
	}
	if lead := s.leading.Load(); lead != nil && lead.term == status.Term {
		s.regainLease(lead)
		return lead, nil
	}
	return s.takeOver(ctx, status.Term)
}

// loseLease steps down, unless this voter still leads its term and may regain
// its lease.
func (s *Service) loseLease(status LogStatus) {
	if !s.inLeaseGap(status) {
		s.stepDown()
		return
	}
	if lead := s.leading.Load(); lead != nil && lead.leaseGap.begin() {
		level.Warn(s.logger).Log("msg", "Leader lease lost", "term", status.Term)
	}
}

// inLeaseGap reports whether this voter still leads its term and only lacks the
// lease.
func (s *Service) inLeaseGap(status LogStatus) bool {
	lead := s.leading.Load()
	return !status.Leading && lead != nil && lead.term == status.Term && status.Leader == status.ID
}

// regainLease continues the leadership of the same term.
func (s *Service) regainLease(lead *leadership) {
	lead.leaseGap.end(s.cfg.Clock.Now(), func(length time.Duration) {
		lead.extendDeadlines(length)
		level.Info(s.logger).Log("msg", "Leader lease regained", "term", lead.term, "after", length)
	})
}

func (s *Service) takeOver(ctx context.Context, term uint64) (*leadership, error) {
	s.leadingMu.Lock()
	defer s.leadingMu.Unlock()
	if lead := s.leading.Load(); lead != nil && lead.term == term {
		return lead, nil
	}
	if err := s.log.ReadBarrier(ctx); err != nil {
		return nil, s.takeOverError(err)
	}
	if _, err := propose[api.Empty](ctx, s, &leadCommand{Term: term}); err != nil {
		return nil, s.takeOverError(err)
	}
	lead := s.newLeadership(term)
	if err := s.confirmLeading(lead); err != nil {
		lead.cancel()
		return nil, err
	}
	if old := s.leading.Swap(lead); old != nil {
		old.cancel()
	}
	level.Info(s.logger).Log("msg", "Leading", "term", term, "revision", s.state.Revision())
	return lead, nil
}

// takeOverError returns the error for a call that was not carried out. The error
// of the commands that start a leadership may say that the outcome is unknown,
// which concerns only those commands.
func (s *Service) takeOverError(err error) error {
	if errs.Is(err, errs.NotLeader) {
		return s.notLeader("take over")
	}
	return refuse(errs.Unavailable, "take over", "%v", err)
}

func (s *Service) newLeadership(term uint64) *leadership {
	now := s.cfg.Clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	stretch := int(s.longestLease() / s.cfg.LeaseDuration)
	leases := newLeaseTable(s.leaseLength(), now, s.state.View().Entries)
	leases.extend = s.extend
	lead := &leadership{
		term:      term,
		stretch:   leaseStretch{granted: stretch},
		leases:    leases,
		hosts:     newHostTable(s.cfg.Limits.MaxHosts, s.cfg.DetectionBound, now, now.Add(s.announceGrace(stretch))),
		slots:     newSlotTable(),
		measures:  newMeasures(now),
		service:   newServiceCounts(),
		revisions: &revisionTimes{},
		progress:  newProgressTable(),
		enrolled:  newEnrolledTable(),
		domains:   newDomainOrders(),
		ctx:       ctx,
		cancel:    cancel,
	}
	lead.leaseGap.lastHeld = now
	return lead
}

// announceGrace is how long after its election a new leader counts hosts as seen
// that have not announced themselves; only then does the detection bound begin.
// By then every entry, which forwards their announcements, has renewed its lease
// here or has lost it. Entries look for a new leader only after their calls to
// the old one have timed out, and a host wrongly counted as lost costs a reload
// of its replica.
func (s *Service) announceGrace(stretch int) time.Duration {
	if s.cfg.AnnounceGrace > 0 {
		return s.cfg.AnnounceGrace
	}
	return max(s.leaseLength(), s.heartbeatAllowance(stretch))
}

// leaseLength is the longest time for which the leader treats a lease as valid.
func (s *Service) leaseLength() time.Duration { return s.longestLease() + s.cfg.DriftMargin }

// stillLeading reports whether this voter holds the leader lease of the same
// term. Every response that depends on leadership is sent only after this
// check.
func (s *Service) stillLeading(lead *leadership) bool {
	status := s.log.Status()
	return status.Leading && status.Term == lead.term
}

// Leading reports whether this voter holds the leader lease now. A reconciler
// checks it right before it sends an order.
func (s *Service) Leading() bool {
	lead := s.leading.Load()
	return lead != nil && s.stillLeading(lead)
}

func (s *Service) confirmLeading(lead *leadership) error {
	if s.stillLeading(lead) {
		return nil
	}
	return s.notLeader("confirm leadership")
}

func (s *Service) stepDown() {
	if old := s.leading.Swap(nil); old != nil {
		old.cancel()
		level.Warn(s.logger).Log("msg", "Stepped down as leader", "term", old.term)
	}
}

// notLeader returns an error with the leader's peer address, if it is known.
func (s *Service) notLeader(step string) error {
	status := s.log.Status()
	err := errs.New(errs.NotLeader, step, "", "voter %s is not the leader", status.ID)
	for _, voter := range status.Voters {
		if voter.ID == status.Leader && voter.ID != status.ID {
			err.Detail = voter.Address
		}
	}
	return err
}
