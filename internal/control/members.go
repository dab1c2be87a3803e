package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/faults"
)

const (
	// voterTimeout is the silence after which a voter counts as lost: the time for
	// which followers wait for a silent leader. A voter that was only silent loses
	// nothing by it: it is replaced only by a learner that has caught up, and becomes
	// a learner itself when it enrolls again.
	voterTimeout = consensus.DefaultElectionMax
	// candidateTimeout is the silence after which a learner is not promoted. It is
	// short: a learner that is promoted after its loss raises the quorum.
	candidateTimeout = 3 * consensus.DefaultHeartbeat
	// learnerTimeout is the silence after which a learner is removed, which is not
	// urgent.
	learnerTimeout = 30 * time.Second
	// enrollTimeout is the time without an enrollment after which a control daemon
	// that is no member counts as lost. Control daemons enroll once a second.
	enrollTimeout = 5 * time.Second
)

// enrolled is one control daemon that reported to the leader.
type enrolled struct {
	address string
	domain  api.FailureDomain
	seen    time.Time
	// leaving is set while the daemon shuts down.
	leaving bool
}

// enrolledTable holds the control daemons that reported to one leadership.
type enrolledTable struct {
	mu   sync.Mutex
	rows map[api.VoterID]enrolled
	// leftOut holds why a running daemon is not a voter, as last logged.
	leftOut map[api.VoterID]string
}

func newEnrolledTable() *enrolledTable {
	return &enrolledTable{rows: make(map[api.VoterID]enrolled)}
}

func (t *enrolledTable) update(r api.EnrollRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[r.Voter] = enrolled{address: r.Address, domain: r.Domain, seen: now, leaving: r.Leaving}
}

// forget drops the row of a removed member, which has to enroll again before it
// becomes a learner.
func (t *enrolledTable) forget(id api.VoterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, id)
}

// snapshot returns a copy of the rows.
func (t *enrolledTable) snapshot() map[api.VoterID]enrolled {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.rows)
}

// setLeftOut returns the reasons that differ from the last call.
func (t *enrolledTable) setLeftOut(reasons map[api.VoterID]string) map[api.VoterID]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed map[api.VoterID]string
	for id, reason := range reasons {
		if t.leftOut[id] != reason {
			if changed == nil {
				changed = make(map[api.VoterID]string)
			}
			changed[id] = reason
		}
	}
	t.leftOut = reasons
	return changed
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
	response := api.EnrollResponse{Members: s.memberAddresses()}
	if r.Leaving {
		input := s.membershipInput(lead)
		response.Replacing = input != nil && input.isBeingReplaced(r.Voter)
		level.Info(s.logger).Log("msg", "Control daemon leaving", "voter", r.Voter, "replacing", response.Replacing, "term", lead.term)
	}
	return response, s.confirmLeading(lead)
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

// membershipInput returns the input of the choice of a membership change, nil if
// operators manage the members.
func (s *Service) membershipInput(lead *leadership) *membershipInput {
	reader, ok := s.log.(MembershipReader)
	if !ok || s.cfg.Voters == 0 {
		return nil
	}
	return &membershipInput{
		members:  reader.Members(),
		enrolled: lead.enrolled.snapshot(),
		self:     s.log.Status().ID,
		wanted:   s.cfg.Voters,
		now:      s.cfg.Clock.Now(),
	}
}

// manageMembers makes at most one membership change.
func (s *Service) manageMembers(ctx context.Context, lead *leadership) {
	changer, ok := s.log.(MemberChanger)
	input := s.membershipInput(lead)
	if !ok || input == nil {
		return
	}
	for id, reason := range lead.enrolled.setLeftOut(input.leftOut()) {
		level.Info(s.logger).Log("msg", "Control daemon does not vote", "voter", id, "reason", reason, "term", lead.term)
	}
	change, reason := input.plan()
	if reason == "" {
		return
	}
	if err := changer.ChangeMembers(ctx, change); err != nil {
		level.Warn(s.logger).Log("msg", "Membership change failed", "action", change.Kind, "voter", change.Member.ID,
			"reason", reason, "term", lead.term, "err", err)
		return
	}
	if change.Kind == consensus.ChangeRemove {
		lead.enrolled.forget(change.Member.ID)
	}
	level.Info(s.logger).Log("msg", "Member changed", "action", change.Kind, "voter", change.Member.ID,
		"reason", reason, "members", len(input.members), "term", lead.term)
}

