package storage

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	segmentPrefix  = "log-"
	segmentSuffix  = ".seg"
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".snap"
)

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, sequence, segmentSuffix)
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix)
}

// parseName returns the number in a segment or snapshot name.
func parseName(name, prefix, suffix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	digits, ok = strings.CutSuffix(digits, suffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil
}

// rotate starts a new segment. With reset, the log before it is discarded.
func (s *Store) rotate(reset bool) error {
	sequence := uint64(1)
	if n := len(s.segments); n > 0 {
		sequence = s.segments[n-1].sequence + 1
	}
	name := s.path(segmentName(sequence))
	f, err := s.fs.Create(name)
	if err != nil {
		return s.fail("create segment", name, err)
	}
	old := s.active
	s.active = f
	s.activeBytes = 0
	s.segments = append(s.segments, segment{name: name, sequence: sequence})
	header := &segmentHeader{
		Version: formatVersion, Sequence: sequence, HardState: s.hardState, Base: s.snapshotIndex, Reset: reset,
	}
	if err := s.write(record{Header: header}); err != nil {
		return err
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return s.fail("sync data folder", s.dir, err)
	}
	if old == nil {
		return nil
	}
	if err := old.Close(); err != nil {
		return s.fail("close segment", name, err)
	}
	return nil
}

// removeObsoleteSegments removes the oldest segments whose entries the snapshot
// covers.
func (s *Store) removeObsoleteSegments() error {
	s.terms = s.terms.trim(s.snapshotIndex)
	n := 0
	for n < len(s.segments)-1 && s.segments[n].maxIndex <= s.snapshotIndex {
		if err := s.fs.Remove(s.segments[n].name); err != nil {
			return s.fail("remove segment", s.segments[n].name, err)
		}
		n++
	}
	if n == 0 {
		return nil
	}
	s.segments = append([]segment(nil), s.segments[n:]...)
	if err := s.fs.SyncDir(s.dir); err != nil {
		return s.fail("sync data folder", s.dir, err)
	}
	return nil
}

// corruptRecord is an unreadable record in a file.
type corruptRecord struct {
	offset int
	err    error
	// tail is set when the record may be torn and no valid record follows, as after
	// an interrupted write.
	tail bool
}

// scan calls f for every record of a file and returns the first corrupt record.
func scan(data []byte, f func(offset int, r record) error) (*corruptRecord, error) {
	offset := 0
	for offset < len(data) {
		r, size, err := decodeRecord(data[offset:])
		if err != nil {
			torn := errors.Is(err, errShortRecord) || errors.Is(err, errChecksum)
			return &corruptRecord{offset, err, torn && !validRecordAfter(data[offset:])}, nil
		}
		if err := f(offset, r); err != nil {
			return nil, err
		}
		offset += size
	}
	return nil, nil
}
