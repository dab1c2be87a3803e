package consensus

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// admission is the state of a member that was bootstrapped and has never taken
// part. The bootstrap option may be left on when a disk is lost, so the member
// neither votes nor acknowledges until every other member has answered that it
// is empty as well. A member that knows of a term proves the opposite.
type admission struct {
	// nonce tells the answers to this process from older ones.
	nonce    uint64
	empty    map[api.VoterID]bool
	deadline time.Duration
	obsolete bool
}

// newAdmission returns nil for a member that needs none.
func newAdmission(cfg CoreConfig, state State) *admission {
	m := state.Snapshot.Membership
	used := state.HardState.Term > 0 || state.Snapshot.Index > 0 || len(state.Entries) > 0
	if used || len(m.Members) == 0 || cfg.Incarnation != BootstrapIncarnation {
		return nil
	}
	self, listed := m.find(cfg.ID)
	if listed && len(m.Members) == 1 {
		return nil
	}
	return &admission{
		nonce: cfg.Nonce,
		empty: map[api.VoterID]bool{},
		// A member that is not part of the bootstrap can only join later.
		obsolete: !listed || self.Learner,
	}
}

// Obsolete reports whether this member was bootstrapped into a cluster that
// already existed. It has to start again under a new incarnation.
func (c *Core) Obsolete() bool { return c.admission != nil && c.admission.obsolete }

// tickAdmission asks the other members whether they are empty.
func (c *Core) tickAdmission() {
	if c.now < c.admission.deadline {
		return
	}
	c.admission.deadline = c.now + c.cfg.Heartbeat
	for _, m := range c.membership().Members {
		if m.ID != c.cfg.ID {
			c.send(Message{Kind: MsgHello, To: m.ID, Round: c.admission.nonce})
		}
	}
}

func (c *Core) handleHello(m Message) {
	c.respond(Message{Kind: MsgHelloResponse, To: m.From, Round: m.Round, Index: c.log.last()})
}

func (c *Core) handleHelloResponse(m Message) {
	a := c.admission
	if a == nil || m.Round != a.nonce || a.empty[m.From] {
		return
	}
	if m.Term > 0 || m.Index > 0 {
		a.obsolete = true
		return
	}
	if !c.membership().votes(m.From, m.Inc) {
		return
	}
	a.empty[m.From] = true
	if len(a.empty) == len(c.membership().Members)-1 {
		c.admission = nil
		c.resetElectionTimer()
	}
}
