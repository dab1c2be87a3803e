package consensus

import (
	"context"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// Transfer hands leadership to a voter that has synced the whole log. The lease
// ends before the message is sent, so that the target may be elected without
// waiting for it to expire. It returns false when this member does not lead or
// no voter has caught up.
func (c *Core) Transfer() bool {
	if c.role != leader {
		return false
	}
	target, ok := c.transferTarget()
	if !ok {
		return false
	}
	c.send(Message{Kind: MsgTransfer, To: target})
	c.becomeFollower(c.term, "")
	return true
}

// transferTarget returns the voter that has the whole log and answered the
// newest heartbeat round.
func (c *Core) transferTarget() (target api.VoterID, ok bool) {
	newest := uint64(0)
	for _, m := range c.membership().Members {
		if m.Learner || m.ID == c.cfg.ID {
			continue
		}
		p := c.peers[m.ID]
		if p.match == c.log.last() && p.round > newest {
			target, ok, newest = m.ID, true, p.round
		}
	}
	return target, ok
}

// handleTransfer starts an election for the leader that released its lease.
func (c *Core) handleTransfer(m Message) {
	if m.From != c.leader || !c.mayCampaign() {
		return
	}
	c.forced = true
	c.startElection()
}

// Resign transfers leadership to another voter before a planned stop. It fails
// with errs.NotLeader on another member, and with errs.Unavailable when no
// voter has caught up; the member may be stopped anyway.
func (s *Server) Resign(ctx context.Context) error {
	const step = "resign"
	return s.call(ctx, step, func(done chan<- error) {
		switch {
		case s.core.role != leader:
			done <- s.notLeader(step)
		case !s.core.Transfer():
			done <- errs.New(errs.Unavailable, step, "", "no voter has caught up")
		default:
			s.publish()
			done <- nil
		}
	})
}
