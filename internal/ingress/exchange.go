package ingress

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/crashes"
	"github.com/crocusway/crocusway/internal/placement"
)

const (
	// directEntries is the largest number of entries that report to each other
	// directly. With more, the messages, which grow with the square of the number, and
	// the bytes between failure domains outweigh the delay of a relay. A restarted entry
	// counts twice until the lease of its former incarnation expires.
	directEntries = 16
	// relaysPerDomain is the number of entries of a failure domain that exchange reports
	// with other domains. Two keep reports flowing after the loss of one, until the view
	// shows it.
	relaysPerDomain = 2
)

// loadExchange decides which load reports an entry sends to whom. It does no I/O and
// is safe for concurrent use.
//
// Up to directEntries entries report to each other directly. More report within their
// failure domain; its relays send the sum of the domain's loads to the relays of the
// other domains, which forward it. The loads of other domains are then up to two
// report intervals older.
type loadExchange struct {
	self api.EntryInfo

	mu       sync.Mutex
	sequence uint64
	// lastSequence is the highest sequence number received from each entry process.
	lastSequence map[api.EntryID]uint64
	// localLoads are the loads of the other entries in the same failure domain.
	localLoads map[api.EntryID]timedLoads
	// domainSums are the total loads of other failure domains; unforwarded marks those
	// that were not forwarded yet.
	domainSums  map[api.FailureDomain]timedLoads
	unforwarded map[api.FailureDomain]bool
	// sent and sentSum are the last report and the last sum that were sent; announced
	// is the publication in that report.
	sent      timedLoads
	sentSum   timedLoads
	announced uint64
	// linksLost is what the last report said.
	linksLost bool
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

func newLoadExchange(self api.EntryInfo) *loadExchange {
	return &loadExchange{
		self: self, lastSequence: make(map[api.EntryID]uint64), localLoads: make(map[api.EntryID]timedLoads),
		domainSums: make(map[api.FailureDomain]timedLoads), unforwarded: make(map[api.FailureDomain]bool),
	}
}

// reportReceivers are the entries that get an entry's reports.
type reportReceivers struct {
	// direct get the entry's own loads.
	direct []api.EntryInfo
	// relays are those of other failure domains, if the entry is a relay itself.
	relays []api.EntryInfo
	// indirect get the loads through relays.
	indirect []api.EntryInfo
}

func receiversOf(self api.EntryInfo, entries []api.EntryInfo) reportReceivers {
	var receivers reportReceivers
	live := slices.DeleteFunc(slices.Clone(entries), func(e api.EntryInfo) bool { return !e.Live && e.ID != self.ID })
	direct := len(live) <= directEntries
	isRelay := slices.ContainsFunc(domainRelays(live, self.Domain), func(e api.EntryInfo) bool { return e.ID == self.ID })
	seen := make(map[api.FailureDomain]bool)
	for _, e := range live {
		switch {
		case e.ID == self.ID:
			continue
		case direct || e.Domain == self.Domain:
			receivers.direct = append(receivers.direct, e)
			continue
		}
		receivers.indirect = append(receivers.indirect, e)
		if isRelay && !seen[e.Domain] {
			seen[e.Domain] = true
			receivers.relays = append(receivers.relays, domainRelays(live, e.Domain)...)
		}
	}
	return receivers
}

// domainRelays returns the relays of a failure domain: entries that are not leaving
// first, then by ID.
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

// ownReport is what an entry has to report.
type ownReport struct {
	// loads is the entry's own work in progress.
	loads []api.Load
	// crashes are those not yet reported to other entries, and the answers that refute them.
	crashes crashes.Report
	// publication is the version in force at the entry.
	publication uint64
	// linksLost is set while the entry has no links to any server.
	linksLost bool
}

// dueReports returns the reports that are due.
func (x *loadExchange) dueReports(now time.Time, n ownReport, entries []api.EntryInfo) []delivery {
	x.mu.Lock()
	defer x.mu.Unlock()
	receivers := receiversOf(x.self, entries)
	var out []delivery
	sums := x.takeUnforwarded(now)
	urgent := !n.crashes.Empty()
	linksDue := n.linksLost != x.linksLost || n.linksLost && now.Sub(x.sent.at) >= maxLoadReportInterval
	if isDue(n.loads, &x.sent, now) || len(sums) > 0 || urgent || n.publication != x.announced || linksDue {
		x.sent, x.announced, x.linksLost = timedLoads{n.loads, now}, n.publication, n.linksLost
		out = x.appendDeliveries(out, receivers.direct, api.LoadReport{
			Publication: n.publication, LinksLost: n.linksLost, Loads: n.loads, Sums: sums, Crashes: n.crashes.Crashes, Answers: n.crashes.Answers,
		})
	}
	if urgent {
		out = x.appendDeliveries(out, receivers.indirect, api.LoadReport{
			Publication: n.publication, Crashes: n.crashes.Crashes, Answers: n.crashes.Answers,
		})
	}
	if len(receivers.relays) == 0 {
		return out
	}
	if sum := x.domainSum(n.loads, now); isDue(sum, &x.sentSum, now) {
		x.sentSum = timedLoads{sum, now}
		sums := []api.DomainLoads{{Domain: x.self.Domain, Loads: sum}}
		out = x.appendDeliveries(out, receivers.relays, api.LoadReport{Publication: n.publication, Sums: sums})
	}
	return out
}

// isDue reports whether loads have changed since the last report, or that report is
// about to expire.
func isDue(loads []api.Load, last *timedLoads, now time.Time) bool {
	if len(loads) == 0 && len(last.loads) == 0 {
		return false
	}
	return !sameLoads(loads, last.loads) || now.Sub(last.at) >= maxLoadReportInterval
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
		if !sameLoad(old[l.Target], l) {
			return false
		}
	}
	return true
}