// membershipInput is the input of the choice of a membership change.
type membershipInput struct {
	members  []consensus.MemberStatus
	enrolled map[api.VoterID]enrolled
	self     api.VoterID
	wanted   int
	now      time.Time
}

// plan returns the next change and its reason, which is empty if none is due.
//
// A voter that is lost, shuts down or shares its failure domain with too many
// others is replaced by a learner that has caught up. The learner is promoted
// before the voter is removed, so that the number of voters does not fall if the
// voter still runs. Without a learner the voter stays, since removing it gains
// nothing.
func (f *membershipInput) plan() (consensus.Change, string) {
	if row, id, ok := f.newDaemon(); ok {
		member := consensus.Member{ID: id, Address: row.address}
		return consensus.Change{Kind: consensus.ChangeAddLearner, Member: member}, "a running control daemon is not a member"
	}
	voters := f.voters()
	outgoing, why := f.outgoing(voters)
	if len(voters) > f.wanted && why != "" {
		return consensus.Change{Kind: consensus.ChangeRemove, Member: outgoing.Member}, why
	}
	if candidate, ok := f.candidate(); ok && len(voters) <= f.wanted {
		change := consensus.Change{Kind: consensus.ChangePromote, Member: candidate.Member}
		switch {
		case len(voters) < f.wanted:
			return change, "fewer voters than configured"
		case why != "":
			return change, "replaces " + string(outgoing.ID) + ": " + why
		case f.spreadsBetter(candidate):
			return change, "its failure domain holds fewer voters than another"
		}
	}
	if learner, ok := f.lostLearner(); ok {
		return consensus.Change{Kind: consensus.ChangeRemove, Member: learner.Member}, "the learner is lost"
	}
	return consensus.Change{}, ""
}

// newDaemon returns a running daemon that is not a member.
func (f *membershipInput) newDaemon() (enrolled, api.VoterID, bool) {
	for _, id := range slices.Sorted(maps.Keys(f.enrolled)) {
		if row := f.enrolled[id]; !f.isMember(id) && !row.leaving && f.now.Sub(row.seen) <= enrollTimeout {
			return row, id, true
		}
	}
	return enrolled{}, "", false
}

func (f *membershipInput) isMember(id api.VoterID) bool {
	return slices.ContainsFunc(f.members, func(m consensus.MemberStatus) bool { return m.ID == id })
}

// isSilent reports whether a member is silent for longer than limit. The leader
// itself never is.
func (f *membershipInput) isSilent(m consensus.MemberStatus, limit time.Duration) bool {
	return m.ID != f.self && m.Silence > limit
}

// voters returns the voters, including those that rejoin after the loss of their
// data folder.
func (f *membershipInput) voters() []consensus.MemberStatus {
	return slices.DeleteFunc(slices.Clone(f.members), func(m consensus.MemberStatus) bool {
		return m.Learner && !m.Rejoining
	})
}

// outgoing returns the voter to remove first and the reason, which is empty if
// none is to go. A lost voter goes before one that shuts down, which still votes.
// A surplus voter in the failure domain with the most voters goes last.
func (f *membershipInput) outgoing(voters []consensus.MemberStatus) (consensus.MemberStatus, string) {
	for _, m := range voters {
		if f.isSilent(m, voterTimeout) {
			return m, "the voter is lost: silent for " + m.Silence.String()
		}
	}
	for _, m := range voters {
		if f.enrolled[m.ID].leaving {
			return m, "the voter shuts down"
		}
	}
	if count, ok := f.votersByDomain(); ok && len(voters) > f.wanted {
		return slices.MaxFunc(voters, func(a, b consensus.MemberStatus) int {
			return cmp.Or(
				cmp.Compare(count[f.enrolled[a.ID].domain], count[f.enrolled[b.ID].domain]),
				-cmpBool(a.ID == f.self, b.ID == f.self),
				cmp.Compare(a.ID, b.ID),
			)
		}), "more voters than configured"
	}
	return consensus.MemberStatus{}, ""
}

