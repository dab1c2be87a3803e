package shard

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
)

// fault is an injected fault that the checker must detect.
type fault int

const (
	noFault fault = iota
	// faultNoHandover lets a new owner grant before the entries have reported.
	faultNoHandover
	// faultDoubleSettle frees a slot for each settlement of a grant.
	faultDoubleSettle
	// faultLateGrant accepts grants of an older term after a report to a newer
	// owner.
	faultLateGrant
	// faultNoRecheck starts a request without rechecking its grant.
	faultNoRecheck
	// faultArrivalOrder ignores class and share.
	faultArrivalOrder
	// faultLostTicket drops a decision.
	faultLostTicket
	// faultIgnoreCold treats every replica as warm.
	faultIgnoreCold
	// faultIgnorePhase treats every replica as ready.
	faultIgnorePhase
	// faultIgnoreLeaving treats no replica as leaving.
	faultIgnoreLeaving
	// faultLowBound sets too low a bound for the grants of earlier owners.
	faultLowBound
	// faultIgnoreNotLive does not wait for the reports of entries that are not
	// live, although their grants may be in use.
	faultIgnoreNotLive
	// faultEndlessCredit never charges what an account uses above its share.
	faultEndlessCredit
)

// pick returns a number from 0 to n-1.
type pick func(n int) int

const (
	fuzzWarmLoad = 3
	fuzzGroups   = 2
	fuzzEntries  = 3
)

// fuzzEntry is one entry of the simulation: its process, its view and the
// expiry of its work lease.
type fuzzEntry struct {
	info   api.EntryInfo
	alive  bool
	frozen bool
	cut    bool
	lease  time.Time
	view   api.View
	held   *HeldGrants
	core   *Core
	grants []api.Grant
}

func (e *fuzzEntry) isRunning() bool { return e.alive && !e.frozen }

// message is a sent message that is not delivered yet.
type message struct {
	name    string
	deliver func()
}

// simulation models control, entries, engines and the network between them. It
// records which requests run where, to check the decisions of the cores.
type simulation struct {
	fault    fault
	now      time.Time
	settings Settings
	view     api.View
	entries  []*fuzzEntry
	// running holds the grants of the requests that run on engines, and runningOn
	// the entries that sent them, both by grant key.
	running   map[string]api.Grant
	runningOn map[string]*fuzzEntry
	inFlight  []message
	requests  uint64
	// completed counts the settlements that each core received for a replica since
	// it became cold in the core's view.
	completed map[*Core]map[api.GroupID]int
	// undecided holds the undecided tickets of each core.
	undecided map[*Core]map[uint64]*Ticket
	// credit holds the expected credits of the accounts, by core.
	credit    map[*Core]*fuzzCredit
	violation error
}

// fuzzCredit holds the expected credits of one core, in request-seconds.
type fuzzCredit struct {
	at      time.Time
	balance map[api.AccountID]float64
}

// updateCredit updates the expected credit of every account with a share, which
// is 1 here.
func (s *simulation) updateCredit(c *Core) *fuzzCredit {
	credit := s.credit[c]
	if credit == nil {
		credit = &fuzzCredit{at: s.now, balance: map[api.AccountID]float64{}}
		s.credit[c] = credit
	}
	elapsed := s.now.Sub(credit.at).Seconds()
	credit.at = s.now
	for id, balance := range credit.balance {
		balance += float64(1-c.ledger.accounts[id]) * elapsed
		credit.balance[id] = min(1, max(-1, balance))
	}
	return credit
}

// covers reports whether the credit of an account lets it exceed its share.
func (f *fuzzCredit) covers(id api.AccountID) bool {
	balance, known := f.balance[id]
	return !known || balance > 0
}

func newSimulation(f fault) *simulation {
	s := &simulation{
		fault: f, now: testStart, settings: Settings{}.withDefaults(),
		running: map[string]api.Grant{}, runningOn: map[string]*fuzzEntry{}, undecided: map[*Core]map[uint64]*Ticket{}, completed: map[*Core]map[api.GroupID]int{},
		credit: map[*Core]*fuzzCredit{},
	}
	for i := range fuzzEntries {
		info := api.EntryInfo{ID: api.EntryID(fmt.Sprintf("e%d", i)), Incarnation: 1, Live: true}
		s.entries = append(s.entries, &fuzzEntry{info: info, alive: true, held: NewHeldGrants()})
	}
	for i := range fuzzGroups {
		s.view.Groups = append(s.view.Groups, *warmGroup(fmt.Sprintf("g%d", i), fuzzWarmLoad))
	}
	s.view.Shards = []api.ShardLease{{Shard: testShard, Owner: "e0", Epoch: 1}}
	s.publish()
	s.renewAll()
	return s
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = errors.Newf(format, args...)
	}
}

// publish publishes a new revision of the view.
func (s *simulation) publish() {
	s.view.Revision++
	s.view.Entries = nil
	for _, e := range s.entries {
		info := e.info
		info.Live = s.now.Before(e.lease)
		s.view.Entries = append(s.view.Entries, info)
	}
}

