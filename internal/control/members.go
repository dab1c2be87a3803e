package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/faults"
)

const (
	// memberTimeout is the time without an enrolment after which a control
	// daemon counts as lost. Control daemons enrol once a second; a restart
	// takes less than the timeout.
	memberTimeout = 5 * time.Second
	// learnerTimeout is the same for a learner. It is longer because removing a
	// learner is not urgent.
	learnerTimeout = 30 * time.Second
)

// enrolled is one control daemon that reported to the leader.
type enrolled struct {
	address string
	domain  api.FailureDomain
	seen    time.Time
}

// enrolledTable holds the control daemons that reported to one leadership.
type enrolledTable struct {
	mu    sync.Mutex
	since time.Time
	rows  map[api.VoterID]enrolled
}

func newEnrolledTable(since time.Time) *enrolledTable {
	return &enrolledTable{since: since, rows: make(map[api.VoterID]enrolled)}
}

func (t *enrolledTable) update(r api.EnrollRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[r.Voter] = enrolled{address: r.Address, domain: r.Domain, seen: now}
}

// snapshot returns a copy of the rows, and the time from which silence counts:
// the start of the leadership, moved by lease gaps.
func (t *enrolledTable) snapshot() (map[api.VoterID]enrolled, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[api.VoterID]enrolled, len(t.rows))
	for id, row := range t.rows {
		out[id] = row
	}
	return out, t.since
}

// enroll handles control.enroll, by which a control daemon reports to the
// leader that it runs.
func (s *Service) enroll(ctx context.Context, r api.EnrollRequest) (api.EnrollResponse, error) {
	var list faults.List
	if r.Voter == "" || len(r.Voter) > maxNameLength {
		list.Add("voter", string(r.Voter), "of 1 to %d characters", maxNameLength)
	}
	if r.Address == "" {
		list.Add("address", r.Address, "set")
	}
	if err := list.Err("enroll", ""); err != nil {
		return api.EnrollResponse{}, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return api.EnrollResponse{}, err
	}
	lead.enrolled.update(r, s.cfg.Clock.Now())
	return api.EnrollResponse{Members: s.memberAddresses()}, s.confirmLeading(lead)
}

// memberAddresses returns the peer addresses of the control daemons.
func (s *Service) memberAddresses() []string {
	voters := s.log.Status().Voters
	out := make([]string, 0, len(voters))
	for _, v := range voters {
		if v.Address != "" {
			out = append(out, v.Address)
		}
	}
	return out
}

// manageMembers makes at most one membership change.
func (s *Service) manageMembers(ctx context.Context, lead *leadership, now time.Time) {
	changer, changes := s.log.(MemberChanger)
	reader, reads := s.log.(MembershipReader)
	if !changes || !reads || s.cfg.Voters == 0 {
		return
	}
	rows, since := lead.enrolled.snapshot()
	input := membershipInput{
		members:  reader.Membership().Members,
		enrolled: rows,
		since:    since,
		self:     s.log.Status().ID,
		wanted:   s.cfg.Voters,
		now:      now,
	}
	change, reason := input.plan()
	if reason == "" {
		return
	}
	err := changer.ChangeMembers(ctx, change)
	if err != nil {
		s.logFailure("change members", err)
		return
	}
	level.Info(s.logger).Log("msg", "Member changed", "action", change.Kind, "voter", change.Member.ID,
		"reason", reason, "members", len(input.members), "term", lead.term)
}

// membershipInput is the input of the choice of a membership change.
type membershipInput struct {
	members  []consensus.Member
	enrolled map[api.VoterID]enrolled
	// since is the time from which silence counts: no daemon could enrol before.
	since  time.Time
	self   api.VoterID
	wanted int
	now    time.Time
}

// plan returns the next change and its reason, which is empty if none is due.
//
// A lost voter is replaced by a learner that has caught up. The learner is
// promoted before the voter is removed, so that the number of voters does not
// fall if the voter was only silent. Without a learner the voter stays, since
// removing it gains nothing.
func (f *membershipInput) plan() (consensus.Change, string) {
	if c, ok := f.addLearner(); ok {
		return c, "a running control daemon is not a member"
	}
	voters, lost := f.voters()
	learner, found := f.learner()
	if found && (voters < f.wanted || voters-len(lost) < f.wanted && len(lost) > 0) {
		return consensus.Change{Kind: consensus.ChangePromote, Member: learner}, "fewer voters are running than configured"
	}
	if len(lost) > 0 && voters > f.wanted {
		return consensus.Change{Kind: consensus.ChangeRemove, Member: lost[0]}, "the voter is lost and was replaced"
	}
	if lostLearner, ok := f.lostLearner(); ok {
		return consensus.Change{Kind: consensus.ChangeRemove, Member: lostLearner}, "the learner is lost"
	}
	return consensus.Change{}, ""
}

// addLearner returns the change that adds a running daemon that is not a
// member as a learner.
func (f *membershipInput) addLearner() (consensus.Change, bool) {
	for _, id := range sortedVoters(f.enrolled) {
		row := f.enrolled[id]
		known := slices.ContainsFunc(f.members, func(m consensus.Member) bool { return m.ID == id })
		if known || f.now.Sub(row.seen) > memberTimeout {
			continue
		}
		member := consensus.Member{ID: id, Address: row.address}
		return consensus.Change{Kind: consensus.ChangeAddLearner, Member: member}, true
	}
	return consensus.Change{}, false
}

func sortedVoters(rows map[api.VoterID]enrolled) []api.VoterID {
	out := make([]api.VoterID, 0, len(rows))
	for id := range rows {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// isSilent reports whether a member has not enrolled for longer than limit. The
// leader itself is never silent.
func (f *membershipInput) isSilent(id api.VoterID, limit time.Duration) bool {
	if id == f.self {
		return false
	}
	seen := f.since
	if row, ok := f.enrolled[id]; ok {
		seen = row.seen
	}
	return f.now.Sub(seen) > limit
}

// voters counts the voters, including those that rejoin after the loss of their
// data folder, and lists the lost ones.
func (f *membershipInput) voters() (count int, lost []consensus.Member) {
	for _, m := range f.members {
		if m.Learner && !m.Rejoining {
			continue
		}
		count++
		if f.isSilent(m.ID, memberTimeout) {
			lost = append(lost, m)
		}
	}
	return count, lost
}

// learner returns the running learner whose failure domain holds the fewest
// voters.
func (f *membershipInput) learner() (consensus.Member, bool) {
	byDomain := make(map[api.FailureDomain]int)
	var learners []consensus.Member
	for _, m := range f.members {
		switch {
		case !m.Learner && !f.isSilent(m.ID, memberTimeout):
			byDomain[f.enrolled[m.ID].domain]++
		case m.Learner && !m.Rejoining && m.Incarnation != 0 && !f.isSilent(m.ID, memberTimeout):
			learners = append(learners, m)
		}
	}
	if len(learners) == 0 {
		return consensus.Member{}, false
	}
	return slices.MinFunc(learners, func(a, b consensus.Member) int {
		return cmp.Or(
			cmp.Compare(byDomain[f.enrolled[a.ID].domain], byDomain[f.enrolled[b.ID].domain]),
			cmp.Compare(a.ID, b.ID),
		)
	}), true
}

// lostLearner returns a learner that has not enrolled for learnerTimeout.
func (f *membershipInput) lostLearner() (consensus.Member, bool) {
	for _, m := range f.members {
		if m.Learner && !m.Rejoining && f.isSilent(m.ID, learnerTimeout) {
			return m, true
		}
	}
	return consensus.Member{}, false
}
