package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	pathAnnounce    = "/v1/backends/announce"
	announceWorkers = 16
	announceTick    = 5 * time.Millisecond
	announceTimeout = time.Second
	// announceRetry is the wait after no entry accepted an announcement.
	announceRetry = 50 * time.Millisecond
	// minAnnounce is the shortest interval that an entry can request.
	minAnnounce = 10 * time.Millisecond
)

// loadSample is the load of a host at one point in time.
type loadSample struct {
	at              time.Time
	running, queued int
}

// loadHistory holds recent load samples, so that a host announces its load with
// a lag.
type loadHistory struct{ samples []loadSample }

// add records a sample and returns the newest one that is at least lag old, or
// the zero sample if there is none.
func (r *loadHistory) add(s loadSample, lag time.Duration) loadSample {
	r.samples = append(r.samples, s)
	reported := loadSample{}
	first := 0
	for i, old := range r.samples {
		if s.at.Sub(old.at) < lag {
			break
		}
		reported = old
		first = i
	}
	r.samples = r.samples[first:]
	return reported
}

// announcer sends the announcements of all hosts from a fixed pool of workers.
type announcer struct {
	fleet  *Fleet
	client *fasthttp.Client

	mu      sync.Mutex
	entries []string
}

func newAnnouncer(f *Fleet) *announcer {
	return &announcer{
		fleet:   f,
		entries: f.cfg.Entries,
		client: &fasthttp.Client{
			MaxConnsPerHost:     announceWorkers,
			ReadTimeout:         announceTimeout,
			WriteTimeout:        announceTimeout,
			MaxResponseBodySize: 1 << 20,
		},
	}
}

// run dispatches due hosts to the workers until ctx is done.
func (a *announcer) run(ctx context.Context) {
	due := make(chan *Host)
	for range announceWorkers {
		a.fleet.tasks.Go(func() {
			for h := range due {
				h.scheduleNext(a.announce(h))
			}
		})
	}
	defer close(due)
	ticker := time.NewTicker(announceTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, h := range a.fleet.dueHosts() {
			select {
			case due <- h:
			case <-ctx.Done():
				return
			}
		}
	}
}

// announce sends the host's announcement to one entry, trying the others in
// order if that fails, and returns the time until the next announcement.
func (a *announcer) announce(h *Host) time.Duration {
	message, ok := h.announcement()
	if !ok {
		return a.fleet.cfg.AnnounceInterval
	}
	body, err := json.Marshal(message)
	if err != nil {
		return a.fleet.cfg.AnnounceInterval
	}
	entries := a.entryList()
	for range entries {
		response, err := a.post(entries[h.entryIndex%len(entries)], body)
		if err != nil {
			_ = level.Debug(a.fleet.logger).Log("msg", "announcement failed", "host", h.id, "err", err)
			h.entryIndex++
			continue
		}
		a.setEntries(response.Entries)
		if response.NextMillis <= 0 {
			return a.fleet.cfg.AnnounceInterval
		}
		return max(time.Duration(response.NextMillis)*time.Millisecond, minAnnounce)
	}
	return announceRetry
}

func (a *announcer) post(entry string, body []byte) (api.AnnounceResponse, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + entry + pathAnnounce)
	req.Header.SetContentType("application/json")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+a.fleet.cfg.Token)
	req.SetBodyRaw(body)
	var out api.AnnounceResponse
	if err := a.client.DoTimeout(req, resp, announceTimeout); err != nil {
		return out, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return out, &statusError{status: resp.StatusCode(), body: string(resp.Body())}
	}
	err := json.Unmarshal(resp.Body(), &out)
	return out, err
}

func (a *announcer) entryList() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entries
}

// setEntries replaces the list of entries. An empty list is ignored.
func (a *announcer) setEntries(entries []string) {
	if len(entries) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = entries
}

// announcement builds the next announcement; ok is false when the host is down
// or paused.
func (h *Host) announcement() (api.Announcement, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up || h.paused.Load() {
		return api.Announcement{}, false
	}
	now := h.fleet.cfg.Clock.Now()
	h.sequence++
	m := api.Announcement{
		Version:     api.AnnouncementVersion,
		Host:        h.id,
		Incarnation: h.incarnation,
		Sequence:    h.sequence,
		Address:     h.address,
		Kind:        h.kind,
		Service:     h.service.Name,
		Fabric:      h.fabric,
		Domain:      h.domain,
		Leaving:     !h.leavingAt.IsZero(),
	}
	if h.kind == api.BackendEngine {
		h.describeEngine(&m, now)
	} else {
		h.describeService(&m)
	}
	return m, true
}

// describeEngine adds the fields that only engines announce. The caller holds
// h.mu.
func (h *Host) describeEngine(m *api.Announcement, now time.Time) {
	cfg := h.fleet.cfg.Engine
	sample := loadSample{at: now, running: len(h.engine.running), queued: len(h.engine.queue)}
	load := h.load.add(sample, cfg.ReportLag)
	m.Accelerators = 1
	m.Group = h.member.group
	m.Fencing = h.member.fencing
	m.Rank = h.member.rank
	m.Model = h.member.model
	m.Load = h.loadState(now)
	m.Warm = h.engine.warm
	m.BearableLoad = h.engine.capacity()
	if now.Before(h.claimsWarmUntil) {
		m.Warm = true
		m.BearableLoad = cfg.WarmLoad
	}
	m.WarmLoad = cfg.WarmLoad
	m.ChecksFencing = cfg.ChecksFencing
	m.Capabilities = cfg.Capabilities
	m.Running = load.running
	m.Queued = load.queued
}

// loadState returns the progress of loading the model. The caller holds h.mu.
func (h *Host) loadState(now time.Time) api.LoadState {
	switch {
	case h.member.group == "":
		return api.LoadIdle
	case now.Before(h.member.readyAt):
		return api.LoadLoading
	default:
		return api.LoadReady
	}
}

// takeDue reports whether an announcement is due and, if so, marks it as in
// progress.
func (h *Host) takeDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up || h.paused.Load() || h.announcing || now.Before(h.due) {
		return false
	}
	h.announcing = true
	// A state change during the announcement sets an earlier time.
	h.due = now.Add(time.Hour)
	return true
}

// scheduleNext sets the time of the next announcement, unless a state change
// has set an earlier one. The end of a model load is announced immediately.
func (h *Host) scheduleNext(next time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.fleet.cfg.Clock.Now()
	due := now.Add(next)
	if h.member.readyAt.After(now) && h.member.readyAt.Before(due) {
		due = h.member.readyAt
	}
	if due.Before(h.due) {
		h.due = due
	}
	h.announcing = false
}
