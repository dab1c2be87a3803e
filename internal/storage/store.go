package storage

import (
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/errs"
)

// Options configures a Store.
type Options struct {
	// Voter owns the data folder. A folder of another voter is rejected.
	Voter api.VoterID
	// Bootstrap marks the first start of the whole cluster: an empty folder gets
	// consensus.BootstrapIncarnation. Without it, an empty folder is a lost disk
	// and gets a new incarnation.
	Bootstrap bool
	// Existing makes Open fail on a missing or empty folder instead of creating it.
	Existing bool
	// SegmentBytes is the size at which a new segment starts, in bytes.
	SegmentBytes int64
	// FS is the file system; nil stands for OS.
	FS FS
	// NewIncarnation returns an incarnation above every earlier one; nil stands
	// for the nanoseconds of the wall clock.
	NewIncarnation func() api.Incarnation
}

const defaultSegmentBytes = 16 << 20

// Store is an open data folder. It implements consensus.Store. It is safe for
// concurrent use.
type Store struct {
	mu   sync.Mutex
	dir  string
	opts Options
	fs   FS
	lock io.Closer

	identity Identity
	fresh    bool
	state    consensus.State
	loaded   bool
	failed   error

	segments    []segment
	active      File
	activeBytes int64
	// lastIndex is the index of the last entry of the log.
	lastIndex     uint64
	hardState     consensus.HardState
	terms         termRuns
	snapshotIndex uint64
	// snapshotFile is the name of the newest snapshot, empty without one.
	snapshotFile string
}

// segment is one log file.
type segment struct {
	name     string
	sequence uint64
	// maxIndex is the largest index of an entry in the file.
	maxIndex uint64
}

const (
	lockName     = "LOCK"
	identityName = "identity"
	tmpSuffix    = ".tmp"
)

// Open locks and recovers a data folder. An error names the folder or the file,
// and the offset of a corrupt record.
func Open(dir string, opts Options) (*Store, error) {
	if opts.FS == nil {
		opts.FS = OS{}
	}
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	if opts.NewIncarnation == nil {
		opts.NewIncarnation = func() api.Incarnation { return api.Incarnation(time.Now().UnixNano()) }
	}
	s := &Store{dir: dir, opts: opts, fs: opts.FS}
	if err := s.prepareFolder(); err != nil {
		return nil, err
	}
	lock, err := s.fs.Lock(s.path(lockName))
	if err != nil {
		return nil, errs.New(errs.Conflict, "lock data folder", "", "%s is in use by another instance: %v", dir, err)
	}
	s.lock = lock
	if err := s.recover(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// prepareFolder creates the folder, or checks that it has an identity if it must
// already exist.
func (s *Store) prepareFolder() error {
	if s.opts.Existing {
		if _, err := s.fs.ReadFile(s.path(identityName)); err != nil {
			return errs.New(errs.NotFound, "open data folder", "", "%s contains no voter identity: %v", s.dir, err)
		}
		return nil
	}
	if err := s.fs.MkdirAll(s.dir); err != nil {
		return fileError("create data folder", s.dir, err)
	}
	return nil
}

// fileError returns an error that names the file.
func fileError(step, name string, err error) error {
	return errs.New(errs.Internal, step, "", "%s: %w", name, err)
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

// Identity returns the owner of the folder.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

// Fresh reports whether Open initialised the folder.
func (s *Store) Fresh() bool { return s.fresh }

// Load returns the recovered state. It may be called once.
func (s *Store) Load() (consensus.State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		return consensus.State{}, errs.New(errs.Conflict, "load data folder", "", "%s is already loaded", s.dir)
	}
	s.loaded = true
	state := s.state
	s.state = consensus.State{}
	return state, s.failed
}

// Save implements consensus.Store.
func (s *Store) Save(hs consensus.HardState, entries []consensus.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if len(entries) > 0 && entries[0].Index > s.lastIndex+1 {
		return s.fail("append entries", s.dir, fmt.Errorf("entry %d does not follow %d", entries[0].Index, s.lastIndex))
	}
	if s.activeBytes >= s.opts.SegmentBytes {
		if err := s.rotate(false); err != nil {
			return err
		}
	}
	if err := s.write(record{Batch: &batch{HardState: hs, Entries: entries}}); err != nil {
		return err
	}
	s.hardState = hs
	for _, e := range entries {
		s.terms = s.terms.add(e)
	}
	if n := len(entries); n > 0 {
		s.lastIndex = entries[n-1].Index
		tail := &s.segments[len(s.segments)-1]
		tail.maxIndex = max(tail.maxIndex, s.lastIndex)
	}
	return nil
}

// write appends one record to the active segment and syncs it.
func (s *Store) write(r record) error {
	name := s.segments[len(s.segments)-1].name
	buf, err := encodeRecord(r)
	if err != nil {
		return s.fail("encode record", name, err)
	}
	if err := writeAll(s.active, buf); err != nil {
		return s.fail("append to segment", name, err)
	}
	if err := s.active.Sync(); err != nil {
		return s.fail("sync segment", name, err)
	}
	s.activeBytes += int64(len(buf))
	return nil
}

func writeAll(w io.Writer, buf []byte) error {
	n, err := w.Write(buf)
	if err == nil && n < len(buf) {
		err = io.ErrShortWrite
	}
	return err
}

// fail stops the store permanently: the content of a file after a failed write or
// sync is unknown, so nothing may be acknowledged afterwards.
func (s *Store) fail(step, name string, err error) error {
	if s.failed == nil {
		s.failed = fileError(step, name, err)
	}
	return s.failed
}

// Err returns the failure that stopped the store, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Close releases the folder. Later operations fail.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = errs.New(errs.Unavailable, "use data folder", "", "%s is closed", s.dir)
	}
	var first error
	for _, c := range []io.Closer{s.active, s.lock} {
		if c == nil {
			continue
		}
		if err := c.Close(); err != nil && first == nil {
			first = fileError("close data folder", s.dir, err)
		}
	}
	s.active, s.lock = nil, nil
	return first
}
