package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/clock"
)

const (
	headerLeaving = "Server-Leaving"
	// maxPause is the longest pause that a server asks for.
	maxPause = 6 * time.Second
	// pauseSlack is the time in which requests may still arrive after a server has asked for a
	// pause, and pausedRequests the number that may arrive later.
	pauseSlack     = 500 * time.Millisecond
	pausedRequests = 2
)

// notices is what a server tells the entries in its answers.
type notices struct {
	// leaving is set while its answers say that it leaves. Its heartbeats don't.
	leaving bool
	// busy is the pause that it asks for while it turns requests away, 0 while it takes them.
	busy time.Duration
	// told is what each entry knows, by its IP.
	told map[string]*toldEntry
}

// toldEntry is what one entry knows of a server.
type toldEntry struct {
	// leavingAt is when an answer first said that the server leaves, zero before.
	leavingAt time.Time
	// pausedAt and pausedUntil bound the last pause, arrivals counts the requests in it.
	pausedAt, pausedUntil time.Time
	arrivals              int
}

// notify lets one server announce its departure in its answers only, before it leaves in order,
// or lets one server or all of its service turn requests away and ask for a pause.
func (s *system) notify(ctx context.Context, r *rand.Rand, e event) {
	b := s.fleet.pick(r)
	if b == nil {
		return
	}
	if e.Action == actionLeave {
		b.tell(notices{leaving: true})
		clock.Sleep(ctx, drainTime+drainSlack+e.Length)
		s.replaceServer(ctx, b)
		return
	}
	chosen := []*server{b}
	// Streams have to be served meanwhile, see the check of poisoned prompts.
	if !b.engine && r.IntN(3) != 0 {
		chosen = s.fleet.ofService(b.service)
	}
	pause := time.Duration(r.Int64N(int64(maxPause)))
	for _, b := range chosen {
		b.tell(notices{busy: pause})
	}
	clock.Sleep(ctx, e.Length)
	for _, b := range chosen {
		b.mu.Lock()
		b.notices.busy = 0
		b.mu.Unlock()
	}
}

// ofService returns the servers of a service.
func (f *fleet) ofService(service string) []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*server
	for _, s := range f.servers {
		if s.service == service {
			out = append(out, s)
		}
	}
	return out
}

// tell replaces the notices of a server. What the entries know stays.
func (s *server) tell(n notices) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.told = s.notices.told
	if n.told == nil {
		n.told = make(map[string]*toldEntry)
	}
	s.notices = n
}

// notice checks that the request may come and adds to the answer what the server tells: that
// it leaves, and if it could take the request, that it wants a pause instead. It reports
// whether it does.
func (s *server) notice(ctx *fasthttp.RequestCtx, id string, now time.Time, answers, takes bool) (busy bool) {
	entry := s.entries[ctx.RemoteIP().String()]
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &s.notices
	if n.told == nil || entry == nil {
		return false
	}
	known := n.told[entry.ip]
	if known == nil {
		known = &toldEntry{}
		n.told[entry.ip] = known
	}
	known.check(s, entry, id, now)
	if !answers {
		return false
	}
	if n.leaving {
		ctx.Response.Header.Set(headerLeaving, "1")
		if known.leavingAt.IsZero() {
			known.leavingAt = now
		}
	}
	if !takes || n.busy == 0 {
		return false
	}
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(n.busy.Seconds(), 'f', 3, 64))
	if until := now.Add(n.busy); until.After(known.pausedUntil) {
		known.pausedUntil = until
	}
	if known.pausedAt.IsZero() {
		known.pausedAt = now
	}
	return true
}

// check reports a request that an entry sends although it knows that the server leaves, or
// wants none for a time. A restart or a pause of the entry's process since then excuses it.
func (k *toldEntry) check(s *server, entry *daemon, id string, now time.Time) {
	if !k.leavingAt.IsZero() && entry.undisturbedSince(k.leavingAt) {
		// The answer that told it may take until its end to reach the caller.
		if sent := s.oracle.sentAt(id); sent.After(k.leavingAt.Add(drainTime + drainSlack)) {
			s.oracle.violation("DRAIN: %s gets request %s from %s, sent %s after its answer said that it leaves",
				s.id, id, entry.name, sent.Sub(k.leavingAt).Round(time.Millisecond))
		}
	}
	switch {
	case k.pausedAt.IsZero():
	case !now.Before(k.pausedUntil):
		k.pausedAt, k.arrivals = time.Time{}, 0
	case now.Sub(k.pausedAt) > pauseSlack && entry.undisturbedSince(k.pausedAt):
		if k.arrivals++; k.arrivals == pausedRequests+1 {
			s.oracle.violation("BUDGET: %s gets request %s from %s, the %d. while it has asked for a pause until %s later",
				s.id, id, entry.name, k.arrivals, k.pausedUntil.Sub(now).Round(time.Millisecond))
		}
	}
}
