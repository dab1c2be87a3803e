package consensus

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// resetElectionTimer draws a new election timeout.
func (c *Core) resetElectionTimer() {
	c.deadline = c.now + c.randomTimeout(c.cfg.ElectionMin, c.cfg.ElectionMax)
}

// resetRetryTimer draws the delay before a failed election is repeated. It may
// be shorter than ElectionMin, because no leader lease depends on it.
func (c *Core) resetRetryTimer() {
	c.deadline = c.now + c.randomTimeout(c.cfg.ElectionMin/4, c.cfg.ElectionMin)
}

func (c *Core) randomTimeout(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rand.Int64N(int64(high-low)+1))
}

// recentLeaderContact reports whether this member leads or had contact with a
// leader within ElectionMin. It then grants no vote but that of a transfer.
func (c *Core) recentLeaderContact() bool {
	return c.role == leader || c.now-c.lastLeaderContact < c.cfg.ElectionMin
}

// campaign starts a pre-vote round, which does not increase the term.
func (c *Core) campaign() {
	c.resetElectionTimer()
	if !c.mayCampaign() {
		return
	}
	c.role = preCandidate
	c.leader = ""
	c.forced = false
	c.resetRetryTimer()
	c.requestVotes(MsgPreVote, c.term+1)
}

// mayCampaign reports whether this member is a voter. It still is while its
// removal is uncommitted: the others may need its longer log.
func (c *Core) mayCampaign() bool {
	return c.membership().isVoter(c.cfg.ID, c.cfg.Incarnation) ||
		c.configAtIndex(c.log.committed).isVoter(c.cfg.ID, c.cfg.Incarnation)
}

// startElection starts an election in a new term.
func (c *Core) startElection() {
	c.role = candidate
	c.leader = ""
	c.term++
	c.vote = c.cfg.ID
	c.resetRetryTimer()
	c.requestVotes(MsgVote, c.term)
}

func (c *Core) requestVotes(kind MessageKind, term uint64) {
	c.votes = map[api.VoterID]bool{c.cfg.ID: true}
	for _, m := range c.membership().Members {
		if m.Learner || m.ID == c.cfg.ID {
			continue
		}
		// A vote request implies our own vote, which has to be synced first.
		c.respond(Message{
			Kind: kind, To: m.ID, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Forced: c.forced,
		})
	}
	c.countVotes()
}

func (c *Core) handlePreVote(m Message) {
	grant := m.Term > c.term && !c.recentLeaderContact() && c.log.upToDate(m.Index, m.LogTerm)
	if grant {
		c.respond(Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term})
		return
	}
	c.respond(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
}

func (c *Core) handleVote(m Message) {
	voteAvailable := c.vote == m.From || (c.vote == "" && c.leader == "")
	if !voteAvailable || (c.recentLeaderContact() && !m.Forced) || !c.log.upToDate(m.Index, m.LogTerm) {
		c.respond(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	c.vote = m.From
	c.resetElectionTimer()
	c.respond(Message{Kind: MsgVoteResponse, To: m.From})
}

func (c *Core) handleVoteResponse(m Message) {
	preVote := c.role == preCandidate && m.Kind == MsgPreVoteResponse && m.Term == c.term+1
	vote := c.role == candidate && m.Kind == MsgVoteResponse
	if m.Reject || (!preVote && !vote) {
		return
	}
	if !c.membership().isVoter(m.From, m.Inc) {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

func (c *Core) countVotes() {
	granted := 0
	for _, m := range c.membership().Members {
		if !m.Learner && c.votes[m.ID] {
			granted++
		}
	}
	if granted < c.membership().quorum() {
		return
	}
	if c.role == preCandidate {
		c.startElection()
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role = leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.lease = leaseState{start: c.now, confirmedAt: c.now}
	c.rejoin = map[api.VoterID]Member{}
	c.peers = map[api.VoterID]*progress{}
	c.syncPeers()
	if p, ok := c.peers[c.lastLeader]; ok {
		p.contact = c.lastLeaderContact
	}
	c.termStart = c.appendTermStart()
	c.lease.roundDue = true
	c.deadline = c.now + c.cfg.Heartbeat
}

// appendTermStart appends the first entry of a term. The first entry of the log
// repeats the bootstrap membership, so that a member that starts empty receives
// it with the log.
func (c *Core) appendTermStart() uint64 {
	if c.log.last() > 0 {
		return c.appendEntry(EntryNoop, nil)
	}
	return c.appendConfig(c.membership())
}

func (c *Core) tickLeader() {
	if c.now-c.lease.start > c.cfg.ElectionMax {
		c.becomeFollower(c.term, "")
		return
	}
	if c.now >= c.deadline {
		c.lease.roundDue = true
		c.deadline = c.now + c.cfg.Heartbeat
	}
	c.tickMembership()
}
