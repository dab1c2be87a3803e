package consensus

import (
	"slices"
	"time"
)

// leaseState tracks the heartbeat rounds and waiting reads of the leader.
type leaseState struct {
	// start is when the newest round that a quorum answered was sent.
	start time.Duration
	// confirmedRound is the newest round answered by a quorum; 0 is none.
	confirmedRound uint64
	// confirmedAt is when a quorum last answered a round.
	confirmedAt time.Duration
	round       uint64
	// roundDue requests a new round with the next Ready.
	roundDue bool
	sent     []sentRound
	// roundTrip is the time from sending the newest confirmed round to its
	// confirmation, until takeRoundTrip.
	roundTrip time.Duration
	reads     []pendingRead
	// deferredReads are reads that wait for the first commit of the term.
	deferredReads []uint64
}

type sentRound struct {
	round uint64
	at    time.Duration
}

// pendingRead waits until a quorum has answered its round.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// leaseDuration is shorter, by the drift of both clocks, than the time for
// which followers withhold their votes.
func (c *Core) leaseDuration() time.Duration {
	return c.cfg.ElectionMin * (100 - MaxClockDriftPercent) / (100 + MaxClockDriftPercent)
}

// LeaseEnd returns when the leader lease ends; ok is false without one. A
// lease counts only once an entry of this term has been committed.
func (c *Core) LeaseEnd() (end time.Duration, ok bool) {
	if c.role != leader || c.lease.confirmedRound == 0 || c.log.committed < c.termStart {
		return 0, false
	}
	return c.lease.start + c.leaseDuration(), true
}

// HasLease reports whether this member holds a valid leader lease at now.
func (c *Core) HasLease(now time.Duration) bool {
	end, ok := c.LeaseEnd()
	return ok && now < end
}

// sendRound sends a numbered heartbeat to every member.
func (c *Core) sendRound() {
	c.lease.roundDue = false
	c.lease.round++
	c.lease.sent = append(c.lease.sent, sentRound{c.lease.round, c.now})
	for _, m := range c.membership().Members {
		if m.ID == c.cfg.ID {
			continue
		}
		commit := min(c.peers[m.ID].match, c.log.committed)
		term, _ := c.log.term(commit)
		c.send(Message{Kind: MsgHeartbeat, To: m.ID, Round: c.lease.round, Commit: commit, LogTerm: term})
	}
	c.countRound()
}

func (c *Core) handleHeartbeat(m Message) {
	c.follow(m)
	// The term is compared because the leader may have recorded an
	// acknowledgement of an earlier incarnation of this member.
	if m.Commit > c.log.committed && c.log.matches(m.Commit, m.LogTerm) {
		c.log.commitTo(m.Commit)
	}
	c.respond(Message{Kind: MsgHeartbeatResponse, To: m.From, Round: m.Round})
}

// countRound finds the newest round answered by a quorum.
func (c *Core) countRound() {
	rounds := make([]uint64, 0, len(c.peers)+1)
	for _, m := range c.membership().Members {
		switch {
		case m.Learner:
		case m.ID == c.cfg.ID:
			rounds = append(rounds, c.lease.round)
		default:
			rounds = append(rounds, c.peers[m.ID].round)
		}
	}
	c.confirmRound(quorumValue(rounds))
}

func (c *Core) confirmRound(round uint64) {
	if round <= c.lease.confirmedRound {
		return
	}
	c.lease.confirmedRound = round
	c.lease.confirmedAt = c.now
	kept := c.lease.sent[:0]
	for _, s := range c.lease.sent {
		if s.round == round {
			c.lease.start = c.leaseStart(s.at, c.now)
			c.lease.roundTrip = c.now - s.at
		}
		if s.round > round {
			kept = append(kept, s)
		}
	}
	c.lease.sent = kept
	c.confirmReads()
}

// takeRoundTrip returns the round trip of the newest confirmed round once, else 0.
func (c *Core) takeRoundTrip() time.Duration {
	d := c.lease.roundTrip
	c.lease.roundTrip = 0
	return d
}

// quorumValue returns the largest value that a majority reaches.
func quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// ReadIndex registers a read. Its ReadState comes with a later Ready: at once
// under the lease, else after a quorum has answered a round sent after the
// call. A new leader first commits an entry of its term. ReadIndex returns false
// on another member.
func (c *Core) ReadIndex(now time.Duration, id uint64) bool {
	c.setNow(now)
	if c.role != leader {
		return false
	}
	if c.log.committed < c.termStart {
		c.lease.deferredReads = append(c.lease.deferredReads, id)
		return true
	}
	if c.HasLease(c.now) {
		c.reads = append(c.reads, ReadState{ID: id, Index: c.log.committed})
		return true
	}
	c.lease.roundDue = true
	c.lease.reads = append(c.lease.reads, pendingRead{id, c.log.committed, c.lease.round + 1})
	return true
}

func (c *Core) confirmReads() {
	kept := c.lease.reads[:0]
	for _, r := range c.lease.reads {
		if r.round <= c.lease.confirmedRound {
			c.reads = append(c.reads, ReadState{ID: r.id, Index: r.index})
			continue
		}
		kept = append(kept, r)
	}
	c.lease.reads = kept
}

// registerDeferredReads registers the deferred reads after the first commit of
// the term.
func (c *Core) registerDeferredReads() {
	if len(c.lease.deferredReads) == 0 || c.log.committed < c.termStart {
		return
	}
	deferred := c.lease.deferredReads
	c.lease.deferredReads = nil
	for _, id := range deferred {
		c.ReadIndex(c.now, id)
	}
}

func (c *Core) failReads() {
	for _, id := range c.lease.deferredReads {
		c.reads = append(c.reads, ReadState{ID: id, Failed: true})
	}
	c.lease.deferredReads = nil
	for _, r := range c.lease.reads {
		c.reads = append(c.reads, ReadState{ID: r.id, Failed: true})
	}
	c.lease.reads = nil
}
