package ingress

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	// exit is when the process exits, nil before the shutdown begins.
	exit atomic.Pointer[time.Time]
	// cut is set once the requests in progress are ended: nothing is sent to a server then.
	cut atomic.Bool
	// least is the time that is left to a request whose deadline is later than the exit.
	least time.Duration
}

// BeginShutdown tells that the process exits at the given time. From then on a request whose
// deadline is later is accepted only while at least the given time is left: one that still
// runs at the exit loses its answer. The caller may send it to another entry. Call it once.
func (s *Server) BeginShutdown(exit time.Time, least time.Duration) {
	s.shutdown.least = least
	s.shutdown.exit.Store(&exit)
}

// leavingRetryAfter bounds the retry hint of an entry that shuts down: other entries take the
// request at once.
const leavingRetryAfter = 50 * time.Millisecond

// checkShutdown refuses a request that may last longer than this process.
func (s *Server) checkShutdown(c *call) error {
	exit := s.shutdown.exit.Load()
	if exit == nil || !c.deadline.After(*exit) || exit.Sub(c.received) >= s.shutdown.least {
		return nil
	}
	return leavingRefusal()
}

// Drain waits until the answers of all requests have been written or ctx ends; a request
// counts from its first byte. From then on every request is refused, as nothing waits for its
// end. Call it again before the exit, to let the last refusals be written.
func (s *Server) Drain(ctx context.Context) { s.progress.drain(ctx) }

// maxCutLogged bounds the lines that Cut writes.
const maxCutLogged = 20

// errExit is the cause of a call that the exit of this process ends.
var errExit = errors.New("this entry exits")

// Cut ends the requests in progress, and logs the oldest of them. One that no server has run
// is refused, so that its caller may send it to another entry. Call Drain before and after it.
func (s *Server) Cut() {
	s.shutdown.cut.Store(true)
	now := time.Now()
	for i, r := range s.progress.byAge() {
		if r.cancel != nil {
			r.cancel(errExit)
		}
		if i >= maxCutLogged {
			continue
		}
		// A request without a deadline has not been read and routed yet.
		level.Warn(s.logger).Log("msg", "Request cut by the exit", "request", r.id, "route", r.route,
			"total_ms", now.Sub(r.received).Milliseconds(), "deadline_ms", max(0, r.deadline.Sub(r.received)).Milliseconds(), "stage", r.stage)
	}
}

// exitRefusal returns the answer to a call that the exit of this process ends.
func exitRefusal(c *call) *refusal {
	if c.ran == c.ranElsewhere {
		return leavingRefusal()
	}
	return &refusal{status: fasthttp.StatusBadGateway, code: codeLeaving, message: "this entry shuts down"}
}

// isCut reports whether the exit of this process ends the call.
func isCut(c *call) bool { return c.ctx != nil && errors.Is(context.Cause(c.ctx), errExit) }

// admit refuses a request that came after the last wait of a shutdown.
func (s *Server) admit(c *call) error {
	if c.admitted {
		return nil
	}
	return leavingRefusal()
}

func leavingRefusal() *refusal {
	r := unavailable(codeLeaving, "this entry shuts down", nil)
	r.retryAfter = time.Millisecond + rand.N(leavingRetryAfter)
	return r
}
