package entry

import (
	"context"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
)

const (
	// heartbeatDelay is how long unchanged announcements are collected.
	heartbeatDelay = 250 * time.Millisecond
	// changeDelay is how long changed announcements are collected.
	changeDelay = 10 * time.Millisecond
	// announceTimeout bounds the delivery of one batch. A lost batch is covered by
	// the next heartbeat.
	announceTimeout = time.Second
	// announceBatchSize is the largest number of whole announcements in a batch.
	announceBatchSize = 512
	// announceMaxHosts bounds the hosts that an entry forwards for.
	announceMaxHosts = api.MaxSlots
)

// sentAnnouncement is the last whole announcement sent for a host, and its slot.
type sentAnnouncement struct {
	announcement api.Announcement
	slot         uint64
	// silent is set once the host was reported as silent.
	silent bool
}

// announceBatch collects the newest announcement of each host and tracks what was
// already sent to the leader.
type announceBatch struct {
	mu       sync.Mutex
	pending  map[api.HostID]api.Announcement
	sent     map[api.HostID]sentAnnouncement
	session  uint64
	lastSlot uint64
	// lastAnnounced is the time of each host's last accepted announcement.
	lastAnnounced map[api.HostID]time.Time
	// silent are the slots of hosts to report as silent.
	silent []uint64
	// changed wakes the sender after an announcement that differs from the last
	// one sent.
	changed chan struct{}
}

func newAnnounceBatch() *announceBatch {
	return &announceBatch{
		pending:       make(map[api.HostID]api.Announcement),
		sent:          make(map[api.HostID]sentAnnouncement),
		lastAnnounced: make(map[api.HostID]time.Time),
		changed:       make(chan struct{}, 1),
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
	b.lastAnnounced[ann.Host] = now
	if !b.repeatsSent(ann) {
		signal(b.changed)
	}
}

// markSilent drops the hosts whose last announcement is older than the given time
// and queues a report for those that the leader was sent.
func (b *announceBatch) markSilent(before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for host, at := range b.lastAnnounced {
		if !at.Before(before) {
			continue
		}
		delete(b.lastAnnounced, host)
		delete(b.pending, host)
		if last, found := b.sent[host]; found {
			last.silent = true
			b.sent[host] = last
			b.silent = append(b.silent, last.slot)
		}
	}
}

// repeatsSent reports whether ann differs from the last announcement sent only in
// sequence and load, and the host was not reported as silent since.
func (b *announceBatch) repeatsSent(ann api.Announcement) bool {
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

// heartbeats removes the unchanged pending announcements and returns them as a
// batch, or nil if there are none.
func (b *announceBatch) heartbeats() *api.AnnounceBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	slots := b.takeHeartbeats()
	if len(slots) == 0 {
		return nil
	}
	return &api.AnnounceBatch{Session: b.session, Heartbeats: api.EncodeSlots(slots)}
}

// takeHeartbeats removes the unchanged pending announcements and returns their
// slots. The caller holds the lock.
func (b *announceBatch) takeHeartbeats() []uint64 {
	var slots []uint64
	for host, ann := range b.pending {
		if b.repeatsSent(ann) {
			slots = append(slots, b.sent[host].slot)
			delete(b.pending, host)
		}
	}
	return slots
}

// take removes pending announcements and returns them as a batch, which is empty
// if there is nothing to send. Unchanged announcements are left for the next lease
// renewal unless withHeartbeats is set.
func (b *announceBatch) take(withHeartbeats bool) api.AnnounceBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := api.AnnounceBatch{Session: b.session, Silent: api.EncodeSlots(b.silent)}
	b.silent = nil
	if withHeartbeats {
		batch.Heartbeats = api.EncodeSlots(b.takeHeartbeats())
	}
	for host, ann := range b.pending {
		if b.repeatsSent(ann) {
			continue
		}
		if len(batch.Announcements) == announceBatchSize {
			continue
		}
		b.lastSlot++
		b.sent[host] = sentAnnouncement{announcement: ann.Significant(), slot: b.lastSlot}
		batch.Announcements = append(batch.Announcements, ann)
		batch.Slots = append(batch.Slots, b.lastSlot)
		delete(b.pending, host)
	}
	return batch
}

// acknowledge records the session of the leader. Session 0 means that the delivery
// failed or that the leader does not have some of the slots; a different session
// belongs to another leader. In both cases all announcements are sent whole again.
func (b *announceBatch) acknowledge(session uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	firstSession := b.session == 0
	if session == 0 || session != b.session && !firstSession {
		clear(b.sent)
	}
	b.session = session
}

// announceLoop sends changed announcements after changeDelay and unchanged ones
// every heartbeatDelay, unless lease renewals carry the unchanged ones.
func (a *Agent) announceLoop(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.batch.changed:
			clock.Sleep(ctx, changeDelay)
		case <-ticker.C:
			a.reportSilentHosts()
		}
		a.flush(ctx)
	}
}

// reportSilentHosts detects hosts that stopped announcing themselves. The entry reports
// them at once, since it may forward heartbeats only rarely.
func (a *Agent) reportSilentHosts() {
	if a.cfg.DetectionBound > 0 {
		a.batch.markSilent(a.cfg.Clock.Now().Add(-a.cfg.DetectionBound))
	}
}

func (a *Agent) flush(ctx context.Context) {
	for ctx.Err() == nil {
		batch := a.batch.take(!a.renewalsCarryHeartbeats())
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
	a.recordLeaderContact(err)
	a.announcementsFailing.Store(a.logTransition("announcement batch", a.announcementsFailing.Load(), err))
	if err != nil {
		a.batch.acknowledge(0)
		return
	}
	a.batch.acknowledge(response.Session)
}
