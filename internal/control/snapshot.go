package control

import (
	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

const (
	// snapshotVersion is the version of the encoding of snapshots.
	snapshotVersion = 1
	// maxSnapshotRows bounds the rows of one table that are decoded.
	maxSnapshotRows = 1 << 22
)

// image is the encoded form of the whole state.
type image struct {
	Version       uint8               `cbor:"1,keyasint"`
	Counters      counterValues       `cbor:"2,keyasint"`
	ServingGroups []api.ServingGroup  `cbor:"3,keyasint"`
	Accounts      []api.Account       `cbor:"4,keyasint"`
	Domains       []api.Domain        `cbor:"5,keyasint"`
	Services      []api.Service       `cbor:"6,keyasint"`
	Weights       api.Weights         `cbor:"7,keyasint"`
	Plans         []api.Plan          `cbor:"8,keyasint"`
	History       []historyRow        `cbor:"9,keyasint"`
	Groups        []api.Group         `cbor:"10,keyasint"`
	Assignments   []api.Assignment    `cbor:"11,keyasint"`
	Entries       []entryRow          `cbor:"12,keyasint"`
	Shards        []api.ShardLease    `cbor:"13,keyasint"`
	Servers       []api.ServiceServer `cbor:"14,keyasint"`
	Quarantines   []quarantineRow     `cbor:"15,keyasint"`
	Records       []recordRow         `cbor:"16,keyasint"`
	Departures    []api.Departure     `cbor:"18,keyasint,omitempty"`
	Publication   *publicationRow     `cbor:"19,keyasint,omitempty"`
	// UnpackedPublication is set in snapshots of earlier releases.
	UnpackedPublication *unpackedPublicationRow `cbor:"17,keyasint,omitempty"`
}

// Snapshot implements StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	encode, err := s.Freeze()
	if err != nil {
		return nil, err
	}
	return encode()
}

// Freeze implements consensus.Freezer. Commands wait only while the rows are
// copied, not while they are encoded: rows are immutable.
func (s *State) Freeze() (encode func() ([]byte, error), err error) {
	if err := s.Err(); err != nil {
		return nil, err
	}
	img, records := s.copy()
	return func() ([]byte, error) {
		img.Records = recordRows(records)
		data, err := encMode.Marshal(img)
		return data, errs.Wrap(err, "encode snapshot", "")
	}, nil
}

// copy returns the state without its records, and the records sorted by key.
func (s *State) copy() (image, []*api.Record) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	return image{
		Version:       snapshotVersion,
		Counters:      s.counters.load(),
		ServingGroups: s.config.servingGroups.list(),
		Accounts:      s.config.accounts.list(),
		Domains:       s.config.domains.list(),
		Services:      s.config.services.list(),
		Weights:       s.config.getWeights(),
		Plans:         s.plans.list(),
		History:       s.history.list(),
		Groups:        s.groups.list(),
		Assignments:   s.assignments.list(),
		Entries:       s.entries.list(),
		Shards:        s.shards.list(),
		Servers:       s.servers.list(),
		Quarantines:   s.quarantines.list(),
		Publication:   s.publication.load(),
		Departures:    s.departures.list(),
	}, s.records.list()
}

// Restore implements StateMachine. A snapshot that can't be decoded leaves the
// state unchanged.
func (s *State) Restore(data []byte) error {
	var img image
	if err := decMode.Unmarshal(data, &img); err != nil {
		return errs.New(errs.Invalid, "decode snapshot", "", "%v", err)
	}
	if img.Version != snapshotVersion {
		return errs.New(errs.Invalid, "decode snapshot", "", "version %d is not %d", img.Version, snapshotVersion)
	}
	if img.UnpackedPublication != nil {
		row, err := img.UnpackedPublication.pack()
		if err != nil {
			return errs.Wrap(err, "decode snapshot", "")
		}
		img.Publication = row
	}
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	s.load(img)
	s.failure.clear()
	s.cache.clear()
	s.viewChanged.wake()
	s.recordChanged.wake()
	return nil
}

func (s *State) load(img image) {
	s.counters.store(img.Counters)
	s.config.servingGroups.replace(img.ServingGroups, servingGroupKey)
	s.config.accounts.replace(img.Accounts, accountKey)
	s.config.domains.replace(img.Domains, domainKey)
	s.config.services.replace(img.Services, serviceKey)
	s.config.setWeights(img.Weights)
	s.plans.replace(img.Plans)
	s.history.replace(img.History)
	s.groups.replace(img.Groups, groupKey)
	s.assignments.replace(img.Assignments, assignmentKey)
	s.entries.replace(img.Entries, func(row entryRow) api.EntryID { return row.Info.ID })
	s.shards.replace(img.Shards, leaseKey)
	s.servers.replace(img.Servers, serverKey)
	s.quarantines.replace(img.Quarantines, func(row quarantineRow) string { return row.Quarantine.Fingerprint })
	s.records.replace(img.Records)
	s.publication.store(img.Publication)
	s.departures.replace(img.Departures, departureKey)
	s.changes.reset(img.Counters.Revision)
}
