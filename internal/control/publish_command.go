package control

import (
	"slices"
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// publicationRow is the stored publication, the serving groups of its engine services,
// and its compressed text as the operator sent it.
type publicationRow struct {
	Publication   api.PackedPublication `cbor:"1,keyasint"`
	ServingGroups []api.ServingGroup    `cbor:"2,keyasint"`
	Source        []byte                `cbor:"3,keyasint"`
}

// publicationTable holds the publication with the highest version.
type publicationTable struct {
	mu  sync.RWMutex
	row *publicationRow
}

// load returns the stored row, nil before the first publication. Rows are
// immutable.
func (p *publicationTable) load() *publicationRow {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.row
}

func (p *publicationTable) store(row *publicationRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.row = row
}

// published returns the stored publication, or nil.
func (s *State) published() *api.PackedPublication {
	if row := s.publication.load(); row != nil {
		return &row.Publication
	}
	return nil
}

// publishCommand stores a publication if its version is the highest so far.
type publishCommand struct {
	publicationRow
}

func (*publishCommand) kind() commandKind { return kindPublish }

func (c *publishCommand) apply(t *tx) (any, error) {
	row := c.publicationRow
	var old publicationRow
	if stored := t.publication.load(); stored != nil {
		old = *stored
		if row.Publication.Version <= old.Publication.Version {
			return api.PublishResponse{Stored: old.Publication.Version, Revision: t.Revision()}, nil
		}
	}
	t.publication.store(&row)
	t.markChanged(tablePublication, "")
	t.replaceServingGroups(old.ServingGroups, row.ServingGroups)
	t.counters.countConfigChange(t.nextRevision())
	return api.PublishResponse{Stored: row.Publication.Version, Changed: true, Revision: t.nextRevision()}, nil
}

// replaceServingGroups replaces the serving groups of the last publication. Serving
// groups created by plans stay.
func (t *tx) replaceServingGroups(old, wanted []api.ServingGroup) {
	for _, sg := range old {
		if !slices.ContainsFunc(wanted, func(w api.ServingGroup) bool { return w.Name == sg.Name }) {
			t.config.servingGroups.del(sg.Name)
			t.markChanged(tableServingGroups, string(sg.Name))
		}
	}
	for _, sg := range wanted {
		if current, ok := t.config.servingGroups.get(sg.Name); ok && sameServingGroup(&current, &sg) {
			continue
		}
		t.config.servingGroups.put(sg.Name, sg)
		t.markChanged(tableServingGroups, string(sg.Name))
	}
}

// sameServingGroup compares the fields of a serving group that a publication
// sets.
func sameServingGroup(a, b *api.ServingGroup) bool {
	return a.Service == b.Service && a.Model == b.Model && a.Share == b.Share &&
		a.HostsPerReplica == b.HostsPerReplica && a.LoadBytes == b.LoadBytes && a.LoadsAtOnce == b.LoadsAtOnce
}

// domainCommand sets the state of a failure domain without a plan.
type domainCommand struct {
	Domain   api.Domain `cbor:"1,keyasint"`
	Operator string     `cbor:"2,keyasint"`
}

func (*domainCommand) kind() commandKind { return kindDomain }

func (c *domainCommand) apply(t *tx) (any, error) {
	if old, ok := t.config.domains.get(c.Domain.Name); ok && old == c.Domain {
		return api.DomainResponse{Revision: t.Revision()}, nil
	}
	at := t.nextRevision()
	t.config.domains.put(c.Domain.Name, c.Domain)
	t.markChanged(tableDomains, string(c.Domain.Name))
	t.counters.countConfigChange(at)
	t.history.add(historyRow{
		Config: t.ConfigRevision(),
		Item: api.HistoryItem{
			Revision:   at,
			Operator:   c.Operator,
			UnixMillis: t.now,
			Summary:    "domain " + string(c.Domain.Name) + " " + string(c.Domain.State),
		},
	})
	return api.DomainResponse{Revision: at}, nil
}

// departCommand records the departure of a backend server.
type departCommand struct {
	Host        api.HostID      `cbor:"1,keyasint"`
	Incarnation api.Incarnation `cbor:"2,keyasint"`
	// RetentionMillis is how long the departure is kept.
	RetentionMillis int64 `cbor:"3,keyasint"`
}

func (*departCommand) kind() commandKind { return kindDepart }

func (c *departCommand) apply(t *tx) (any, error) {
	for _, old := range t.departures.list() {
		if old.UnixMillis+c.RetentionMillis < t.now {
			t.departures.del(old.Host)
			t.markChanged(tableDepartures, string(old.Host))
		}
	}
	old, ok := t.departures.get(c.Host)
	if ok && old.Incarnation >= c.Incarnation {
		return api.Empty{}, nil
	}
	t.departures.put(c.Host, api.Departure{Host: c.Host, Incarnation: c.Incarnation, UnixMillis: t.now})
	t.markChanged(tableDepartures, string(c.Host))
	return api.Empty{}, nil
}