// cmpBool orders false before true.
func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// votersByDomain counts the voters of each failure domain. It returns false while
// the domain of a voter is unknown or a voter rejoins.
func (f *membershipInput) votersByDomain() (map[api.FailureDomain]int, bool) {
	count := make(map[api.FailureDomain]int)
	for _, m := range f.voters() {
		row, known := f.enrolled[m.ID]
		if !known || m.Learner {
			return nil, false
		}
		count[row.domain]++
	}
	return count, true
}

// spreadsBetter reports whether the voters are spread more evenly over the failure
// domains with the candidate in place of a voter.
func (f *membershipInput) spreadsBetter(candidate consensus.MemberStatus) bool {
	count, ok := f.votersByDomain()
	row, known := f.enrolled[candidate.ID]
	if !ok || !known {
		return false
	}
	most := slices.Max(slices.Collect(maps.Values(count)))
	return most >= count[row.domain]+2
}

// whyNotVoting returns why a learner can't be promoted, empty if it can.
func (f *membershipInput) whyNotVoting(m consensus.MemberStatus) string {
	switch {
	case f.enrolled[m.ID].leaving:
		return "it shuts down"
	case m.Incarnation == 0:
		return "it has not answered yet"
	case m.Silence > candidateTimeout:
		return "it is silent"
	case !m.CaughtUp:
		return "it has not caught up"
	}
	return ""
}

// candidate returns the learner to promote first: the one whose failure domain holds
// the fewest voters that remain.
func (f *membershipInput) candidate() (consensus.MemberStatus, bool) {
	byDomain := make(map[api.FailureDomain]int)
	var learners []consensus.MemberStatus
	for _, m := range f.members {
		switch {
		case m.Learner && !m.Rejoining && f.whyNotVoting(m) == "":
			learners = append(learners, m)
		case !m.Learner && !f.isSilent(m, voterTimeout) && !f.enrolled[m.ID].leaving:
			byDomain[f.enrolled[m.ID].domain]++
		}
	}
	if len(learners) == 0 {
		return consensus.MemberStatus{}, false
	}
	return slices.MinFunc(learners, func(a, b consensus.MemberStatus) int {
		return cmp.Or(
			cmp.Compare(byDomain[f.enrolled[a.ID].domain], byDomain[f.enrolled[b.ID].domain]),
			cmp.Compare(a.ID, b.ID),
		)
	}), true
}

// lostLearner returns a learner that is silent for learnerTimeout.
func (f *membershipInput) lostLearner() (consensus.MemberStatus, bool) {
	for _, m := range f.members {
		if m.Learner && !m.Rejoining && f.isSilent(m, learnerTimeout) {
			return m, true
		}
	}
	return consensus.MemberStatus{}, false
}

// leftOut returns why running daemons do not vote, nil if all do.
func (f *membershipInput) leftOut() map[api.VoterID]string {
	var out map[api.VoterID]string
	for _, m := range f.members {
		if !m.Learner || m.Rejoining {
			continue
		}
		if out == nil {
			out = make(map[api.VoterID]string)
		}
		out[m.ID] = cmp.Or(f.whyNotVoting(m), "enough others vote")
	}
	return out
}

// isBeingReplaced reports whether a voter that shuts down should keep voting until
// another daemon has taken its place.
func (f *membershipInput) isBeingReplaced(id api.VoterID) bool {
	voters := f.voters()
	if !slices.ContainsFunc(voters, func(m consensus.MemberStatus) bool { return m.ID == id && !m.Learner }) {
		return false
	}
	if _, _, ok := f.newDaemon(); ok || len(voters) > f.wanted {
		return true
	}
	return slices.ContainsFunc(f.members, func(m consensus.MemberStatus) bool {
		return m.Learner && !m.Rejoining && !f.enrolled[m.ID].leaving && !f.isSilent(m, voterTimeout)
	})
}
