package ingress

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/crashes"
)

const (
	// trialTimeout bounds the call that asks control for a trial.
	trialTimeout = 500 * time.Millisecond
	// trialInterval is the time between two questions for the trial of one quarantine
	// while control gives no other.
	trialInterval = time.Second
)

// contentOf hashes what stays the same when a request is retried: the account, method,
// URI and body.
func contentOf(c *call) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(c.accountID()))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.http.Request.Header.Method())
	_, _ = d.Write(c.http.Request.Header.RequestURI())
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.http.Request.Body())
	return d.Sum64()
}

// crashKeys are what the request shares with others that may crash a server.
func (c *call) crashKeys() []crashes.Key {
	if c.keys == nil {
		for _, id := range c.head.PromptParts {
			c.keys = append(c.keys, crashes.PartKey(id))
		}
		c.keys = append(c.keys, crashes.ContentKey(contentOf(c)))
	}
	return c.keys
}

func (c *call) server() crashes.Server {
	return crashes.Server{Target: c.place.Target.ID, Generation: c.place.Target.Generation}
}

func keyNames(keys []crashes.Key) []string {
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = string(k)
	}
	return out
}

// quarantine refuses a request with keys that crash servers, or makes it the trial of
// their quarantine.
func (s *Server) quarantine(c *call) error {
	if err := s.checkVerdicts(c); err != nil {
		return err
	}
	snapshot := s.cfg.State.Snapshot()
	if !snapshot.QuarantinesKeys() {
		return nil
	}
	for _, q := range snapshot.QuarantinesOf(keyNames(c.crashKeys())) {
		wait, granted := s.askTrial(c, q)
		if !granted {
			return quarantined(q.Keys, q.Deaths, wait)
		}
		c.trials = append(c.trials, q)
	}
	return nil
}

// checkVerdicts refuses a request to which a verdict of the entries applies. Control may
// not know it yet. While a verdict is pending, the request waits for it.
func (s *Server) checkVerdicts(c *call) error {
	for {
		v, applies, wait := s.crashes.Match(c.crashKeys, time.Now())
		switch {
		case applies:
			return quarantined(keyNames(v.Keys), len(v.Servers), crashes.HoldTime)
		case wait == 0 || c.ctx.Err() != nil:
			return nil
		}
		level.Info(s.logger).Log("msg", "Request waits for a verdict on its keys", "request", c.head.ID, "wait_ms", wait.Milliseconds())
		clock.Sleep(c.ctx, wait)
	}
}

// recheckQuarantine applies what became known while the request waited or ran elsewhere. It is
// called before each send.
func (s *Server) recheckQuarantine(c *call) error {
	if s.shutdown.cut.Load() {
		// The place is that of a request which the exit has ended.
		return exitRefusal(c)
	}
	if err := s.checkVerdicts(c); err != nil {
		return err
	}
	return s.checkTrials(c)
}

var errVerdictPending = errors.New("a verdict on the keys of the request is pending")

// recheckQuarantineNow is recheckQuarantine without a wait: while a verdict is pending, it
// fails.
func (s *Server) recheckQuarantineNow(c *call) error {
	v, applies, wait := s.crashes.Match(c.crashKeys, time.Now())
	switch {
	case applies:
		return quarantined(keyNames(v.Keys), len(v.Servers), crashes.HoldTime)
	case wait > 0:
		return errVerdictPending
	}
	return s.checkTrials(c)
}

// checkTrials refuses a request that quarantines apply to, unless it is their trial.
func (s *Server) checkTrials(c *call) error {
	snapshot := s.cfg.State.Snapshot()
	if !snapshot.QuarantinesKeys() {
		return nil
	}
	for _, q := range snapshot.QuarantinesOf(keyNames(c.crashKeys())) {
		if !slices.ContainsFunc(c.trials, func(t api.Quarantine) bool { return t.Fingerprint == q.Fingerprint }) {
			return quarantined(q.Keys, q.Deaths, trialInterval)
		}
	}
	return nil
}

func quarantined(keys []string, servers int, retryAfter time.Duration) *refusal {
	r := unavailable("quarantined", "servers crashed under requests with these properties", errors.Newf("%d servers under %s", servers, joined(keys)))
	r.retryAfter = max(retryAfter, defaultRetryAfter)
	return r
}

// trialClock remembers when control may next be asked for the trial of a quarantine.
type trialClock struct {
	mu   sync.Mutex
	next map[string]time.Time
}

// reserve reports whether the trial may be asked for now, otherwise the remaining time.
func (t *trialClock) reserve(fingerprint string, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if wait := t.next[fingerprint].Sub(now); wait > 0 {
		return wait, false
	}
	t.next[fingerprint] = now.Add(trialInterval)
	return 0, true
}