// renewAll renews the work lease of every reachable entry, which then applies
// the newest view.
func (s *simulation) renewAll() {
	for _, e := range s.entries {
		if !e.isRunning() || e.cut {
			continue
		}
		e.lease = s.now.Add(s.settings.WorkLease)
		s.applyView(e)
	}
}

func (s *simulation) applyView(e *fuzzEntry) {
	if e.view.Revision == s.view.Revision {
		return
	}
	previous := e.view.Groups
	e.view = s.view
	e.view.Groups = slices.Clone(s.view.Groups)
	lease := e.view.Shards[0]
	if lease.Owner != e.info.ID {
		e.core = nil
		return
	}
	view := View{Entries: e.view.Entries}
	if s.fault == faultIgnoreNotLive {
		notLive := func(e api.EntryInfo) bool { return !e.Live }
		view.Entries = slices.DeleteFunc(slices.Clone(e.view.Entries), notLive)
	}
	for i := range e.view.Groups {
		g := e.view.Groups[i]
		if s.fault == faultIgnoreCold {
			g.Warm, g.BearableLoad = true, fuzzWarmLoad
		}
		if s.fault == faultIgnorePhase {
			g.Phase = api.GroupReady
		}
		if s.fault == faultIgnoreLeaving {
			g.Leaving = false
		}
		view.Groups = append(view.Groups, &g)
	}
	if e.core == nil || e.core.term.epoch != lease.Epoch {
		e.core = NewCore(testShard, term{lease.Epoch, e.info.Incarnation}, s.settings, view, s.now)
		s.undecided[e.core] = map[uint64]*Ticket{}
		s.completed[e.core] = map[api.GroupID]int{}
		e.core.ledger.assumeUnreported(s.bounds(lease.Epoch))
		if s.fault == faultNoHandover {
			e.core.handover.done = true
		}
	}
	for i, g := range previous {
		if g.Warm && !e.view.Groups[i].Warm {
			s.completed[e.core][g.ID] = 0
		}
	}
	e.core.Update(view)
	s.advance(e)
}

// bounds returns the bounds of the grants of earlier owners. In every third
// epoch the owner has none.
func (s *simulation) bounds(epoch api.Revision) map[api.GroupID]int {
	bounds := map[api.GroupID]int{}
	most := fuzzWarmLoad
	if s.fault == faultLowBound {
		most = 0
	}
	for _, g := range s.view.Groups {
		if epoch%3 > 0 {
			bounds[g.ID] = most
		}
	}
	return bounds
}

// ownerTerm returns the term of the owner in the view of e.
func (e *fuzzEntry) ownerTerm() term {
	lease := e.view.Shards[0]
	for _, info := range e.view.Entries {
		if info.ID == lease.Owner {
			return term{lease.Epoch, info.Incarnation}
		}
	}
	return term{epoch: lease.Epoch}
}

// reachableOwner returns the owner in the view of e, if it runs and owns the
// shard, or nil.
func (s *simulation) reachableOwner(e *fuzzEntry) *fuzzEntry {
	for _, o := range s.entries {
		if o.info.ID == e.view.Shards[0].Owner && o.isRunning() && o.core != nil {
			return o
		}
	}
	return nil
}

func (s *simulation) send(name string, deliver func()) {
	s.inFlight = append(s.inFlight, message{name: name, deliver: deliver})
}

// acquire sends a request for a grant to the owner.
func (s *simulation) acquire(e *fuzzEntry, class, share int, wait time.Duration, alone bool) {
	if !e.isRunning() || !s.now.Before(e.lease) {
		return
	}
	s.requests++
	id, epoch, incarnation := s.requests, e.view.Shards[0].Epoch, e.info.Incarnation
	s.send("acquire", func() {
		o := s.reachableOwner(e)
		if o == nil || o.core.term.epoch != epoch {
			return
		}
		t := ticket(id, fmt.Sprintf("a%d-%d", class, share), class, share, wait)
		t.Received, t.Deadline = s.now, s.now.Add(wait)
		t.Request.Entry, t.Request.Alone, t.Request.Revocable, t.Request.Incarnation = e.info.ID, alone, true, incarnation
		if s.fault == faultArrivalOrder {
			t.Class, t.Share = 0, 0
		}
		s.submit(o, t, class, share, incarnation)
	})
}

// submit submits a ticket and records its original class and share.
func (s *simulation) submit(o *fuzzEntry, t *Ticket, class, share int, incarnation api.Incarnation) {
	original := *t
	original.Class, original.Share = class, share
	original.Request.Incarnation = incarnation
	s.undecided[o.core][t.ID] = &original
	o.core.Submit(t)
	s.advance(o)
}

// sendGrant sends a grant to the entry that requested it.
func (s *simulation) sendGrant(g api.Grant, t *Ticket) {
	s.send("grant", func() {
		e := s.entryOf(t.Request.Entry)
		if !e.isRunning() || e.info.Incarnation != t.Request.Incarnation {
			return
		}
		if s.fault == faultLateGrant {
			delete(e.held.reportStarted, testShard)
		}
		if e.held.Add(s.now, t.Received, g) {
			e.grants = append(e.grants, g)
			return
		}
		s.sendSettle(e, g)
	})
}

