package ingress

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/placement"
)

const (
	// directEntries is the number of entries up to which each reports to every
	// other one. Beyond it the messages, which grow with the square of the number,
	// and the bytes between failure domains outweigh the delay of a relay. An entry that
	// was restarted counts twice until the lease of its former life ends.
	directEntries = 16
	// relaysPerDomain are the entries of a failure domain that exchange reports with
	// other domains: the loss of one is borne until the view shows it.
	relaysPerDomain = 2
)

// exchange decides which load reports an entry sends to whom. It does no I/O and is
// safe for concurrent use.
//
// Few entries report to each other directly. Many report within their failure
// domain; its relays send the sum of the domain's work to the relays of the other
// domains, which pass it on. What an entry knows of other domains is then at most
// two report intervals older.
type exchange struct {
	self api.EntryInfo

	mu       sync.Mutex
	sequence uint64
	// newest is the newest report of each entry process.
	newest map[api.EntryID]uint64
	// near are the loads of the other entries of the own failure domain.
	near map[api.EntryID]timedLoads
	// sums are those of other failure domains; fresh ones were not passed on yet.
	sums  map[api.FailureDomain]timedLoads
	fresh map[api.FailureDomain]bool
	// sent and sentSum are the newest own report and the newest sum, announced the
	// publication that the former named.
	sent      timedLoads
	sentSum   timedLoads
	announced uint64
}

type timedLoads struct {
	loads []api.Load
	at    time.Time
}

// delivery is a report to one entry.
type delivery struct {
	to     api.EntryInfo
	report *api.LoadReport
}

func newExchange(self api.EntryInfo) *exchange {
	return &exchange{
		self: self, newest: make(map[api.EntryID]uint64), near: make(map[api.EntryID]timedLoads),
		sums: make(map[api.FailureDomain]timedLoads), fresh: make(map[api.FailureDomain]bool),
	}
}

// loadRoutes are the receivers of an entry's reports.
type loadRoutes struct {
	// near get the entry's own reports.
	near []api.EntryInfo
	// relays are those of other failure domains, for an entry that is one itself.
	relays []api.EntryInfo
	// rest are reached through relays.
	rest []api.EntryInfo
}

func routeLoads(self api.EntryInfo, entries []api.EntryInfo) loadRoutes {
	var routes loadRoutes
	live := slices.DeleteFunc(slices.Clone(entries), func(e api.EntryInfo) bool { return !e.Live && e.ID != self.ID })
	direct := len(live) <= directEntries
	isRelay := slices.ContainsFunc(domainRelays(live, self.Domain), func(e api.EntryInfo) bool { return e.ID == self.ID })
	seen := make(map[api.FailureDomain]bool)
	for _, e := range live {
		switch {
		case e.ID == self.ID:
			continue
		case direct || e.Domain == self.Domain:
			routes.near = append(routes.near, e)
			continue
		}
		routes.rest = append(routes.rest, e)
		if isRelay && !seen[e.Domain] {
			seen[e.Domain] = true
			routes.relays = append(routes.relays, domainRelays(live, e.Domain)...)
		}
	}
	return routes
}

