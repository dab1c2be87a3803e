package consensus

import "github.com/crocusway/crocusway/internal/api"

// incomingSnapshot collects the chunks of one snapshot.
type incomingSnapshot struct {
	from  api.VoterID
	term  uint64
	meta  Snapshot
	total uint64
	data  []byte
}

// NewSnapshot returns a snapshot of the applied state.
func (c *Core) NewSnapshot(data []byte) Snapshot {
	index := c.log.applied
	term, _ := c.log.term(index)
	return Snapshot{Index: index, Term: term, Membership: c.configAtIndex(index), Data: data}
}

// Compact drops the log that a durable snapshot replaces, except for the
// trailing entries.
func (c *Core) Compact(s Snapshot) {
	c.snapshot = s
	from := c.log.trailing(s.Index, c.cfg.TrailingEntries, c.cfg.TrailingBytes)
	c.log.compact(from)
	c.compactConfigs(from)
}

// startSnapshot begins to send the newest snapshot to a member whose next
// entry is compacted.
func (c *Core) startSnapshot(id api.VoterID) {
	p := c.peers[id]
	p.state = sendingSnapshot
	p.snapshotOffset = 0
	p.inflight = nil
	c.sendChunk(id, p)
}

// sendChunk sends the chunk at the acknowledged offset.
func (c *Core) sendChunk(id api.VoterID, p *progress) {
	if p.snapshotIndex != c.snapshot.Index {
		p.snapshotIndex = c.snapshot.Index
		p.snapshotOffset = 0
	}
	total := uint64(len(c.snapshot.Data))
	end := min(p.snapshotOffset+uint64(c.cfg.ChunkBytes), total)
	part := c.snapshot
	part.Data = c.snapshot.Data[p.snapshotOffset:end]
	chunk := &SnapshotChunk{Snapshot: part, Offset: p.snapshotOffset, Total: total}
	p.dataRound = c.lease.round
	c.send(Message{Kind: MsgSnapshot, To: id, Chunk: chunk})
}

// handleSnapshot adds a chunk and installs the snapshot once it is complete.
func (c *Core) handleSnapshot(m Message) {
	c.follow(m)
	if m.Chunk == nil {
		return
	}
	if m.Chunk.Snapshot.Index <= c.log.committed {
		c.incoming = nil
		c.respond(Message{Kind: MsgAppendResponse, To: m.From, Index: c.log.committed})
		return
	}
	if c.log.matches(m.Chunk.Snapshot.Index, m.Chunk.Snapshot.Term) {
		// The log may hold acknowledged entries beyond the snapshot.
		c.log.commitTo(m.Chunk.Snapshot.Index)
		c.respond(Message{Kind: MsgAppendResponse, To: m.From, Index: c.log.committed})
		return
	}
	in := c.addChunk(m)
	if uint64(len(in.data)) < in.total {
		c.respond(Message{Kind: MsgSnapshotResponse, To: m.From, Index: in.meta.Index, Hint: uint64(len(in.data))})
		return
	}
	c.restore(in)
	c.respond(Message{Kind: MsgAppendResponse, To: m.From, Index: c.log.committed})
}

// addChunk appends a chunk that continues the received data.
func (c *Core) addChunk(m Message) *incomingSnapshot {
	in := c.incoming
	meta := m.Chunk.Snapshot
	if in == nil || in.from != m.From || in.term != m.Term || in.meta.Index != meta.Index {
		in = &incomingSnapshot{from: m.From, term: m.Term, meta: meta, total: m.Chunk.Total}
		c.incoming = in
	}
	if m.Chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, meta.Data...)
	}
	return in
}

// restore replaces the log with a received snapshot.
func (c *Core) restore(in *incomingSnapshot) {
	s := in.meta
	s.Data = in.data
	c.incoming = nil
	c.snapshot = s
	c.receivedSnapshot = &s
	c.log.reset(s)
	c.configs = []indexedConfig{{s.Index, s.Membership}}
}

func (c *Core) handleSnapshotResponse(p *progress, m Message) {
	if p.state != sendingSnapshot || m.Index != p.snapshotIndex {
		return
	}
	if m.Hint > uint64(len(c.snapshot.Data)) {
		return
	}
	progressed := m.Hint > p.snapshotOffset
	// A member that restarted meanwhile has lost the chunks and reports a lower
	// offset; a later heartbeat response sends the chunk there.
	p.snapshotOffset = m.Hint
	if progressed {
		c.sendChunk(m.From, p)
	}
}
