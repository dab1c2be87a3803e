// Package reach decides whether an entry has lost its links to all backend servers, as
// opposed to servers that have failed. It does no I/O.
//
// What requests show by the way is only a suspicion: many servers may be dead, slow or
// silent at once. A few connection attempts to servers of different failure domains, those
// first from which something arrived last, confirm or refute it. The links are lost if every
// one of them fails, and are back once two attempts in a row of rounds succeed.
package reach

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// SilenceBound is how long nothing may arrive from any server, while requests wait on
	// several, before the links are probed. A server that pauses is one of many.
	SilenceBound = 300 * time.Millisecond
	// ProbeTimeout bounds a connection attempt of a probe. Servers are a few milliseconds
	// away.
	ProbeTimeout = 300 * time.Millisecond
	// probeSlack is how late the end of a probe may be noticed. Later, this entry was frozen or
	// had no processor.
	probeSlack = 100 * time.Millisecond
	// probeInterval is the time between the starts of two rounds of probes.
	probeInterval = 250 * time.Millisecond
	// probesPerRound is the number of servers in a round.
	probesPerRound = 3
	// returnSuccesses is the number of probes that have to succeed, with no round in between
	// in which none does, before lost links are used again: one may get through where most
	// packets are dropped.
	returnSuccesses = 2
	// suspectServers is the number of servers that have to keep requests waiting, or to which
	// connection attempts have to fail with no successful one in between, before the links
	// are probed.
	suspectServers = 2
	// dialFailureLifetime is how long a failed connection attempt counts.
	dialFailureLifetime = 2 * time.Second
)

// Server is a backend server that may be probed.
type Server struct {
	Address string
	Domain  api.FailureDomain
}

// Tracker holds what one entry knows of its links to the backend servers. It is safe for
// concurrent use.
type Tracker struct {
	mu sync.Mutex
	// heard is when bytes last arrived from each server, heardAny the latest of these.
	heard    map[string]time.Time
	heardAny time.Time
	// dialed is when a connection attempt last succeeded, failed when one failed since.
	dialed time.Time
	failed map[string]time.Time
	// round is the round of probes in progress.
	round     *round
	roundAt   time.Time
	lastProbe map[string]time.Time
	// reached is when a probe of each server succeeded since the links were lost, and
	// successes the number of those that count for their return.
	reached   map[string]time.Time
	successes int
	lost      bool
}

// round is one round of probes.
type round struct {
	pending   int
	succeeded int
	// late is set if a probe of the round was of no use.
	late bool
}

// NewTracker returns a tracker of links that are thought to work.
func NewTracker() *Tracker {
	return &Tracker{
		heard: make(map[string]time.Time), failed: make(map[string]time.Time), lastProbe: make(map[string]time.Time),
		reached: make(map[string]time.Time),
	}
}

// Lost reports whether the links to all servers are lost.
func (t *Tracker) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Heard records that bytes arrived from a server.
func (t *Tracker) Heard(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard[address], t.heardAny = now, now
}

// SinceHeard returns the time since bytes arrived from any server, or -1 ms if none have.
func (t *Tracker) SinceHeard(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heardAny.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(t.heardAny)
}

// LinksShownSince reports whether the links have carried anything from any server after at,
// and for a connection attempt, whether another one has succeeded after at. Only then is
// the failure of one server at that time evidence against the server.
func (t *Tracker) LinksShownSince(at time.Time, dial bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost {
		return false
	}
	if dial {
		return t.dialed.After(at)
	}
	return t.heardAny.After(at)
}

// Dialed records the result of a connection attempt of a request.
func (t *Tracker) Dialed(address string, ok bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordDial(address, ok, now)
}

// recordDial records the result of a connection attempt. The lock is held.
func (t *Tracker) recordDial(address string, ok bool, now time.Time) {
	if !ok {
		t.failed[address] = now
		return
	}
	t.dialed = now
	clear(t.failed)
}

