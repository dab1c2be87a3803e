package consensus

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// TestOracleDetectsInjectedFaults runs one scenario per fault. The oracle must
// accept the correct core and report the named violation of the broken one.
func TestOracleDetectsInjectedFaults(t *testing.T) {
	cases := []struct {
		fault     fault
		voters    int
		scenario  func(s *sim) error
		violation string
	}{
		{faultAckBeforeSync, 3, scenarioAckBeforeSync, "leader completeness"},
		{faultVoteNotPersisted, 3, scenarioVoteNotPersisted, "election safety"},
		{faultDiskLossIgnored, 3, scenarioDiskLoss, "leader completeness"},
		{faultOldTermCommit, 5, scenarioOldTermCommit, "leader completeness"},
		{faultLeaseFromResponse, 3, scenarioLateResponse, "lease exclusivity"},
		{faultBootstrapTrusted, 3, scenarioDiskLoss, "leader completeness"},
		{faultEarlyChange, 4, scenarioEarlyChange, "leader completeness"},
		{faultTransferKeepsLease, 3, scenarioTransfer, "lease exclusivity"},
		{faultVoteAfterRestart, 3, scenarioQuickRestart, "lease exclusivity"},
	}
	for _, tc := range cases {
		t.Run(string(tc.fault), func(t *testing.T) {
			noDrift := func(n int) int { return n / 2 }
			require.NoError(t, tc.scenario(newSim(faultNone, tc.voters, noDrift)))
			err := tc.scenario(newSim(tc.fault, tc.voters, noDrift))
			require.Error(t, err)
			require.True(t, strings.HasPrefix(err.Error(), tc.violation), "%v", err)
		})
	}
}

// electFirstMember makes the first member the leader of a healthy cluster.
func (s *sim) electFirstMember() error {
	if err := s.run(8); err != nil {
		return err
	}
	s.now += 2 * DefaultElectionMax
	if err := s.runElection(0, s.nodes[0].core.campaign); err != nil {
		return err
	}
	return s.run(20)
}

// runElection starts an election and delivers everything without time passing.
func (s *sim) runElection(i int, start func()) error {
	n := s.nodes[i]
	n.core.setNow(s.local(n))
	start()
	if err := s.processReady(n, noCrash); err != nil {
		return err
	}
	return s.drain()
}

// drain delivers every message in flight and what they cause.
func (s *sim) drain() error {
	for len(s.network) > 0 {
		if err := s.deliver(0, false); err != nil {
			return err
		}
	}
	return nil
}

// deliverOne delivers the oldest message of a kind between two members, if one
// is in flight.
func (s *sim) deliverOne(kind MessageKind, from, to int) error {
	for i, m := range s.network {
		if m.Kind == kind && m.From == simID(from) && m.To == simID(to) {
			return s.deliver(i, false)
		}
	}
	return nil
}

func (s *sim) disconnect(a, b int) {
	s.blockedLinks[[2]api.VoterID{simID(a), simID(b)}] = true
	s.blockedLinks[[2]api.VoterID{simID(b), simID(a)}] = true
}

// propose appends a command at the first member.
func (s *sim) propose(command string) error {
	n := s.nodes[0]
	if index, term, ok := n.core.Propose([]byte(command)); ok {
		n.proposed[index] = term
	}
	return s.processReady(n, noCrash)
}

// scenarioAckBeforeSync crashes a follower between its answer and its sync.
func scenarioAckBeforeSync(s *sim) error {
	if err := s.electFirstMember(); err != nil {
		return err
	}
	s.disconnect(0, 2)
	if err := s.propose("a"); err != nil {
		return err
	}
	n := s.nodes[1]
	for _, m := range s.network {
		if m.To == n.id && m.Kind == MsgAppend {
			n.core.Step(s.local(n), m)
		}
	}
	if err := s.processReady(n, crashBeforeSync); err != nil {
		return err
	}
	if err := s.drain(); err != nil {
		return err
	}
	s.nodes[0].up = false
	s.start(n)
	return s.run(100)
}

