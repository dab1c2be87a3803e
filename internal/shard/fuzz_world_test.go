package shard

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
)

// fault switches one rule off, to show that the checker catches it.
type fault int

const (
	noFault fault = iota
	// faultNoHandover lets a new owner grant before the reports.
	faultNoHandover
	// faultDoubleSettle frees a slot for each settlement of a grant.
	faultDoubleSettle
	// faultLateGrant uses grants of an epoch that was reported as gone.
	faultLateGrant
	// faultNoRecheck writes without looking at the grant again.
	faultNoRecheck
	// faultArrivalOrder ignores class and share.
	faultArrivalOrder
	// faultLostTicket drops a decision.
	faultLostTicket
	// faultIgnoreCold takes every replica for warm.
	faultIgnoreCold
	// faultIgnorePhase takes every replica for ready.
	faultIgnorePhase
	// faultIgnoreLeaving takes no replica for leaving.
	faultIgnoreLeaving
	// faultLowBound takes it that earlier owners granted less than they may have.
	faultLowBound
	// faultFinishedInUse takes an entry without a lease for finished, although its
	// grants are in use.
	faultIgnoreNotLive
	// faultEndlessCredit never books what an account uses above its share.
	faultEndlessCredit
)

// pick returns a number from 0 to n-1.
type pick func(n int) int

const (
	fuzzWarmLoad = 3
	fuzzGroups   = 2
	fuzzEntries  = 3
)

// fuzzEntry is one entry of the model: its process, its view and its clock of
// the work lease.
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

// message is a call on its way.
type inFlightCall struct {
	name    string
	deliver func()
}

// world is the model: control, entries, engines and the network between them,
// and the oracle that knows what runs where.
type simulation struct {
	fault    fault
	now      time.Time
	settings Settings
	view     api.View
	entries  []*fuzzEntry
	// using maps a grant to the entry that uses it on the engine.
	running   map[string]api.Grant
	runningOn map[string]*fuzzEntry
	inFlight  []inFlightCall
	requests  uint64
	// completed counts what each core saw settled since a replica turned cold in
	// its view.
	completed map[*Core]map[api.GroupID]int
	// open counts the undecided tickets of each core.
	undecided map[*Core]map[uint64]*Ticket
	// credit is what the oracle allows accounts above their share, by core.
	credit    map[*Core]*fuzzCredit
	violation error
}

// fuzzCredit is the oracle of the credits of one core, in request-seconds.
type fuzzCredit struct {
	at      time.Time
	balance map[api.AccountID]float64
}

// book follows the credit of every account with a share, which is 1 here.
func (w *simulation) updateCredit(c *Core) *fuzzCredit {
	credit := w.credit[c]
	if credit == nil {
		credit = &fuzzCredit{at: w.now, balance: map[api.AccountID]float64{}}
		w.credit[c] = credit
	}
	elapsed := w.now.Sub(credit.at).Seconds()
	credit.at = w.now
	for id, balance := range credit.balance {
		balance += float64(1-c.ledger.accounts[id]) * elapsed
		credit.balance[id] = min(1, max(-1, balance))
	}
	return credit
}

// covers reports whether an account may go above its share.
func (f *fuzzCredit) covers(id api.AccountID) bool {
	balance, known := f.balance[id]
	return !known || balance > 0
}

func newSimulation(f fault) *simulation {
	w := &simulation{
		fault: f, now: testStart, settings: Settings{}.withDefaults(),
		running: map[string]api.Grant{}, runningOn: map[string]*fuzzEntry{}, undecided: map[*Core]map[uint64]*Ticket{}, completed: map[*Core]map[api.GroupID]int{},
		credit: map[*Core]*fuzzCredit{},
	}
	for i := range fuzzEntries {
		info := api.EntryInfo{ID: api.EntryID(fmt.Sprintf("e%d", i)), Incarnation: 1, Live: true}
		w.entries = append(w.entries, &fuzzEntry{info: info, alive: true, held: NewHeldGrants()})
	}
	for i := range fuzzGroups {
		w.view.Groups = append(w.view.Groups, *warmGroup(fmt.Sprintf("g%d", i), fuzzWarmLoad))
	}
	w.view.Shards = []api.ShardLease{{Shard: testShard, Owner: "e0", Epoch: 1}}
	w.publish()
	w.renewAll()
	return w
}

func (w *simulation) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = errors.Newf(format, args...)
	}
}

// publish accepts a new view of the fleet.
func (w *simulation) publish() {
	w.view.Revision++
	w.view.Entries = nil
	for _, e := range w.entries {
		info := e.info
		info.Live = w.now.Before(e.lease)
		w.view.Entries = append(w.view.Entries, info)
	}
}

