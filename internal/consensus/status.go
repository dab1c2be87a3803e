package consensus

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// publishedStatus is the state of the core that other goroutines may read.
type publishedStatus struct {
	status     Status
	leaseEnd   time.Duration
	hasLease   bool
	leaderAddr string
	members    []MemberStatus
}

// publish updates the published status and logs changes of role and membership.
func (s *Server) publish() {
	p := publishedStatus{
		status: Status{
			ID:        s.cfg.ID,
			Leader:    s.core.leader,
			Term:      s.core.term,
			Applied:   s.applied,
			Compacted: s.core.log.offset,
			Voters:    s.voterStatuses(),
		},
		leaderAddr: s.route(s.core.leader).Address,
		members:    s.core.memberStatuses(),
	}
	p.leaseEnd, p.hasLease = s.core.LeaseEnd()
	if s.core.role != s.lastRole {
		s.lastRole = s.core.role
		level.Info(s.logger).Log("msg", "Role changed.", "role", s.lastRole, "term", s.core.term,
			"since_leader_contact", s.core.now-s.core.lastLeaderContact)
	}
	if text := s.core.Membership().describe(); text != s.lastMembers {
		s.lastMembers = text
		level.Info(s.logger).Log("msg", "Members changed.", "members", text, "term", s.core.term)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = p
}

// describe lists the members with their roles, for the log.
func (m Membership) describe() string {
	var b strings.Builder
	for _, member := range m.Members {
		memberRole := "voter"
		if member.Learner {
			memberRole = "learner"
		}
		fmt.Fprintf(&b, "%s=%s ", member.ID, memberRole)
	}
	return strings.TrimSpace(b.String())
}

func (s *Server) voterStatuses() []api.VoterStatus {
	members := s.core.Membership().Members
	out := make([]api.VoterStatus, 0, len(members))
	for _, m := range members {
		out = append(out, api.VoterStatus{ID: m.ID, Address: m.Address, Role: s.roleOf(m), Match: s.core.match(m.ID)})
	}
	return out
}

func (s *Server) roleOf(m Member) string {
	switch {
	case m.Learner:
		return "learner"
	case m.ID == s.core.leader:
		return "leader"
	}
	return "follower"
}

// Status returns the state of this voter. Leading is computed at the call.
func (s *Server) Status() Status {
	s.mu.Lock()
	p := s.status
	s.mu.Unlock()
	p.status.Leading = p.hasLease && s.now() < p.leaseEnd
	return p.status
}

// Members returns the newest membership in the log of this member.
func (s *Server) Members() []MemberStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.members
}

// notLeader returns the error of a member that does not lead, with the address
// of the leader if it is known.
func (s *Server) notLeader(step string) error {
	s.mu.Lock()
	address := s.status.leaderAddr
	s.mu.Unlock()
	err := errs.New(errs.NotLeader, step, string(s.cfg.ID), "not the leader")
	err.Detail = address
	return err
}
