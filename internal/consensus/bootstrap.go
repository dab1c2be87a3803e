package consensus

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// bootstrapCheck is the state of a bootstrapped member that has never
// participated. The bootstrap option may still be set after a disk was lost, so
// the member neither votes nor acknowledges until every other member has
// answered that it is empty as well. A term or an entry proves the opposite.
type bootstrapCheck struct {
	// nonce distinguishes answers to this process from older ones.
	nonce          uint64
	confirmedEmpty map[api.VoterID]bool
	deadline       time.Duration
	obsolete       bool
}

// newBootstrapCheck returns nil for a member that needs no check. One whose bootstrap is
// trusted needs none: waiting for the others would make the first start depend on each of
// them.
func newBootstrapCheck(cfg CoreConfig, state State) *bootstrapCheck {
	m := state.Snapshot.Membership
	used := state.HardState.Term > 0 || state.Snapshot.Index > 0 || len(state.Entries) > 0
	if used || len(m.Members) == 0 || cfg.Incarnation != BootstrapIncarnation {
		return nil
	}
	self, listed := m.find(cfg.ID)
	if listed && len(m.Members) == 1 {
		return nil
	}
	if listed && !self.Learner && cfg.TrustBootstrap {
		return nil
	}
	return &bootstrapCheck{
		nonce:          cfg.Nonce,
		confirmedEmpty: map[api.VoterID]bool{},
		// A member that is no voter of the bootstrap can only join later.
		obsolete: !listed || self.Learner,
	}
}

// Obsolete reports whether this member was bootstrapped into a cluster that
// already existed. It has to start again under a new incarnation.
func (c *Core) Obsolete() bool { return c.bootstrapCheck != nil && c.bootstrapCheck.obsolete }

// tickBootstrapCheck asks the other members whether they are empty.
func (c *Core) tickBootstrapCheck() {
	if c.now < c.bootstrapCheck.deadline {
		return
	}
	c.bootstrapCheck.deadline = c.now + c.cfg.Heartbeat
	for _, m := range c.membership().Members {
		if m.ID != c.cfg.ID {
			c.send(Message{Kind: MsgHello, To: m.ID, Round: c.bootstrapCheck.nonce})
		}
	}
}

func (c *Core) handleHello(m Message) {
	c.respond(Message{Kind: MsgHelloResponse, To: m.From, Round: m.Round, Index: c.log.last()})
}

func (c *Core) handleHelloResponse(m Message) {
	check := c.bootstrapCheck
	if check == nil || m.Round != check.nonce || check.confirmedEmpty[m.From] {
		return
	}
	if m.Term > 0 || m.Index > 0 {
		check.obsolete = true
		return
	}
	if !c.membership().isVoter(m.From, m.Inc) {
		return
	}
	check.confirmedEmpty[m.From] = true
	if len(check.confirmedEmpty) == len(c.membership().Members)-1 {
		c.bootstrapCheck = nil
		c.resetElectionTimer()
	}
}
