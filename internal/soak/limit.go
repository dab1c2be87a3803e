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
	headerLimit = "Server-Limit"
	// limitFactor makes the action last beyond the time from which the limit must hold.
	limitFactor = 4
	limitWindow = 4 * time.Second
	// maxLimit bounds the limits, in requests a second: the load is several times that.
	maxLimit = 4.0
)

// namedLimit is the rate that a server takes from all entries together.
type namedLimit struct {
	rate  float64
	since time.Time
	// arrivals are the requests within limitWindow.
	arrivals []time.Time
}

// allowed is the number of requests in limitWindow that keeps the limit.
func (l *namedLimit) allowed() int { return int(1.5*l.rate*limitWindow.Seconds()) + 5 }

// limit lets a server name a limit for a time.
func (s *system) limit(ctx context.Context, r *rand.Rand, e event) {
	b := s.fleet.pick(r)
	if b == nil {
		return
	}
	b.setLimit(&namedLimit{rate: float64(r.IntN(40)) / 40 * maxLimit, since: time.Now()})
	clock.Sleep(ctx, limitFactor*e.Length)
	b.setLimit(nil)
}

func (s *server) setLimit(l *namedLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.named = l
}

// nameLimit puts the limit of the server into an answer. With planned work alone all
// entries obey it some time after it was first named.
func (s *server) nameLimit(ctx *fasthttp.RequestCtx, now time.Time) {
	s.mu.Lock()
	l := s.named
	if l == nil {
		s.mu.Unlock()
		return
	}
	ctx.Response.Header.Set(headerLimit, strconv.FormatFloat(l.rate, 'f', 3, 64))
	for len(l.arrivals) > 0 && now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	l.arrivals = append(l.arrivals, now)
	broken := s.planned && now.Sub(l.since) >= stableTime+limitWindow && len(l.arrivals) > l.allowed()
	n := len(l.arrivals)
	s.mu.Unlock()
	if broken {
		s.oracle.violation("LIMIT: %s has named a limit of %.3f a second for %s and gets %d requests in %s, %d allowed",
			s.id, l.rate, now.Sub(l.since).Round(time.Millisecond), n, limitWindow, l.allowed())
	}
}
