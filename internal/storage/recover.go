package storage

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/errs"
)

// recover reads the folder, or initialises an empty one. The identity is
// written last, so a folder without it has never acknowledged anything.
func (s *Store) recover() error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return fileError("read data folder", s.dir, err)
	}
	if err := s.removeTemporary(names); err != nil {
		return err
	}
	found, err := s.readIdentity(names)
	if err != nil {
		return err
	}
	if !found {
		return s.initialise(names)
	}
	if err := s.readSnapshot(names); err != nil {
		return err
	}
	if err := s.readSegments(names); err != nil {
		return err
	}
	return s.mergeSnapshotAndLog()
}

// removeTemporary removes files that a crash left between write and rename.
func (s *Store) removeTemporary(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, tmpSuffix) {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return fileError("remove temporary file", s.path(name), err)
		}
	}
	return nil
}

func (s *Store) readIdentity(names []string) (bool, error) {
	if !slices.Contains(names, identityName) {
		return false, nil
	}
	name := s.path(identityName)
	r, err := s.readSingleRecord(name)
	if err != nil {
		return false, err
	}
	if r.Identity == nil || r.Identity.Version != formatVersion {
		return false, fileError("read identity", name, errors.New("unknown format"))
	}
	s.identity = *r.Identity
	if s.identity.Voter != s.opts.Voter {
		return false, errs.New(errs.Conflict, "open data folder", "",
			"%s belongs to voter %q, not %q", s.dir, s.identity.Voter, s.opts.Voter)
	}
	return true, nil
}

// readSingleRecord reads a file that holds a single record.
func (s *Store) readSingleRecord(name string) (record, error) {
	data, err := s.fs.ReadFile(name)
	if err != nil {
		return record{}, fileError("read file", name, err)
	}
	r, size, err := decodeRecord(data)
	if err != nil {
		return record{}, fileError("read file", name, errors.Wrap(err, "corrupt record at offset 0"))
	}
	if size != len(data) {
		return record{}, fileError("read file", name, errors.Newf("unexpected bytes at offset %d", size))
	}
	return r, nil
}

// initialise prepares an empty folder.
func (s *Store) initialise(names []string) error {
	for _, name := range names {
		if name == lockName || strings.HasSuffix(name, tmpSuffix) {
			continue
		}
		if err := s.removeUninitialised(name); err != nil {
			return err
		}
	}
	s.fresh = true
	s.identity = Identity{Version: formatVersion, Voter: s.opts.Voter, Incarnation: consensus.BootstrapIncarnation}
	if !s.opts.Bootstrap {
		s.identity.Incarnation = s.opts.NewIncarnation()
	}
	if err := s.rotate(false); err != nil {
		return err
	}
	return s.replaceFile(identityName, record{Identity: &s.identity})
}

// removeUninitialised removes a segment left by an interrupted initialisation, and
// rejects a folder whose identity file is missing.
func (s *Store) removeUninitialised(name string) error {
	path := s.path(name)
	if _, ok := parseName(name, segmentPrefix, segmentSuffix); !ok {
		return fileError("open data folder", path, errors.New("the folder contains this file but no identity"))
	}
	data, err := s.fs.ReadFile(path)
	if err != nil {
		return fileError("read segment", path, err)
	}
	_, err = scan(data, func(_ int, r record) error {
		if r.Batch != nil {
			return fileError("open data folder", path, errors.New("the folder contains this log but no identity"))
		}
		return nil
	})
	if err != nil {
		return err
	}
	if err := s.fs.Remove(path); err != nil {
		return fileError("remove segment", path, err)
	}
	return nil
}

// readSegments replays the log segments in order.
func (s *Store) readSegments(names []string) error {
	for _, name := range names {
		if sequence, ok := parseName(name, segmentPrefix, segmentSuffix); ok {
			s.segments = append(s.segments, segment{name: s.path(name), sequence: sequence})
		}
	}
	if len(s.segments) == 0 {
		return fileError("read log", s.dir, errors.New("no log segment"))
	}
	for i := range s.segments {
		if i > 0 && s.segments[i].sequence != s.segments[i-1].sequence+1 {
			return fileError("read log", s.segments[i].name, errors.New("the preceding segment is missing"))
		}
	}
	return s.replay()
}