// Due returns the servers to probe now; the caller reports each result to Probed. list
// returns all servers, and waiting is the number of those on which requests have waited for
// SilenceBound without a byte. One goroutine at a time may call it.
func (t *Tracker) Due(list func() []Server, waiting int, now time.Time) []Server {
	if !t.mayProbe(waiting, now) {
		return nil
	}
	// The list takes the locks of pools, whose holders ask for the state of the links.
	servers := list()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retain(servers)
	if len(servers) == 0 || !t.lost && t.suspects(waiting, now) < min(suspectServers, len(servers)) {
		return nil
	}
	chosen := t.choose(servers)
	t.round, t.roundAt = &round{pending: len(chosen)}, now
	for _, s := range chosen {
		t.lastProbe[s.Address] = now
	}
	return chosen
}

// mayProbe reports whether a round may begin, and anything suggests that it should.
func (t *Tracker) mayProbe(waiting int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.round != nil || now.Sub(t.roundAt) < probeInterval {
		return false
	}
	return t.lost || t.suspects(waiting, now) > 0
}

// suspects returns the number of servers whose failure suggests that the links are lost. The
// lock is held.
func (t *Tracker) suspects(waiting int, now time.Time) int {
	for address, at := range t.failed {
		if now.Sub(at) >= dialFailureLifetime {
			delete(t.failed, address)
		}
	}
	if now.Sub(t.heardAny) < SilenceBound {
		waiting = 0
	}
	return max(len(t.failed), waiting)
}

// choose returns up to probesPerRound servers, of different failure domains as far as possible.
// While the links are thought to work, those come first from which bytes arrived last, and
// to which no connection attempt has failed; once they are lost, those that a probe reached
// last, then those probed longest ago. The lock is held.
func (t *Tracker) choose(servers []Server) []Server {
	order := slices.Clone(servers)
	slices.SortStableFunc(order, func(a, b Server) int {
		if t.lost {
			return cmp.Or(t.reached[b.Address].Compare(t.reached[a.Address]), t.lastProbe[a.Address].Compare(t.lastProbe[b.Address]))
		}
		_, failedA := t.failed[a.Address]
		_, failedB := t.failed[b.Address]
		if failedA != failedB {
			if failedA {
				return 1
			}
			return -1
		}
		return cmp.Or(t.heard[b.Address].Compare(t.heard[a.Address]), cmp.Compare(a.Address, b.Address))
	})
	var chosen, rest []Server
	seen := make(map[api.FailureDomain]bool)
	for _, s := range order {
		if seen[s.Domain] {
			rest = append(rest, s)
			continue
		}
		seen[s.Domain] = true
		chosen = append(chosen, s)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(probesPerRound, len(chosen))]
}

// Probed records the result of one probe. It reports whether the state of the links has
// changed with it.
func (t *Tracker) Probed(address string, ok bool, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordDial(address, ok, now)
	r := t.round
	if r == nil {
		return false
	}
	if ok {
		r.succeeded++
		t.reached[address] = now
	}
	return t.endProbe(ok)
}

// ProbedLate records a probe that timed out while this entry itself stood still, so that it
// says nothing of the links.
func (t *Tracker) ProbedLate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.round == nil {
		return
	}
	t.round.late = true
	t.endProbe(false)
}

// endProbe ends one probe of the round, and reports whether the state of the links has changed.
// The lock is held.
func (t *Tracker) endProbe(ok bool) (changed bool) {
	r := t.round
	if r.pending--; r.pending == 0 {
		t.round = nil
	}
	failed := r.pending == 0 && r.succeeded == 0 && !r.late
	if !t.lost {
		if t.lost = failed; failed {
			t.successes = 0
			clear(t.reached)
		}
		return failed
	}
	switch {
	case ok:
		t.successes++
	case failed:
		t.successes = 0
		clear(t.reached)
	}
	t.lost = t.successes < returnSuccesses
	return !t.lost
}

// IsLate reports whether a failed probe took longer than its timeout allows.
func IsLate(took time.Duration) bool { return took > ProbeTimeout+probeSlack }

// retain forgets the servers that are not in the list. The lock is held.
func (t *Tracker) retain(servers []Server) {
	known := make(map[string]bool, len(servers))
	for _, s := range servers {
		known[s.Address] = true
	}
	for _, times := range []map[string]time.Time{t.heard, t.failed, t.lastProbe, t.reached} {
		for address := range times {
			if !known[address] {
				delete(times, address)
			}
		}
	}
}
