package entry

import (
	"context"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// heartbeatDelay is how long announcements that repeat the last one are
	// collected.
	heartbeatDelay = 250 * time.Millisecond
	// newsDelay is how long announcements that tell something new are collected.
	newsDelay = 10 * time.Millisecond
	// announceTimeout bounds the delivery of one batch; the next heartbeat
	// makes up for a lost one.
	announceTimeout = time.Second
	// announceBatchSize is the largest number of whole announcements in a batch.
	announceBatchSize = 512
	// announceMaxHosts bounds the hosts that an entry forwards for.
	announceMaxHosts = api.MaxSlots
)

// forwarded is the last whole announcement of a host that was sent, and its
// slot.
type forwarded struct {
	announcement api.Announcement
	slot         uint64
	// silent is set once the host was reported as silent.
	silent bool
}

// announceBatch collects the newest announcement of each host, and knows which
// of them the leader already has.
type announceBatch struct {
	mu       sync.Mutex
	pending  map[api.HostID]api.Announcement
	sent     map[api.HostID]forwarded
	session  uint64
	lastSlot uint64
	// heard is when the hosts announced themselves last.
	heard map[api.HostID]time.Time
	// silent are the slots of hosts to report as silent.
	silent []uint64
	// news wakes the sender for what the leader does not know.
	news chan struct{}
}

func newAnnounceBatch() *announceBatch {
	return &announceBatch{
		pending: make(map[api.HostID]api.Announcement),
		sent:    make(map[api.HostID]forwarded),
		heard:   make(map[api.HostID]time.Time),
		news:    make(chan struct{}, 1),
	}
}

func (b *announceBatch) put(ann api.Announcement, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, found := b.pending[ann.Host]
	if found && !newer(ann, old) {
		return
	}
	if !found && len(b.pending) >= announceMaxHosts {
		return
	}
	b.pending[ann.Host] = ann
	b.heard[ann.Host] = now
	if !b.isKnown(ann) {
		signal(b.news)
	}
}

// findSilent notes the hosts that were last heard before a moment as silent.
func (b *announceBatch) findSilent(before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for host, heard := range b.heard {
		if !heard.Before(before) {
			continue
		}
		delete(b.heard, host)
		delete(b.pending, host)
		if row, found := b.sent[host]; found {
			row.silent = true
			b.sent[host] = row
			b.silent = append(b.silent, row.slot)
		}
	}
}

// isKnown reports whether the leader has all but the sequence and the load.
func (b *announceBatch) isKnown(ann api.Announcement) bool {
	last, found := b.sent[ann.Host]
	return found && !last.silent && last.announcement == ann.Significant()
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// newer orders announcements of one host by incarnation, then sequence.
func newer(a, b api.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// heartbeats removes the pending announcements that repeat the last one and
// returns them as a batch, or nil when there are none.
func (b *announceBatch) heartbeats() *api.AnnounceBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	beats := b.takeBeats()
	if len(beats) == 0 {
		return nil
	}
	return &api.AnnounceBatch{Session: b.session, Heartbeats: api.EncodeSlots(beats)}
}

// takeBeats removes the pending announcements that repeat the last one and
// returns their slots. The lock is held.
func (b *announceBatch) takeBeats() []uint64 {
	var beats []uint64
	for host, ann := range b.pending {
		if b.isKnown(ann) {
			beats = append(beats, b.sent[host].slot)
			delete(b.pending, host)
		}
	}
	return beats
}

// take removes pending announcements and returns them as a batch, which is
// empty when nothing is pending. Those that repeat the last one are left for the
// renewal of the work lease unless withBeats is set.
func (b *announceBatch) take(withBeats bool) api.AnnounceBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := api.AnnounceBatch{Session: b.session, Silent: api.EncodeSlots(b.silent)}
	b.silent = nil
	if withBeats {
		batch.Heartbeats = api.EncodeSlots(b.takeBeats())
	}
	for host, ann := range b.pending {
		if b.isKnown(ann) {
			continue
		}
		if len(batch.Announcements) == announceBatchSize {
			continue
		}
		b.lastSlot++
		b.sent[host] = forwarded{announcement: ann.Significant(), slot: b.lastSlot}
		batch.Announcements = append(batch.Announcements, ann)
		batch.Slots = append(batch.Slots, b.lastSlot)
		delete(b.pending, host)
	}
	return batch
}

// acknowledge learns the session of the leader. Session 0 stands for a failed
// delivery or for slots that the leader does not know. A session other than that
// of the batch belongs to another leader. Either way everything is sent whole.
func (b *announceBatch) acknowledge(session uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	begun := b.session == 0
	if session == 0 || session != b.session && !begun {
		clear(b.sent)
	}
	b.session = session
}

// announceLoop sends news at once and what repeats the last announcement in
// batches, unless the renewals of the work lease carry it.
func (a *Agent) announceLoop(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.batch.news:
			wait(ctx, newsDelay)
		case <-ticker.C:
			a.findSilent()
		}
		a.flush(ctx)
	}
}

// findSilent looks for hosts that stopped announcing themselves. An entry that
// forwards heartbeats rarely tells the leader of silence at once.
func (a *Agent) findSilent() {
	if a.cfg.DetectionBound > 0 {
		a.batch.findSilent(a.cfg.Clock.Now().Add(-a.cfg.DetectionBound))
	}
}

func (a *Agent) flush(ctx context.Context) {
	for ctx.Err() == nil {
		batch := a.batch.take(!a.renewalsCarry())
		if len(batch.Announcements) == 0 && len(batch.Heartbeats) == 0 && len(batch.Silent) == 0 {
			return
		}
		a.sendAnnouncements(ctx, batch)
	}
}

func (a *Agent) sendAnnouncements(ctx context.Context, batch api.AnnounceBatch) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	batch.Entry = a.cfg.State.Info.ID
	batch.Incarnation = a.cfg.State.Info.Incarnation
	var response api.AnnounceBatchResponse
	err := a.cfg.Control.Call(ctx, api.MethodAnnounce, batch, &response)
	a.noteLeader(err)
	a.undelivered.Store(a.logChange("announcement batch", a.undelivered.Load(), err))
	if err != nil {
		a.batch.acknowledge(0)
		return
	}
	a.batch.acknowledge(response.Session)
}
