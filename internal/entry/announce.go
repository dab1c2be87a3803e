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
}

// announceBatch collects the newest announcement of each host, and knows which
// of them the leader already has.
type announceBatch struct {
	mu       sync.Mutex
	pending  map[api.HostID]api.Announcement
	sent     map[api.HostID]forwarded
	session  uint64
	lastSlot uint64
	// filled and news wake the sender; news for what the leader does not know.
	filled chan struct{}
	news   chan struct{}
}

func newAnnounceBatch() *announceBatch {
	return &announceBatch{
		pending: make(map[api.HostID]api.Announcement),
		sent:    make(map[api.HostID]forwarded),
		filled:  make(chan struct{}, 1),
		news:    make(chan struct{}, 1),
	}
}

func (b *announceBatch) put(ann api.Announcement) {
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
	signal(b.filled)
	if !b.isKnown(ann) {
		signal(b.news)
	}
}

// isKnown reports whether the leader has all but the sequence and the load.
func (b *announceBatch) isKnown(ann api.Announcement) bool {
	last, found := b.sent[ann.Host]
	return found && last.announcement == ann.Significant()
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

// take removes pending announcements and returns them as a batch, which is
// empty when nothing is pending.
func (b *announceBatch) take() api.AnnounceBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := api.AnnounceBatch{Session: b.session}
	var beats []uint64
	for host, ann := range b.pending {
		if b.isKnown(ann) {
			beats = append(beats, b.sent[host].slot)
			delete(b.pending, host)
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
	batch.Heartbeats = api.EncodeSlots(beats)
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

func (a *Agent) announceLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.batch.filled:
		}
		a.collect(ctx)
		for {
			batch := a.batch.take()
			if len(batch.Announcements) == 0 && len(batch.Heartbeats) == 0 {
				break
			}
			a.sendAnnouncements(ctx, batch)
		}
	}
}

// collect waits for more announcements, only shortly if there is news.
func (a *Agent) collect(ctx context.Context) {
	timer := time.NewTimer(heartbeatDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.batch.news:
		wait(ctx, newsDelay)
	}
}

func (a *Agent) sendAnnouncements(ctx context.Context, batch api.AnnounceBatch) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	batch.Entry = a.cfg.State.Info.ID
	batch.Incarnation = a.cfg.State.Info.Incarnation
	var response api.AnnounceBatchResponse
	err := a.cfg.Control.Call(ctx, api.MethodAnnounce, batch, &response)
	if err != nil {
		a.batch.acknowledge(0)
		if ctx.Err() == nil {
			a.logChange("announcement batch", false, err)
		}
		return
	}
	a.batch.acknowledge(response.Session)
}
