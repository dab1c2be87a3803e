package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// LeaseDump is the leader's record of one work lease.
type LeaseDump struct {
	Entry       api.EntryID     `json:"entry"`
	Incarnation api.Incarnation `json:"incarnation"`
	// RemainingMillis is 0 once the lease has run out.
	RemainingMillis int64        `json:"remaining_millis"`
	Applied         api.Revision `json:"applied"`
	Expiring        bool         `json:"expiring,omitempty"`
}

// RecordDump summarises the idempotency records.
type RecordDump struct {
	Records int   `json:"records"`
	Running int   `json:"running"`
	Bytes   int64 `json:"bytes"`
}

// Dump is the state of one voter, for debugging.
type Dump struct {
	Log            LogStatus        `json:"log"`
	Leading        bool             `json:"leading"`
	ConfigRevision api.Revision     `json:"config_revision"`
	Required       api.Revision     `json:"required_revision"`
	View           api.View         `json:"view"`
	Assignments    []api.Assignment `json:"assignments"`
	Plans          []api.Plan       `json:"plans"`
	Records        RecordDump       `json:"records"`
	Leases         []LeaseDump      `json:"leases,omitempty"`
}

// Dump returns the state of this voter, which may lag behind the leader's.
func (s *Service) Dump() Dump {
	counters := s.state.counters.load()
	view := s.state.View()
	view.Accounts = shortenHashes(view.Accounts)
	d := Dump{
		Log:            s.log.Status(),
		Leading:        s.Leading(),
		ConfigRevision: counters.Config,
		Required:       counters.Required,
		View:           view,
		Assignments:    s.state.Fleet().Assignments,
		Plans:          s.state.plans.list(),
	}
	for i := range d.Plans {
		d.Plans[i].Intent.Accounts = shortenHashes(d.Plans[i].Intent.Accounts)
	}
	d.Records.Records, d.Records.Running, d.Records.Bytes = s.state.records.usage()
	if lead := s.leading.Load(); lead != nil {
		d.Leases = lead.leases.dump(s.cfg.Clock.Now())
	}
	return d
}

// dump lists the leases, sorted by entry.
func (t *leaseTable) dump(now time.Time) []LeaseDump {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]LeaseDump, 0, len(t.rows))
	for id, row := range t.rows {
		out = append(out, LeaseDump{
			Entry:           id,
			Incarnation:     row.incarnation,
			RemainingMillis: max(0, row.until.Sub(now).Milliseconds()),
			Applied:         row.applied,
			Expiring:        row.expiring,
		})
	}
	slices.SortFunc(out, func(a, b LeaseDump) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}