// renewAll renews the work lease of every reachable entry, which applies the
// newest view with it.
func (w *simulation) renewAll() {
	for _, e := range w.entries {
		if !e.isRunning() || e.cut {
			continue
		}
		e.lease = w.now.Add(w.settings.WorkLease)
		w.applyView(e)
	}
}

func (w *simulation) applyView(e *fuzzEntry) {
	if e.view.Revision == w.view.Revision {
		return
	}
	previous := e.view.Groups
	e.view = w.view
	e.view.Groups = slices.Clone(w.view.Groups)
	lease := e.view.Shards[0]
	if lease.Owner != e.info.ID {
		e.core = nil
		return
	}
	view := ShardView{Entries: e.view.Entries}
	if w.fault == faultIgnoreNotLive {
		gone := func(e api.EntryInfo) bool { return !e.Live }
		view.Entries = slices.DeleteFunc(slices.Clone(e.view.Entries), gone)
	}
	for i := range e.view.Groups {
		g := e.view.Groups[i]
		if w.fault == faultIgnoreCold {
			g.Warm, g.BearableLoad = true, fuzzWarmLoad
		}
		if w.fault == faultIgnorePhase {
			g.Phase = api.GroupReady
		}
		if w.fault == faultIgnoreLeaving {
			g.Leaving = false
		}
		view.Groups = append(view.Groups, &g)
	}
	if e.core == nil || e.core.term.epoch != lease.Epoch {
		e.core = NewCore(testShard, term{lease.Epoch, e.info.Incarnation}, w.settings, view, w.now)
		w.undecided[e.core] = map[uint64]*Ticket{}
		w.completed[e.core] = map[api.GroupID]int{}
		e.core.ledger.assumeUnreported(w.bounds(lease.Epoch))
		if w.fault == faultNoHandover {
			e.core.handover.done = true
		}
	}
	for i, g := range previous {
		if g.Warm && !e.view.Groups[i].Warm {
			w.completed[e.core][g.ID] = 0
		}
	}
	e.core.Update(view)
	w.advance(e)
}

