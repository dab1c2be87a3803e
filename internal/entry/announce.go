package entry

import (
	"context"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// announceInterval is the time over which announcements are collected.
	announceInterval = 100 * time.Millisecond
	// announceTimeout bounds the delivery of one batch; the next heartbeat
	// makes up for a lost one.
	announceTimeout = time.Second
	// announceBatchSize is the largest number of announcements in one call.
	announceBatchSize = 512
	// announceMaxHosts bounds the hosts that wait for the next batch.
	announceMaxHosts = 65536
)

// announceBatch collects the newest announcement of each host.
type announceBatch struct {
	mu     sync.Mutex
	byHost map[api.HostID]api.Announcement
	filled chan struct{}
}

func newAnnounceBatch() *announceBatch {
	return &announceBatch{
		byHost: make(map[api.HostID]api.Announcement),
		filled: make(chan struct{}, 1),
	}
}

func (b *announceBatch) put(ann api.Announcement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, found := b.byHost[ann.Host]
	if found && !newer(ann, old) {
		return
	}
	if !found && len(b.byHost) >= announceMaxHosts {
		return
	}
	b.byHost[ann.Host] = ann
	select {
	case b.filled <- struct{}{}:
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

// take removes and returns up to announceBatchSize announcements.
func (b *announceBatch) take() []api.Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]api.Announcement, 0, min(len(b.byHost), announceBatchSize))
	for host, ann := range b.byHost {
		if len(out) == announceBatchSize {
			break
		}
		out = append(out, ann)
		delete(b.byHost, host)
	}
	return out
}

func (a *Agent) announceLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.batch.filled:
		}
		for list := a.batch.take(); len(list) > 0; list = a.batch.take() {
			a.sendAnnouncements(ctx, list)
		}
		wait(ctx, announceInterval)
	}
}

func (a *Agent) sendAnnouncements(ctx context.Context, list []api.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request := api.AnnounceBatch{Entry: a.cfg.State.Info.ID, Announcements: list}
	var response api.AnnounceBatchResponse
	err := a.cfg.Control.Call(ctx, api.MethodAnnounce, request, &response)
	if err != nil && ctx.Err() == nil {
		a.logChange("announcement batch", false, err)
	}
}
