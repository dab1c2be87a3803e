package control

import (
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// firstRevision is the revision of an empty state. An entry that has applied
// nothing is at revision 0.
const firstRevision api.Revision = 1

// State is the replicated state of the control role. Commands are applied one
// at a time; readers are concurrent. Each table has its own lock.
type State struct {
	// applyMu serialises commands, restores and the copy for a snapshot.
	applyMu sync.Mutex
	// viewMu is held exclusively while a command changes the view, so that a
	// reader of several tables sees one revision.
	viewMu sync.RWMutex

	failure     stateFailure
	guards      guards
	counters    *counters
	config      *configuration
	plans       *planTable
	history     *historyTable
	groups      *table[api.GroupID, api.Group]
	assignments *table[api.HostID, api.Assignment]
	entries     *table[api.EntryID, entryRow]
	shards      *table[string, api.ShardLease]
	servers     *table[api.HostID, api.ServiceServer]
	quarantines *table[string, quarantineRow]
	departures  *table[api.HostID, api.Departure]
	publication publicationTable
	records     *recordTable
	changes     *changeRing
	// viewChanged and recordChanged wake the calls that wait for a change of
	// the view or of a record.
	viewChanged   *broadcast
	recordChanged *broadcast
	cache         viewCache
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		guards:        newGuards(),
		counters:      &counters{values: counterValues{Revision: firstRevision}},
		config:        newConfiguration(),
		plans:         newPlanTable(),
		history:       &historyTable{},
		groups:        newTable[api.GroupID, api.Group](),
		assignments:   newTable[api.HostID, api.Assignment](),
		entries:       newTable[api.EntryID, entryRow](),
		shards:        newTable[string, api.ShardLease](),
		servers:       newTable[api.HostID, api.ServiceServer](),
		quarantines:   newTable[string, quarantineRow](),
		departures:    newTable[api.HostID, api.Departure](),
		records:       newRecordTable(),
		changes:       newChangeRing(changeRingSize, firstRevision),
		viewChanged:   newBroadcast(),
		recordChanged: newBroadcast(),
	}
}

// Apply implements StateMachine. The result is a *errs.Error when the command
// is refused. A command that can't be decoded, such as one of a newer version,
// fails the state: to skip it would make this voter's state diverge from the
// others'.
func (s *State) Apply(index uint64, data []byte) any {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if err := s.Err(); err != nil {
		return err
	}
	cmd, unixMillis, err := decodeCommand(data)
	if err != nil {
		return s.failure.set(index, err)
	}
	result, err := s.execute(cmd, s.counters.advance(unixMillis))
	if err != nil {
		return err
	}
	return result
}

func (s *State) execute(cmd command, now int64) (any, error) {
	t := &tx{State: s, now: now}
	if kind := cmd.kind(); kind == kindRecordOpen || kind == kindRecordEnd {
		defer s.recordChanged.wake()
		return cmd.apply(t)
	}
	return s.executeView(cmd, t)
}

// executeView runs a command that may change the view.
func (s *State) executeView(cmd command, t *tx) (any, error) {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	result, err := cmd.apply(t)
	s.cache.clear()
	if !t.changed {
		return result, err
	}
	s.changes.add(s.counters.bump(), t.keys)
	s.viewChanged.wake()
	s.recordChanged.wake()
	return result, err
}

// Revision returns the newest accepted revision.
func (s *State) Revision() api.Revision { return s.counters.load().Revision }

// ConfigRevision returns the number of accepted configuration changes.
func (s *State) ConfigRevision() api.Revision { return s.counters.load().Config }

// Required returns the revision of the newest configuration change. An entry
// that has not applied it may not renew its work lease.
func (s *State) Required() api.Revision { return s.counters.load().Required }

// View returns the whole view at one revision. The caller must not change it.
func (s *State) View() api.View {
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	return s.cache.view(s.view)
}

func (s *State) view() api.View {
	return api.View{
		Revision:      s.Revision(),
		LeaseMillis:   s.counters.load().LeaseMillis,
		ServingGroups: s.config.servingGroups.list(),
		Accounts:      s.config.accounts.list(),
		Domains:       s.config.domains.list(),
		Services:      s.config.services.list(),
		Groups:        s.groups.list(),
		Entries:       s.entryInfos(),
		Shards:        s.shards.list(),
		Servers:       s.servers.list(),
		Quarantines:   s.quarantineList(),
		Publication:   s.published(),
		Departures:    s.departures.list(),
	}
}

// Fleet returns the replicated part of the planner's snapshot, without hosts.
// The caller must not change it.
func (s *State) Fleet() api.FleetView {
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	return s.cache.fleet(s.fleet)
}

func (s *State) fleet() api.FleetView {
	return api.FleetView{
		Revision:      s.Revision(),
		ServingGroups: s.config.servingGroups.list(),
		Domains:       s.config.domains.list(),
		Weights:       s.config.getWeights(),
		Groups:        s.groups.list(),
		Assignments:   s.assignments.list(),
	}
}
