package consensus

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// BootstrapIncarnation is the incarnation of the members of a first start.
const BootstrapIncarnation api.Incarnation = 1

// promoteLag is the largest number of entries that a learner may lack when it
// is promoted.
const promoteLag = 64

// indexedConfig is the membership in force from one index on.
type indexedConfig struct {
	index      uint64
	membership Membership
}

// ChangeKind identifies what a Change does.
type ChangeKind string

// Kinds of membership changes.
const (
	// ChangeAddLearner adds a member that does not vote.
	ChangeAddLearner ChangeKind = "add-learner"
	// ChangePromote turns a learner that has caught up into a voter.
	ChangePromote ChangeKind = "promote"
	// ChangeRemove removes a member.
	ChangeRemove ChangeKind = "remove"
	// changeRejoin replaces a member by a learner of a new incarnation.
	changeRejoin ChangeKind = "rejoin"
)

// Change is one membership change of one member. Promote and remove read only
// Member.ID.
type Change struct {
	Kind   ChangeKind
	Member Member
}

func (m Membership) find(id api.VoterID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// isVoter reports whether a member is a voter under an incarnation.
func (m Membership) isVoter(id api.VoterID, incarnation api.Incarnation) bool {
	member, ok := m.find(id)
	return ok && !member.Learner && member.Incarnation == incarnation
}

func (m Membership) quorum() int {
	voters := 0
	for _, member := range m.Members {
		if !member.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

// with returns a copy that contains member in place of any of the same ID.
func (m Membership) with(member Member) Membership {
	out := m.without(member.ID)
	out.Members = append(out.Members, member)
	slices.SortFunc(out.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (m Membership) without(id api.VoterID) Membership {
	out := Membership{Members: make([]Member, 0, len(m.Members)+1)}
	for _, member := range m.Members {
		if member.ID != id {
			out.Members = append(out.Members, member)
		}
	}
	return out
}

// membership returns the newest membership in the log, committed or not.
func (c *Core) membership() Membership { return c.configs[len(c.configs)-1].membership }

// Membership returns the newest membership in the log.
func (c *Core) Membership() Membership { return c.membership() }

func (c *Core) loadConfigs(s State) {
	c.configs = []indexedConfig{{s.Snapshot.Index, s.Snapshot.Membership}}
	c.recordConfigs(s.Entries)
}

func (c *Core) recordConfigs(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryConfig {
			continue
		}
		m, err := decodeMembership(e.Data)
		if err != nil {
			c.err = errs.Wrap(err, "read membership entry", "")
			return
		}
		c.configs = append(c.configs, indexedConfig{e.Index, m})
	}
}

// truncateConfigs drops the memberships from index on.
func (c *Core) truncateConfigs(index uint64) {
	n := len(c.configs)
	for n > 1 && c.configs[n-1].index >= index {
		n--
	}
	c.configs = c.configs[:n]
}

// configAtIndex returns the membership in force at a log index.
func (c *Core) configAtIndex(index uint64) Membership {
	n := len(c.configs) - 1
	for n > 0 && c.configs[n].index > index {
		n--
	}
	return c.configs[n].membership
}

// compactConfigs drops the memberships before the one in force at index.
func (c *Core) compactConfigs(index uint64) {
	n := 0
	for n+1 < len(c.configs) && c.configs[n+1].index <= index {
		n++
	}
	c.configs = slices.Clone(c.configs[n:])
}

// ProposeMembership appends a membership change. One change at a time is
// allowed, and none before an entry of the leader's term has been committed:
// the majorities of consecutive memberships then always overlap.
func (c *Core) ProposeMembership(change Change) (index, term uint64, err error) {
	const step = "propose membership"
	if c.role != leader {
		return 0, 0, errs.New(errs.NotLeader, step, "", "not the leader")
	}
	if c.log.committed < c.termStart || c.configs[len(c.configs)-1].index > c.log.committed {
		return 0, 0, errs.New(errs.Unavailable, step, "", "an earlier change or the first entry of the term is not yet committed")
	}
	next, err := c.membershipAfter(change)
	if err != nil {
		return 0, 0, err
	}
	return c.appendConfig(next), c.term, nil
}

// appendConfig appends a membership, which takes effect at once.
func (c *Core) appendConfig(m Membership) uint64 {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic("consensus: encode membership: " + err.Error())
	}
	index := c.appendEntry(EntryConfig, data)
	c.configs = append(c.configs, indexedConfig{index, m})
	c.syncPeers()
	return index
}

// membershipAfter returns the membership after a change.
func (c *Core) membershipAfter(change Change) (Membership, error) {
	const step = "change membership"
	now := c.membership()
	old, known := now.find(change.Member.ID)
	if !known && change.Kind != ChangeAddLearner {
		return Membership{}, errs.New(errs.NotFound, step, string(change.Member.ID), "no such member")
	}
	switch change.Kind {
	case ChangeAddLearner:
		if known {
			return Membership{}, errs.New(errs.Conflict, step, string(old.ID), "already a member")
		}
		change.Member.Learner = true
		return now.with(change.Member), nil
	case ChangePromote:
		if !old.Learner {
			return Membership{}, errs.New(errs.Conflict, step, string(old.ID), "already a voter")
		}
		if !c.caughtUp(old) {
			return Membership{}, errs.New(errs.Unavailable, step, string(old.ID), "the learner has not caught up")
		}
		old.Learner, old.Rejoining = false, false
		return now.with(old), nil
	case ChangeRemove:
		next := now.without(old.ID)
		if next.voterCount() == 0 {
			return Membership{}, errs.New(errs.Conflict, step, string(old.ID), "cannot remove the last voter")
		}
		return next, nil
	case changeRejoin:
		rejoined := change.Member
		rejoined.Rejoining = old.Rejoining || !old.Learner
		rejoined.Learner = true
		return now.with(rejoined), nil
	}
	return Membership{}, errs.New(errs.Invalid, step, "", "unknown change %q", change.Kind)
}

func (m Membership) voterCount() int {
	n := 0
	for _, member := range m.Members {
		if !member.Learner {
			n++
		}
	}
	return n
}

// memberStatuses returns the members as this member sees them.
func (c *Core) memberStatuses() []MemberStatus {
	members := c.membership().Members
	out := make([]MemberStatus, 0, len(members))
	for _, m := range members {
		status := MemberStatus{Member: m}
		if p, ok := c.peers[m.ID]; ok {
			status.Silence = max(0, c.lease.confirmedAt-p.contact)
			status.CaughtUp = m.Learner && c.caughtUp(m)
		}
		out = append(out, status)
	}
	return out
}

// caughtUp reports whether a learner lacks at most promoteLag entries. One that
// has acknowledged none under its current incarnation has not caught up,
// however short the log.
func (c *Core) caughtUp(m Member) bool {
	p := c.peers[m.ID]
	if p == nil || m.Incarnation == 0 || p.match == 0 || p.match < c.log.offset {
		return false
	}
	return p.match+promoteLag >= c.log.last()
}

// syncPeers aligns the progress records with the membership. A new incarnation
// gets a new record: acknowledgements of the lost data folder are void.
func (c *Core) syncPeers() {
	for _, m := range c.membership().Members {
		if m.ID == c.cfg.ID {
			continue
		}
		p := c.peers[m.ID]
		if p == nil || p.incarnation != m.Incarnation {
			c.peers[m.ID] = &progress{incarnation: m.Incarnation, next: c.log.last() + 1, contact: c.now}
		}
	}
	for id := range c.peers {
		if _, ok := c.membership().find(id); !ok {
			delete(c.peers, id)
		}
	}
}

// recordNewIncarnation records that a member restarted with an empty data
// folder. Incarnations only grow, so an older one is a delayed message.
func (c *Core) recordNewIncarnation(member Member, m Message) {
	if m.Inc <= member.Incarnation {
		return
	}
	next := Member{ID: member.ID, Address: member.Address, Incarnation: m.Inc}
	if m.Address != "" {
		next.Address = m.Address
	}
	c.rejoin[member.ID] = next
}

// tickMembership proposes the changes that need no operator.
func (c *Core) tickMembership() {
	for _, m := range c.membership().Members {
		if next, ok := c.rejoin[m.ID]; ok {
			delete(c.rejoin, m.ID)
			if next.Incarnation > m.Incarnation {
				c.tryChange(Change{Kind: changeRejoin, Member: next})
				return
			}
		}
		if m.Rejoining && c.caughtUp(m) {
			c.tryChange(Change{Kind: ChangePromote, Member: m})
			return
		}
	}
}

// tryChange proposes a change; a refused one is proposed again by a later tick.
func (c *Core) tryChange(change Change) {
	_, _, _ = c.ProposeMembership(change)
}

// stepDownIfRemoved steps down once the removal of this leader is committed.
func (c *Core) stepDownIfRemoved() {
	if c.configs[len(c.configs)-1].index > c.log.committed {
		return
	}
	if !c.membership().isVoter(c.cfg.ID, c.cfg.Incarnation) {
		c.becomeFollower(c.term, "")
	}
}