func (t *trialClock) set(fingerprint string, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next[fingerprint] = next
}

// retain drops the times of quarantines that are over.
func (t *trialClock) retain(list []api.Quarantine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fingerprint := range t.next {
		if !slices.ContainsFunc(list, func(q api.Quarantine) bool { return q.Fingerprint == fingerprint }) {
			delete(t.next, fingerprint)
		}
	}
}

// askTrial asks control whether this request may be the one that shows whether a
// quarantine is still right. It returns the time until the next question otherwise.
func (s *Server) askTrial(c *call, q api.Quarantine) (time.Duration, bool) {
	now := time.Now()
	if wait, ok := s.trials.reserve(q.Fingerprint, now); !ok {
		return wait, false
	}
	ctx, cancel := withTimeout(trialTimeout)
	defer cancel()
	var res api.QuarantineResponse
	err := s.cfg.Control.Call(ctx, api.MethodQuarantine, s.quarantineRequest(api.QuarantineTry, q), &res)
	if err != nil {
		level.Warn(s.logger).Log("msg", "Failed to ask for a trial", "request", c.head.ID, "quarantine", q.Fingerprint, "err", err)
		return trialInterval, false
	}
	level.Info(s.logger).Log("msg", "Trial of a quarantine", "request", c.head.ID, "quarantine", q.Fingerprint, "granted", res.Granted,
		"next_ms", res.RetryAfterMillis)
	if res.Granted {
		return 0, true
	}
	wait := max(trialInterval, time.Duration(res.RetryAfterMillis)*time.Millisecond)
	s.trials.set(q.Fingerprint, now.Add(wait))
	return wait, false
}

func (s *Server) quarantineRequest(action api.QuarantineAction, q api.Quarantine) api.QuarantineRequest {
	return api.QuarantineRequest{Action: action, Fingerprint: q.Fingerprint, Keys: q.Keys, Entry: s.cfg.Self.ID, Deaths: q.Deaths}
}

// recordCrash counts a server that closed the connection of a request that it may have
// run. A server that stalls or refuses has not crashed, nor has one that control released,
// and a request that is over has closed the connection itself.
func (s *Server) recordCrash(c *call, failed *attemptError) {
	if !failed.ran || failed.stalled || !failed.closed || c.ctx.Err() != nil {
		return
	}
	if _, gone := c.pool.Silence(c.place); gone {
		return
	}
	c.crashed = true
	server, now := c.server(), time.Now()
	s.crashes.Record(c.pool.Name(), server, c.crashKeys(), c.sent, now)
	level.Info(s.logger).Log("msg", "Server may have crashed", "request", c.head.ID, "target", server.Target, "generation", server.Generation,
		"keys", joined(keyNames(c.crashKeys())), "events", c.events, "held_ms", now.Sub(c.sent).Milliseconds(), "trial", len(c.trials) > 0)
	for _, q := range c.trials {
		s.reporter.quarantines.add(s.quarantineRequest(api.QuarantineExtend, q))
	}
}

func (s *Server) logVerdict(v crashes.Verdict) {
	targets := make([]string, 0, len(v.Servers))
	for _, server := range v.Servers {
		targets = append(targets, server.Target)
	}
	level.Warn(s.logger).Log("msg", "Requests with these keys crash servers", "keys", joined(keyNames(v.Keys)), "servers", len(v.Servers),
		"targets", joined(targets))
}

// recordAnswer counts a complete answer as evidence that a request is harmless. A request
// that was sent before its keys were quarantined is evidence too.
func (s *Server) recordAnswer(c *call) {
	if c.crashed || c.place == nil {
		return
	}
	snapshot := s.cfg.State.Snapshot()
	quarantined := snapshot.QuarantinesKeys() && len(snapshot.QuarantinesOf(keyNames(c.crashKeys()))) > 0
	s.crashes.Answered(c.pool.Name(), c.server(), c.crashKeys(), quarantined, time.Now())
}

// settleCrashes logs new verdicts, and lifts the quarantines that answers have refuted.
func (s *Server) settleCrashes() {
	snapshot := s.cfg.State.Snapshot()
	s.trials.retain(snapshot.Quarantines)
	settled := s.crashes.Settle(time.Now())
	for _, v := range settled.Passed {
		s.logVerdict(v)
	}
	for _, keys := range settled.Harmless {
		for _, q := range snapshot.QuarantinesOf(keyNames(keys)) {
			s.reporter.quarantines.add(s.quarantineRequest(api.QuarantineLift, q))
		}
	}
}