// bounds returns what earlier owners may have granted; some owners don't know.
func (w *simulation) bounds(epoch api.Revision) map[api.GroupID]int {
	bounds := map[api.GroupID]int{}
	most := fuzzWarmLoad
	if w.fault == faultLowBound {
		most = 0
	}
	for _, g := range w.view.Groups {
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

// owner returns the entry that e takes for the owner, if it is reachable.
func (w *simulation) reachableOwner(e *fuzzEntry) *fuzzEntry {
	for _, o := range w.entries {
		if o.info.ID == e.view.Shards[0].Owner && o.isRunning() && o.core != nil {
			return o
		}
	}
	return nil
}

func (w *simulation) send(name string, deliver func()) {
	w.inFlight = append(w.inFlight, inFlightCall{name: name, deliver: deliver})
}

// acquire sends a request for a grant to the owner.
func (w *simulation) acquire(e *fuzzEntry, class, share int, wait time.Duration, alone bool) {
	if !e.isRunning() || !w.now.Before(e.lease) {
		return
	}
	w.requests++
	id, epoch, incarnation := w.requests, e.view.Shards[0].Epoch, e.info.Incarnation
	w.send("acquire", func() {
		o := w.reachableOwner(e)
		if o == nil || o.core.term.epoch != epoch {
			return
		}
		t := ticket(id, fmt.Sprintf("a%d-%d", class, share), class, share, wait)
		t.Received, t.Deadline = w.now, w.now.Add(wait)
		t.Request.Entry, t.Request.Alone, t.Request.Revocable, t.Request.Incarnation = e.info.ID, alone, true, incarnation
		if w.fault == faultArrivalOrder {
			t.Class, t.Share = 0, 0
		}
		w.submit(o, t, class, share, incarnation)
	})
}

// submit enters a ticket and remembers where its answer goes.
func (w *simulation) submit(o *fuzzEntry, t *Ticket, class, share int, incarnation api.Incarnation) {
	original := *t
	original.Class, original.Share = class, share
	original.Request.Incarnation = incarnation
	w.undecided[o.core][t.ID] = &original
	o.core.Submit(t)
	w.advance(o)
}

// answer sends a grant to the entry that asked for it.
func (w *simulation) sendGrant(g api.Grant, t *Ticket) {
	w.send("grant", func() {
		e := w.entryOf(t.Request.Entry)
		if !e.isRunning() || e.info.Incarnation != t.Request.Incarnation {
			return
		}
		if w.fault == faultLateGrant {
			delete(e.held.reportStarted, testShard)
		}
		if e.held.Add(w.now, t.Received, g) {
			e.grants = append(e.grants, g)
			return
		}
		w.sendSettle(e, g)
	})
}

func (w *simulation) entryOf(id api.EntryID) *fuzzEntry {
	for _, e := range w.entries {
		if e.info.ID == id {
			return e
		}
	}
	return nil
}

// write begins the use of a held grant, as the request path does.
func (w *simulation) startRequest(e *fuzzEntry, g api.Grant) {
	if !e.isRunning() || w.running[grantKey(g)].ID != "" {
		return
	}
	if w.fault != faultNoRecheck && !e.held.Valid(w.now, g) {
		return
	}
	if held := e.held.held[grantKey(g)]; held == nil || !w.now.Before(held.expires) {
		w.fail("request of grant %s written after the grant ended", g.ID)
	}
	w.running[grantKey(g)], w.runningOn[grantKey(g)] = g, e
	if n := w.countRunning(g.Group, g.Fencing); n > fuzzWarmLoad {
		w.fail("%s runs %d requests, bears %d", g.Group, n, fuzzWarmLoad)
	}
}

// used counts the requests on a replica. A stopped entry's grant counts until
// its lifetime has run out.
func (w *simulation) countRunning(id api.GroupID, fencing api.Fencing) int {
	n := 0
	for key, g := range w.running {
		if g.Group != id || g.Fencing != fencing {
			continue
		}
		if held := w.runningOn[key].held.held[key]; held == nil || w.now.Before(held.expires) {
			n++
		}
	}
	return n
}

// finish ends the use of a grant and settles it.
func (w *simulation) finishRequest(e *fuzzEntry, i int, times int) {
	g := e.grants[i]
	e.grants = slices.Delete(e.grants, i, i+1)
	delete(w.running, grantKey(g))
	e.held.Remove(g)
	for range times {
		w.sendSettle(e, g)
	}
}

func (w *simulation) sendSettle(e *fuzzEntry, g api.Grant) {
	w.send("settle", func() {
		o := w.reachableOwner(e)
		if o == nil {
			return
		}
		ok := o.core.Settle(w.now, api.SettleRequest{Grant: g, Outcome: api.OutcomeComplete})
		if ok {
			w.completed[o.core][g.Group]++
		}
		if r := o.core.ledger.replicas[g.Group]; !ok && w.fault == faultDoubleSettle && r != nil {
			r.held--
		}
		w.advance(o)
	})
}

// tick ends expired grants and reports to the owner.
func (w *simulation) expireAndReport(e *fuzzEntry) {
	if !e.isRunning() {
		return
	}
	e.held.Expire(w.now)
	w.finishEnded(e)
	sent, incarnation, owner := w.now, e.info.Incarnation, e.ownerTerm()
	grants := e.held.beginReport(testShard, owner)
	w.send("report", func() {
		o := w.reachableOwner(e)
		if o == nil || o.core.term != owner || !w.now.Before(o.lease) {
			return
		}
		refused := o.core.Report(w.now, api.ReportRequest{Entry: e.info.ID, Incarnation: incarnation, Grants: grants})
		w.advance(o)
		res := api.ReportResponse{RenewMillis: w.settings.GrantLifetime.Milliseconds(), Refused: refused}
		w.send("reported", func() {
			if e.isRunning() && e.info.Incarnation == incarnation {
				e.held.applyReport(testShard, owner, grants, res, sent)
				w.finishEnded(e)
			}
		})
	})
}

// stopEnded stops the requests whose grant ended, as the request path does.
func (w *simulation) finishEnded(e *fuzzEntry) {
	for i := len(e.grants) - 1; i >= 0; i-- {
		if !e.held.Valid(w.now, e.grants[i]) {
			w.finishRequest(e, i, 1)
		}
	}
}

// advance moves an owner's core forward and checks what it decides.
func (w *simulation) advance(o *fuzzEntry) {
	if !o.isRunning() || o.core == nil {
		return
	}
	credit := w.updateCredit(o.core)
	if w.fault == faultEndlessCredit {
		clear(o.core.ledger.credits.accounts)
	}
	w.recordDecisions(o.core, o.core.Advance(w.now, false), nil)
	before := w.waiting(o.core)
	held := make(map[api.AccountID]int)
	for id, n := range o.core.ledger.accounts {
		held[id] = n
	}
	leased := w.now.Before(o.lease)
	out := o.core.Advance(w.now, leased)
	w.checkOrder(out, before, held, credit)
	w.recordDecisions(o.core, out, o)
	if leased {
		w.checkIdle(o.core)
	}
	for _, r := range o.core.Revocations() {
		w.send("revoke", func() {
			if e := w.entryOf(r.Entry); e.isRunning() {
				e.held.Revoke(r.Grant)
			}
		})
	}
	for _, g := range o.core.Expired() {
		core := o.core
		w.send("stop", func() {
			delete(w.running, grantKey(g))
			core.Settle(w.now, api.SettleRequest{Grant: g, Outcome: api.OutcomeUnknown})
		})
	}
}