// domainRelays returns the relays of a failure domain: those that stay first, then in
// the order of their names.
func domainRelays(live []api.EntryInfo, domain api.FailureDomain) []api.EntryInfo {
	members := slices.DeleteFunc(slices.Clone(live), func(e api.EntryInfo) bool { return e.Domain != domain })
	slices.SortFunc(members, func(a, b api.EntryInfo) int {
		if a.Leaving != b.Leaving {
			if a.Leaving {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return members[:min(relaysPerDomain, len(members))]
}

// news is what an entry has to report.
type news struct {
	// loads is its own work.
	loads []api.Load
	// crashes are those that other entries don't know of.
	crashes []api.Crash
	// publication is the version that it obeys.
	publication uint64
}

// outgoing returns the reports that are due.
func (x *exchange) outgoing(now time.Time, n news, entries []api.EntryInfo) []delivery {
	x.mu.Lock()
	defer x.mu.Unlock()
	routes := routeLoads(x.self, entries)
	var out []delivery
	sums := x.takeFresh(now)
	if isDue(n.loads, &x.sent, now) || len(sums) > 0 || len(n.crashes) > 0 || n.publication != x.announced {
		x.sent, x.announced = timedLoads{n.loads, now}, n.publication
		out = x.deliver(out, routes.near, api.LoadReport{
			Publication: n.publication, Loads: n.loads, Sums: sums, Crashes: n.crashes,
		})
	}
	if len(n.crashes) > 0 {
		out = x.deliver(out, routes.rest, api.LoadReport{Publication: n.publication, Crashes: n.crashes})
	}
	if len(routes.relays) == 0 {
		return out
	}
	if sum := x.sum(n.loads, now); isDue(sum, &x.sentSum, now) {
		x.sentSum = timedLoads{sum, now}
		sums := []api.DomainLoads{{Domain: x.self.Domain, Loads: sum}}
		out = x.deliver(out, routes.relays, api.LoadReport{Publication: n.publication, Sums: sums})
	}
	return out
}

// isDue reports whether loads tell something new, or the last report of them is about
// to run out.
func isDue(loads []api.Load, last *timedLoads, now time.Time) bool {
	if len(loads) == 0 && len(last.loads) == 0 {
		return false
	}
	return !sameLoads(loads, last.loads) || now.Sub(last.at) >= shareRefresh
}

func sameLoads(a, b []api.Load) bool {
	if len(a) != len(b) {
		return false
	}
	old := make(map[string]api.Load, len(b))
	for _, l := range b {
		old[l.Target] = l
	}
	for _, l := range a {
		if old[l.Target] != l {
			return false
		}
	}
	return true
}

func (x *exchange) deliver(out []delivery, to []api.EntryInfo, r api.LoadReport) []delivery {
	if len(to) == 0 {
		return out
	}
	x.sequence++
	r.Entry, r.Incarnation, r.Domain, r.Sequence = x.self.ID, x.self.Incarnation, x.self.Domain, x.sequence
	for _, e := range to {
		out = append(out, delivery{to: e, report: &r})
	}
	return out
}

// takeFresh returns the sums of other failure domains that are to be passed on. The
// lock is held.
func (x *exchange) takeFresh(now time.Time) []api.DomainLoads {
	var out []api.DomainLoads
	for domain := range x.fresh {
		if s := x.sums[domain]; now.Sub(s.at) < placement.ReportLifetime {
			out = append(out, api.DomainLoads{Domain: domain, Loads: s.loads})
		}
	}
	clear(x.fresh)
	slices.SortFunc(out, func(a, b api.DomainLoads) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// sum adds up the work of the own failure domain. The lock is held.
func (x *exchange) sum(own []api.Load, now time.Time) []api.Load {
	total := make(map[string]api.Load)
	add := func(loads []api.Load) {
		for _, l := range loads {
			t := total[l.Target]
			total[l.Target] = api.Load{
				Target: l.Target, Running: t.Running + l.Running, Prefill: t.Prefill + l.Prefill,
				Context: t.Context + l.Context, SuspectMillis: max(t.SuspectMillis, l.SuspectMillis),
			}
		}
	}
	add(own)
	for id, l := range x.near {
		if now.Sub(l.at) >= placement.ReportLifetime {
			delete(x.near, id)
			continue
		}
		add(l.loads)
	}
	out := make([]api.Load, 0, len(total))
	for _, l := range total {
		out = append(out, l)
	}
	return out
}

// remoteWork is what another entry, or all entries of another failure domain, have in
// progress.
type remoteWork struct {
	source api.EntryID
	loads  []api.Load
}

// sumSource stands for the entries of a failure domain as one source of work.
func sumSource(domain api.FailureDomain) api.EntryID { return api.EntryID("domain/" + domain) }

// incoming takes a report and returns the work that it tells of. Reports may overtake
// each other.
func (x *exchange) incoming(now time.Time, r *api.LoadReport) []remoteWork {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Sequence <= x.newest[r.Entry] {
		return nil
	}
	x.newest[r.Entry] = r.Sequence
	out := []remoteWork{{r.Entry, r.Loads}}
	near := r.Domain == x.self.Domain
	if near {
		x.near[r.Entry] = timedLoads{r.Loads, now}
	}
	for _, s := range r.Sums {
		if s.Domain == x.self.Domain {
			continue
		}
		x.sums[s.Domain] = timedLoads{s.Loads, now}
		x.fresh[s.Domain] = x.fresh[s.Domain] || !near
		out = append(out, remoteWork{sumSource(s.Domain), s.Loads})
	}
	return out
}