func (s *Store) replay() error {
	for i := 0; i < len(s.segments); i++ {
		data, err := s.fs.ReadFile(s.segments[i].name)
		if err != nil {
			return fileError("read segment", s.segments[i].name, err)
		}
		corruption, err := scan(data, func(offset int, r record) error { return s.replayRecord(&s.segments[i], offset, r) })
		if err != nil {
			return err
		}
		if corruption == nil && len(data) > 0 {
			s.activeBytes = int64(len(data))
			continue
		}
		if corruption == nil {
			corruption = &corruptRecord{tail: true, err: errShortRecord}
		}
		if !corruption.tail || i < len(s.segments)-1 {
			return fileError("read segment", s.segments[i].name, errors.Wrapf(corruption.err, "corrupt record at offset %d", corruption.offset))
		}
		return s.truncateTail(i, corruption.offset)
	}
	return s.openTail()
}

// truncateTail removes an incomplete last record, which a crash interrupted before
// it was acknowledged.
func (s *Store) truncateTail(i, offset int) error {
	tail := s.segments[i]
	if offset == 0 && i > 0 {
		// The crash interrupted the creation of the segment.
		if err := s.fs.Remove(tail.name); err != nil {
			return fileError("remove segment", tail.name, err)
		}
		if err := s.fs.SyncDir(s.dir); err != nil {
			return fileError("sync data folder", s.dir, err)
		}
		s.segments = s.segments[:i]
		return s.openTail()
	}
	if offset == 0 {
		return fileError("read segment", tail.name, errors.New("corrupt record at offset 0"))
	}
	if err := s.openTail(); err != nil {
		return err
	}
	if err := s.active.Truncate(int64(offset)); err != nil {
		return fileError("truncate segment", tail.name, err)
	}
	if err := s.active.Sync(); err != nil {
		return fileError("sync segment", tail.name, err)
	}
	s.activeBytes = int64(offset)
	return nil
}

func (s *Store) openTail() error {
	name := s.segments[len(s.segments)-1].name
	f, err := s.fs.Append(name)
	if err != nil {
		return fileError("open segment", name, err)
	}
	s.active = f
	return nil
}

// replayRecord applies one record of a segment to the recovered state.
func (s *Store) replayRecord(seg *segment, offset int, r record) error {
	corrupt := func(format string, args ...any) error {
		return fileError("read segment", seg.name, errors.Wrapf(errors.Newf(format, args...), "corrupt record at offset %d", offset))
	}
	switch {
	case r.Header != nil && offset == 0:
		h := r.Header
		if h.Version != formatVersion || h.Sequence != seg.sequence {
			return corrupt("unexpected version %d or sequence %d", h.Version, h.Sequence)
		}
		if h.Base > s.snapshotIndex {
			return corrupt("the snapshot at index %d is missing", h.Base)
		}
		s.hardState = h.HardState
		if h.Reset {
			s.state.Entries = nil
		}
	case r.Batch != nil && offset > 0:
		s.hardState = r.Batch.HardState
		return s.replayEntries(seg, r.Batch.Entries, corrupt)
	default:
		return corrupt("unexpected record")
	}
	return nil
}

func (s *Store) replayEntries(seg *segment, entries []consensus.Entry, corrupt func(string, ...any) error) error {
	for _, e := range entries {
		log := s.state.Entries
		switch {
		case len(log) == 0 && e.Index <= s.snapshotIndex+1:
		case len(log) == 0:
			return corrupt("entries before %d are missing", e.Index)
		case e.Index > log[len(log)-1].Index+1:
			return corrupt("entry %d follows %d", e.Index, log[len(log)-1].Index)
		case e.Index <= log[0].Index:
			log = log[:0]
		default:
			log = log[:e.Index-log[0].Index]
		}
		log = append(log, e)
		s.state.Entries = log
		seg.maxIndex = max(seg.maxIndex, e.Index)
	}
	return nil
}

// mergeSnapshotAndLog drops the entries that the snapshot covers, and the whole log
// when it does not contain the snapshot's last entry: then a crash came between
// saving a received snapshot and restarting the log.
func (s *Store) mergeSnapshotAndLog() error {
	snap := s.state.Snapshot
	log := s.state.Entries
	s.state.HardState = s.hardState
	s.lastIndex = snap.Index
	if len(log) > 0 && log[0].Index <= snap.Index {
		at := snap.Index - log[0].Index
		if at >= uint64(len(log)) || log[at].Term != snap.Term {
			s.state.Entries = nil
			return s.restartLog(snap)
		}
		log = log[at+1:]
	}
	s.state.Entries = log
	s.lastIndex += uint64(len(log))
	if s.snapshotFile != "" {
		s.terms = s.terms.add(consensus.Entry{Index: snap.Index, Term: snap.Term})
	}
	for _, e := range log {
		s.terms = s.terms.add(e)
	}
	return nil
}
