package consensus

import (
	"context"

	"github.com/crocusway/crocusway/internal/errs"
)

// Transfer gives up leadership in favour of the voter that has synced the whole
// log. The lease ends at once, before the message leaves, so that the target
// may be elected without waiting for it to run out. It returns false when this
// member does not lead or no voter has caught up.
func (c *Core) Transfer() bool {
	if c.role != leader {
		return false
	}
	for _, m := range c.membership().Members {
		if m.Learner || m.ID == c.cfg.ID || c.peers[m.ID].match < c.log.last() {
			continue
		}
		c.send(Message{Kind: MsgTransfer, To: m.ID})
		c.becomeFollower(c.term, "")
		return true
	}
	return false
}

// handleTransfer starts an election on behalf of the leader that gave up.
func (c *Core) handleTransfer(m Message) {
	if m.From != c.leader || !c.mayCampaign() {
		return
	}
	c.forced = true
	c.elect()
}

// Resign hands leadership to another voter before a planned stop. It fails with
// errs.NotLeader on another member, and with errs.Unavailable when no voter has
// caught up; the member may stop all the same.
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
