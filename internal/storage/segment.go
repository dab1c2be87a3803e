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

// rotate starts a new segment. With reset, the log before it is void.
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
	s.written = 0
	s.segments = append(s.segments, segment{name: name, sequence: sequence})
	header := &segmentHeader{
		Version: formatVersion, Sequence: sequence, HardState: s.hard, Base: s.snapshot, Reset: reset,
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

// dropSegments removes the oldest segments whose entries a snapshot replaces.
func (s *Store) dropSegments() error {
	s.terms = s.terms.trim(s.snapshot)
	n := 0
	for n < len(s.segments)-1 && s.segments[n].maxIndex <= s.snapshot {
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

// damage is an unreadable record in a file.
type damage struct {
	offset int
	err    error
	// tail is set when nothing valid follows, as after a write that was cut off.
	tail bool
}

// scan calls f for every record of a file and returns the first damage.
func scan(data []byte, f func(offset int, r record) error) (*damage, error) {
	offset := 0
	for offset < len(data) {
		r, size, err := decodeRecord(data[offset:])
		if err != nil {
			torn := errors.Is(err, errShortRecord) || errors.Is(err, errChecksum)
			return &damage{offset, err, torn && !validRecordAfter(data[offset:])}, nil
		}
		if err := f(offset, r); err != nil {
			return nil, err
		}
		offset += size
	}
	return nil, nil
}