// scenarioVoteNotPersisted restarts a voter between two candidates of one term.
func scenarioVoteNotPersisted(s *sim) error {
	if err := s.run(8); err != nil {
		return err
	}
	s.now += DefaultElectionMin
	for _, i := range []int{0, 2} {
		n := s.nodes[i]
		n.core.setNow(s.local(n))
		n.core.startElection()
		if err := s.processReady(n, noCrash); err != nil {
			return err
		}
	}
	if err := s.deliverOne(MsgVote, 0, 1); err != nil {
		return err
	}
	if err := s.deliverOne(MsgVoteResponse, 1, 0); err != nil {
		return err
	}
	s.start(s.nodes[1])
	s.now += DefaultElectionMax
	if err := s.deliverOne(MsgVote, 2, 1); err != nil {
		return err
	}
	return s.deliverOne(MsgVoteResponse, 1, 2)
}

// scenarioDiskLoss loses the disk of one of the two voters that hold an entry,
// and then the other voter.
func scenarioDiskLoss(s *sim) error {
	if err := s.electFirstMember(); err != nil {
		return err
	}
	s.disconnect(0, 2)
	s.disconnect(1, 2)
	if err := s.propose("a"); err != nil {
		return err
	}
	if err := s.run(10); err != nil {
		return err
	}
	n := s.nodes[1]
	if s.oracle.acked == 0 || !s.mayLoseDisk(n) {
		return nil
	}
	if err := s.loseDisk(n); err != nil {
		return err
	}
	s.nodes[0].up = false
	clear(s.blockedLinks)
	return s.run(100)
}

// scenarioOldTermCommit lets an entry of an older term reach a majority, and
// then elects a member that holds a newer entry in its place.
func scenarioOldTermCommit(s *sim) error {
	if err := s.electFirstMember(); err != nil {
		return err
	}
	for i := 2; i < 5; i++ {
		s.disconnect(0, i)
	}
	// Commands above the size of one message are sent alone.
	if err := s.propose(strings.Repeat("a", 100)); err != nil {
		return err
	}
	if err := s.drain(); err != nil {
		return err
	}
	s.nodes[0].up = false
	s.now += 2 * DefaultElectionMax
	if err := s.electWithVotes(4, 2, 3); err != nil {
		return err
	}
	s.nodes[4].up = false
	clear(s.blockedLinks)
	s.start(s.nodes[0])
	s.now += 2 * DefaultElectionMax
	if err := s.electWithVotes(0, 1, 2); err != nil {
		return err
	}
	// Only the entry of the first term reaches member 2.
	if err := s.replicateOldEntry(); err != nil {
		return err
	}
	s.nodes[0].up = false
	s.network = nil
	s.start(s.nodes[4])
	s.now += 2 * DefaultElectionMax
	return s.electWithVotes(4, 2, 3)
}

// electWithVotes elects a member by the votes of two others and drops every
// other message. A term that is already in use is followed by the next one.
func (s *sim) electWithVotes(i, a, b int) error {
	n := s.nodes[i]
	n.core.setNow(s.local(n))
	for n.core.role != leader {
		s.network = nil
		n.core.startElection()
		if err := s.processReady(n, noCrash); err != nil {
			return err
		}
		for _, voter := range []int{a, b} {
			if err := s.deliverOne(MsgVote, i, voter); err != nil {
				return err
			}
			if err := s.deliverOne(MsgVoteResponse, voter, i); err != nil {
				return err
			}
		}
		if n.core.term > 20 {
			return nil
		}
	}
	return nil
}

// replicateOldEntry exchanges appends between members 0 and 2 until member 2
// holds the entry of the first term, and drops everything else.
func (s *sim) replicateOldEntry() error {
	old := s.nodes[0].core.log.last() - 1
	for range 20 {
		if err := s.deliverOne(MsgAppend, 0, 2); err != nil {
			return err
		}
		if err := s.deliverOne(MsgAppendResponse, 2, 0); err != nil {
			return err
		}
		if s.nodes[2].core.log.last() == old {
			break
		}
	}
	for range 4 {
		if err := s.deliverOne(MsgAppend, 0, 1); err != nil {
			return err
		}
		if err := s.deliverOne(MsgAppendResponse, 1, 0); err != nil {
			return err
		}
		if s.nodes[1].core.log.last() > old {
			return nil
		}
	}
	return nil
}