// sameLoad compares loads by value.
func sameLoad(a, b api.Load) bool {
	if (a.Limit == nil) != (b.Limit == nil) || a.Limit != nil && *a.Limit != *b.Limit {
		return false
	}
	a.Limit, b.Limit = nil, nil
	return a == b
}

func (x *loadExchange) appendDeliveries(out []delivery, to []api.EntryInfo, r api.LoadReport) []delivery {
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

// takeUnforwarded returns the sums of other failure domains that are to be forwarded.
// The lock is held.
func (x *loadExchange) takeUnforwarded(now time.Time) []api.DomainLoads {
	var out []api.DomainLoads
	for domain := range x.unforwarded {
		if s := x.domainSums[domain]; now.Sub(s.at) < placement.ReportLifetime {
			out = append(out, api.DomainLoads{Domain: domain, Loads: s.loads})
		}
	}
	clear(x.unforwarded)
	slices.SortFunc(out, func(a, b api.DomainLoads) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// domainSum adds up the loads of the entry's failure domain. The lock is held.
func (x *loadExchange) domainSum(own []api.Load, now time.Time) []api.Load {
	total := make(map[string]api.Load)
	add := func(loads []api.Load) {
		for _, l := range loads {
			t := total[l.Target]
			total[l.Target] = api.Load{
				Target: l.Target, Running: t.Running + l.Running, Prefill: t.Prefill + l.Prefill,
				Context: t.Context + l.Context, SuspectMillis: max(t.SuspectMillis, l.SuspectMillis),
				Limit: placement.MergeLimits(t, l),
			}
		}
	}
	add(own)
	for id, l := range x.localLoads {
		if now.Sub(l.at) >= placement.ReportLifetime {
			delete(x.localLoads, id)
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

// remoteWork is the work in progress of another entry, or of all entries of another
// failure domain.
type remoteWork struct {
	source api.EntryID
	loads  []api.Load
}

// sumSource names the entries of a failure domain as one source of work.
func sumSource(domain api.FailureDomain) api.EntryID { return api.EntryID("domain/" + domain) }

// applyReport records a report and returns the work in it. A report that arrives after
// a newer one of the same entry is dropped.
func (x *loadExchange) applyReport(now time.Time, r *api.LoadReport) []remoteWork {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Sequence <= x.lastSequence[r.Entry] {
		return nil
	}
	x.lastSequence[r.Entry] = r.Sequence
	out := []remoteWork{{r.Entry, r.Loads}}
	near := r.Domain == x.self.Domain
	if near {
		x.localLoads[r.Entry] = timedLoads{r.Loads, now}
	}
	for _, s := range r.Sums {
		if s.Domain == x.self.Domain {
			continue
		}
		x.domainSums[s.Domain] = timedLoads{s.Loads, now}
		x.unforwarded[s.Domain] = x.unforwarded[s.Domain] || !near
		out = append(out, remoteWork{sumSource(s.Domain), s.Loads})
	}
	return out
}