func (s *simulation) entryOf(id api.EntryID) *fuzzEntry {
	for _, e := range s.entries {
		if e.info.ID == id {
			return e
		}
	}
	return nil
}

// startRequest starts the request of a held grant, as the request path does.
func (s *simulation) startRequest(e *fuzzEntry, g api.Grant) {
	if !e.isRunning() || s.running[grantKey(g)].ID != "" {
		return
	}
	if s.fault != faultNoRecheck && !e.held.Valid(s.now, g) {
		return
	}
	if held := e.held.grants[grantKey(g)]; held == nil || !s.now.Before(held.expires) {
		s.fail("request of grant %s started after the grant ended", g.ID)
	}
	s.running[grantKey(g)], s.runningOn[grantKey(g)] = g, e
	if n := s.countRunning(g.Group, g.Fencing); n > fuzzWarmLoad {
		s.fail("%s runs %d requests, limit %d", g.Group, n, fuzzWarmLoad)
	}
}

// countRunning returns the number of requests on a replica. The request of a
// frozen entry counts until its grant expires.
func (s *simulation) countRunning(id api.GroupID, fencing api.Fencing) int {
	n := 0
	for key, g := range s.running {
		if g.Group != id || g.Fencing != fencing {
			continue
		}
		if held := s.runningOn[key].held.grants[key]; held == nil || s.now.Before(held.expires) {
			n++
		}
	}
	return n
}

// finishRequest ends a request and settles its grant the given number of times.
func (s *simulation) finishRequest(e *fuzzEntry, i int, times int) {
	g := e.grants[i]
	e.grants = slices.Delete(e.grants, i, i+1)
	delete(s.running, grantKey(g))
	e.held.Remove(g)
	for range times {
		s.sendSettle(e, g)
	}
}

func (s *simulation) sendSettle(e *fuzzEntry, g api.Grant) {
	s.send("settle", func() {
		o := s.reachableOwner(e)
		if o == nil {
			return
		}
		ok := o.core.Settle(s.now, api.SettleRequest{Grant: g, Outcome: api.OutcomeComplete})
		if ok {
			s.completed[o.core][g.Group]++
		}
		if r := o.core.ledger.replicas[g.Group]; !ok && s.fault == faultDoubleSettle && r != nil {
			r.held--
		}
		s.advance(o)
	})
}

// expireAndReport ends expired grants and reports the others to the owner.
func (s *simulation) expireAndReport(e *fuzzEntry) {
	if !e.isRunning() {
		return
	}
	e.held.Expire(s.now)
	s.finishEnded(e)
	sent, incarnation, owner := s.now, e.info.Incarnation, e.ownerTerm()
	grants := e.held.beginReport(testShard, owner)
	s.send("report", func() {
		o := s.reachableOwner(e)
		if o == nil || o.core.term != owner || !s.now.Before(o.lease) {
			return
		}
		refused := o.core.Report(s.now, api.ReportRequest{Entry: e.info.ID, Incarnation: incarnation, Grants: grants})
		s.advance(o)
		res := api.ReportResponse{RenewMillis: s.settings.GrantLifetime.Milliseconds(), Refused: refused}
		s.send("reported", func() {
			if e.isRunning() && e.info.Incarnation == incarnation {
				e.held.applyReport(testShard, owner, grants, res, sent)
				s.finishEnded(e)
			}
		})
	})
}

// finishEnded stops the requests whose grants ended, as the request path does.
func (s *simulation) finishEnded(e *fuzzEntry) {
	for i := len(e.grants) - 1; i >= 0; i-- {
		if !e.held.Valid(s.now, e.grants[i]) {
			s.finishRequest(e, i, 1)
		}
	}
}

// advance advances the core of an owner and checks its decisions.
func (s *simulation) advance(o *fuzzEntry) {
	if !o.isRunning() || o.core == nil {
		return
	}
	credit := s.updateCredit(o.core)
	if s.fault == faultEndlessCredit {
		clear(o.core.ledger.credits.accounts)
	}
	s.recordDecisions(o.core, o.core.Advance(s.now, false), nil)
	before := s.waiting(o.core)
	held := make(map[api.AccountID]int)
	for id, n := range o.core.ledger.accounts {
		held[id] = n
	}
	leased := s.now.Before(o.lease)
	out := o.core.Advance(s.now, leased)
	s.checkOrder(out, before, held, credit)
	s.recordDecisions(o.core, out, o)
	if leased {
		s.checkIdle(o.core)
	}
	for _, r := range o.core.Revocations() {
		s.send("revoke", func() {
			if e := s.entryOf(r.Entry); e.isRunning() {
				e.held.Revoke(r.Grant)
			}
		})
	}
	for _, g := range o.core.Expired() {
		core := o.core
		s.send("stop", func() {
			delete(s.running, grantKey(g))
			core.Settle(s.now, api.SettleRequest{Grant: g, Outcome: api.OutcomeUnknown})
		})
	}
}
