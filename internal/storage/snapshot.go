package storage

import (
	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
)

// SaveSnapshot implements consensus.Store.
func (s *Store) SaveSnapshot(snap consensus.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	name := snapshotName(snap.Index)
	if err := s.replaceFile(name, record{Snapshot: &snap}); err != nil {
		return err
	}
	old := s.snapshotFile
	s.snapshotFile = name
	s.snapshotIndex = snap.Index
	if old != "" && old != name {
		if err := s.fs.Remove(s.path(old)); err != nil {
			return s.fail("remove snapshot", s.path(old), err)
		}
	}
	return s.restartLog(snap)
}

// RenewIncarnation implements consensus.Store.
func (s *Store) RenewIncarnation() (api.Incarnation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return 0, s.failed
	}
	next := s.identity
	next.Incarnation = max(s.opts.NewIncarnation(), next.Incarnation+1)
	if err := s.replaceFile(identityName, record{Identity: &next}); err != nil {
		return 0, err
	}
	s.identity = next
	return next.Incarnation, nil
}

// restartLog starts a new segment after a snapshot. A log that does not contain
// the snapshot's last entry is discarded.
func (s *Store) restartLog(snap consensus.Snapshot) error {
	keep := s.lastIndex > snap.Index && s.terms.at(snap.Index) == snap.Term
	if !keep {
		s.lastIndex = snap.Index
		s.terms = nil
	}
	if err := s.rotate(!keep); err != nil {
		return err
	}
	if !keep {
		for i := range s.segments {
			s.segments[i].maxIndex = 0
		}
	}
	return s.removeObsoleteSegments()
}

// replaceFile replaces a file atomically and durably: the content is written to a
// temporary file, synced and renamed, and the folder is synced.
func (s *Store) replaceFile(name string, r record) error {
	path := s.path(name)
	tmp := path + tmpSuffix
	buf, err := encodeRecord(r)
	if err != nil {
		return s.fail("encode file", path, err)
	}
	f, err := s.fs.Create(tmp)
	if err != nil {
		return s.fail("create file", tmp, err)
	}
	if err := writeAll(f, buf); err != nil {
		_ = f.Close()
		return s.fail("write file", tmp, err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return s.fail("sync file", tmp, err)
	}
	if err := f.Close(); err != nil {
		return s.fail("close file", tmp, err)
	}
	if err := s.fs.Rename(tmp, path); err != nil {
		return s.fail("rename file", tmp, err)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return s.fail("sync data folder", s.dir, err)
	}
	return nil
}

// readSnapshot reads the newest snapshot and removes older ones.
func (s *Store) readSnapshot(names []string) error {
	for _, name := range names {
		index, ok := parseName(name, snapshotPrefix, snapshotSuffix)
		if !ok {
			continue
		}
		if s.snapshotFile != "" {
			// Names sort by index, so the one before is older.
			if err := s.fs.Remove(s.path(s.snapshotFile)); err != nil {
				return fileError("remove snapshot", s.path(s.snapshotFile), err)
			}
		}
		s.snapshotFile, s.snapshotIndex = name, index
	}
	if s.snapshotFile == "" {
		return nil
	}
	path := s.path(s.snapshotFile)
	r, err := s.readSingleRecord(path)
	if err != nil {
		return err
	}
	if r.Snapshot == nil || r.Snapshot.Index != s.snapshotIndex {
		return fileError("read snapshot", path, errors.New("the file does not contain the snapshot of the index in its name"))
	}
	s.state.Snapshot = *r.Snapshot
	return nil
}
