package consensus

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

type progressState uint8

const (
	// probe sends one append without entries at a time until the logs are known to
	// match.
	probe progressState = iota
	// replicate sends appends without waiting, up to the flow limit.
	replicate
	// sendingSnapshot sends snapshot chunks one at a time.
	sendingSnapshot
)

// progress tracks what the leader knows of one member's log.
type progress struct {
	incarnation api.Incarnation
	state       progressState
	match       uint64
	next        uint64
	// paused is set while a probe is unanswered.
	paused   bool
	inflight []uint64
	// round is the newest heartbeat round that the member answered.
	round uint64
	// dataRound is the heartbeat round in which entries or a chunk were last sent.
	dataRound      uint64
	snapshotOffset uint64
	snapshotIndex  uint64
	// contact is when the member last answered this leader. It starts with the
	// leadership, or with the last contact of a leader that was deposed.
	contact time.Duration
}

// lostMessageRounds is the number of heartbeat rounds after which entries or a chunk that
// are not acknowledged may have been lost. They may only be slow, and would be sent twice.
const lostMessageRounds = 2

func (p *progress) probeFrom(next uint64) {
	p.state = probe
	p.next = max(next, p.match+1)
	p.paused = false
	p.inflight = nil
}

// acknowledge removes the answered messages from the flow limit.
func (p *progress) acknowledge(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}

// flush queues the heartbeat round and the appends that the leader has to send. It stops
// at MaxReadyBytes of appends: a heartbeat that becomes due must not wait until large
// entries have been encoded for every member.
func (c *Core) flush() {
	if c.role != leader {
		return
	}
	if c.lease.roundDue {
		c.sendRound()
	}
	members := c.membership().Members
	for range members {
		m := members[c.nextMember%len(members)]
		for m.ID != c.cfg.ID && c.appendBytes < c.cfg.MaxReadyBytes && c.sendAppend(m.ID, false) {
		}
		c.nextMember = (c.nextMember + 1) % len(members)
		if c.appendBytes >= c.cfg.MaxReadyBytes {
			return
		}
	}
}

// sendAppend sends the next entries to a member and reports whether it may
// have more to send. An empty message is sent only when forced.
func (c *Core) sendAppend(id api.VoterID, force bool) bool {
	p := c.peers[id]
	if p.state == sendingSnapshot || p.paused || len(p.inflight) >= c.cfg.MaxInflight {
		return false
	}
	if p.next > c.log.last() && !force {
		return false
	}
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok {
		c.startSnapshot(id)
		return false
	}
	var entries []Entry
	if p.state == replicate {
		entries = c.log.slice(p.next, c.log.last(), c.cfg.MaxAppendBytes)
	}
	m := Message{
		Kind: MsgAppend, To: id, Index: p.next - 1, LogTerm: prevTerm,
		Commit: c.log.committed, Entries: entries,
	}
	c.appendBytes += m.size()
	c.send(m)
	if p.state == probe {
		p.paused = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.dataRound = c.lease.round
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
	return p.next <= c.log.last()
}

// follow records contact with the leader of this term.
func (c *Core) follow(m Message) {
	if c.role != follower {
		c.becomeFollower(m.Term, m.From)
	}
	c.leader = m.From
	c.lastLeader = m.From
	c.lastLeaderContact = c.now
	c.resetElectionTimer()
}

func (c *Core) handleAppend(m Message) {
	c.follow(m)
	if m.Index < c.log.committed {
		c.respond(Message{Kind: MsgAppendResponse, To: m.From, Index: c.log.committed})
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := c.log.conflictHint(m.Index, m.LogTerm)
		c.respond(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: hint})
		return
	}
	if !c.appendReceived(m) {
		return
	}
	last := m.Index + uint64(len(m.Entries))
	c.log.commitTo(min(m.Commit, last))
	c.respond(Message{Kind: MsgAppendResponse, To: m.From, Index: last})
}

// appendReceived appends entries, replacing a suffix that conflicts. It returns
// false, and the core stops, when a committed entry would be replaced.
func (c *Core) appendReceived(m Message) bool {
	for i, e := range m.Entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.committed {
			c.err = errs.New(errs.Internal, "append entries", string(m.From),
				"entry %d of term %d conflicts with a committed entry", e.Index, e.Term)
			return false
		}
		if e.Index <= c.log.last() {
			c.log.truncate(e.Index)
			c.truncateConfigs(e.Index)
		}
		c.log.append(m.Entries[i:]...)
		c.recordConfigs(m.Entries[i:])
		return true
	}
	return true
}

// handleResponse processes the answers of members to the leader.
func (c *Core) handleResponse(m Message) {
	if c.role != leader {
		return
	}
	member, known := c.membership().find(m.From)
	if !known {
		return
	}
	if member.Incarnation != m.Inc {
		c.recordNewIncarnation(member, m)
		return
	}
	p := c.peers[m.From]
	p.contact = c.now
	switch m.Kind {
	case MsgAppendResponse:
		c.handleAppendResponse(p, m)
	case MsgHeartbeatResponse:
		c.handleHeartbeatResponse(p, m)
	case MsgSnapshotResponse:
		c.handleSnapshotResponse(p, m)
	}
}

func (c *Core) handleAppendResponse(p *progress, m Message) {
	if m.Reject {
		c.handleReject(p, m)
		return
	}
	if m.Index > c.log.last() {
		return
	}
	p.acknowledge(m.Index)
	p.paused = false
	if m.Index <= p.match && p.state != probe {
		return
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.state == probe {
		p.state = replicate
	}
	if p.state == sendingSnapshot && p.match >= c.log.offset {
		p.probeFrom(p.match + 1)
	}
	c.maybeCommit()
}

func (c *Core) handleReject(p *progress, m Message) {
	stale := m.Index <= p.match || (p.state == probe && m.Index != p.next-1)
	if stale || p.state == sendingSnapshot {
		return
	}
	p.probeFrom(min(m.Index, m.Hint+1))
}

func (c *Core) handleHeartbeatResponse(p *progress, m Message) {
	if m.Reject {
		return
	}
	p.round = max(p.round, m.Round)
	c.countRound()
	p.paused = false
	maybeLost := m.Round > p.dataRound+lostMessageRounds
	if p.state == sendingSnapshot {
		if maybeLost {
			c.sendChunk(m.From, p)
		}
		return
	}
	if len(p.inflight) >= c.cfg.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	// An append after the last one sent reveals a lost message: the member
	// rejects it.
	if p.match < c.log.last() && p.next > c.log.last() && maybeLost {
		c.sendAppend(m.From, true)
	}
}

// maybeCommit commits what a quorum has synced. Only an entry of the current
// term commits by counting replicas; it commits the older ones with it.
func (c *Core) maybeCommit() {
	matches := make([]uint64, 0, len(c.peers)+1)
	for _, m := range c.membership().Members {
		switch {
		case m.Learner:
		case m.ID == c.cfg.ID:
			matches = append(matches, c.log.stable)
		default:
			matches = append(matches, c.peers[m.ID].match)
		}
	}
	index := quorumValue(matches)
	if index <= c.log.committed {
		return
	}
	term, _ := c.log.term(index)
	if !c.mayCommit(term) {
		return
	}
	c.log.commitTo(index)
	c.registerDeferredReads()
	c.stepDownIfRemoved()
}