// scenarioLateResponse delivers the answer to a heartbeat after the member that
// sent it has elected another leader.
func scenarioLateResponse(s *sim) error {
	if err := s.electFirstMember(); err != nil {
		return err
	}
	n := s.nodes[0]
	n.core.lease.roundDue = true
	if err := s.processReady(n, noCrash); err != nil {
		return err
	}
	for i := 1; i < 3; i++ {
		if err := s.deliverOne(MsgHeartbeat, 0, i); err != nil {
			return err
		}
	}
	late := s.network
	s.network = nil
	n.paused = true
	if err := s.run(100); err != nil {
		return err
	}
	n.paused = false
	s.network = late
	return s.drain()
}

// scenarioQuickRestart restarts the only follower of a leader while another
// member campaigns.
func scenarioQuickRestart(s *sim) error {
	if err := s.electFirstMember(); err != nil {
		return err
	}
	s.disconnect(0, 2)
	if err := s.run(60); err != nil {
		return err
	}
	s.disconnect(0, 1)
	s.start(s.nodes[1])
	return s.runElection(2, s.nodes[2].core.campaign)
}

// scenarioTransfer isolates a leader right after it has asked another member to
// take over.
func scenarioTransfer(s *sim) error {
	if err := s.electFirstMember(); err != nil {
		return err
	}
	n := s.nodes[0]
	if s.fault == faultTransferKeepsLease {
		n.core.send(Message{Kind: MsgTransfer, To: simID(1)})
	} else {
		n.core.Transfer()
	}
	if err := s.processReady(n, noCrash); err != nil {
		return err
	}
	if err := s.deliverOne(MsgTransfer, 0, 1); err != nil {
		return err
	}
	s.disconnect(0, 1)
	s.disconnect(0, 2)
	if err := s.drain(); err != nil {
		return err
	}
	s.nodes[1].core.lease.roundDue = true
	if err := s.processReady(s.nodes[1], noCrash); err != nil {
		return err
	}
	if err := s.drain(); err != nil {
		return err
	}
	if !s.nodes[1].core.HasLease(s.local(s.nodes[1])) {
		return errors.New("the transfer failed")
	}
	return nil
}

// scenarioEarlyChange makes two leaders change the same membership: the first
// promotes a learner, the second removes the first.
func scenarioEarlyChange(s *sim) error {
	if err := s.electFirstMember(); err != nil {
		return err
	}
	first, second := s.nodes[0], s.nodes[1]
	if err := s.changeAt(first, ChangeAddLearner, 4); err != nil {
		return err
	}
	if err := s.run(40); err != nil {
		return err
	}
	for i := 1; i < 5; i++ {
		s.disconnect(0, i)
	}
	if err := s.changeAt(first, ChangePromote, 4); err != nil {
		return err
	}
	first.up = false
	s.now += 2 * DefaultElectionMax
	if err := s.electWithVotes(1, 2, 3); err != nil {
		return err
	}
	s.network = nil
	s.disconnect(1, 3)
	s.disconnect(1, 4)
	if s.fault == faultEarlyChange {
		second.core.termStart = 0
	}
	if err := s.changeAt(second, ChangeRemove, 0); err != nil {
		return nil
	}
	if err := s.run(10); err != nil {
		return err
	}
	second.up, s.nodes[2].up = false, false
	clear(s.blockedLinks)
	s.start(first)
	s.now += 2 * DefaultElectionMax
	return s.electWithVotes(0, 3, 4)
}

func (s *sim) changeAt(n *simNode, kind ChangeKind, target int) error {
	_, _, err := n.core.ProposeMembership(Change{Kind: kind, Member: Member{ID: simID(target)}})
	if err != nil {
		return err
	}
	return s.processReady(n, noCrash)
}
