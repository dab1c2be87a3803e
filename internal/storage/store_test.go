package storage

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

const testDir = "data"

func testOptions(fsys FS) Options {
	return Options{Voter: "v1", Bootstrap: true, FS: fsys, SegmentBytes: 400}
}

func mustOpen(t testing.TB, fsys FS) *Store {
	t.Helper()
	s, err := Open(testDir, testOptions(fsys))
	require.NoError(t, err)
	return s
}

func mustLoad(t testing.TB, fsys FS) (*Store, consensus.State) {
	t.Helper()
	s := mustOpen(t, fsys)
	state, err := s.Load()
	require.NoError(t, err)
	return s, state
}

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "command %d of term %d", index, term)}
}

func entries(from, to, term uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := from; i <= to; i++ {
		out = append(out, entry(i, term))
	}
	return out
}

func hardState(term uint64) consensus.HardState { return consensus.HardState{Term: term, Vote: "v1"} }

func TestStoreRecovers(t *testing.T) {
	cases := []struct {
		name string
		save func(t *testing.T, s *Store)
		want consensus.State
	}{
		{"nothing", func(*testing.T, *Store) {}, consensus.State{}},
		{"a vote without entries", func(t *testing.T, s *Store) {
			require.NoError(t, s.Save(hardState(3), nil))
		}, consensus.State{HardState: hardState(3)}},
		{"entries over several segments", func(t *testing.T, s *Store) {
			for i := uint64(1); i <= 40; i++ {
				require.NoError(t, s.Save(hardState(1), entries(i, i, 1)))
			}
		}, consensus.State{HardState: hardState(1), Entries: entries(1, 40, 1)}},
		{"an overwritten suffix", func(t *testing.T, s *Store) {
			require.NoError(t, s.Save(hardState(1), entries(1, 9, 1)))
			require.NoError(t, s.Save(hardState(2), entries(5, 6, 2)))
		}, consensus.State{HardState: hardState(2), Entries: append(entries(1, 4, 1), entries(5, 6, 2)...)}},
		{"an overwritten whole log", func(t *testing.T, s *Store) {
			require.NoError(t, s.Save(hardState(1), entries(1, 30, 1)))
			require.NoError(t, s.Save(hardState(2), entries(1, 2, 2)))
		}, consensus.State{HardState: hardState(2), Entries: entries(1, 2, 2)}},
		{"a local snapshot followed by entries", func(t *testing.T, s *Store) {
			require.NoError(t, s.Save(hardState(1), entries(1, 9, 1)))
			require.NoError(t, s.SaveSnapshot(consensus.Snapshot{Index: 5, Term: 1, Data: []byte("state")}))
			require.NoError(t, s.Save(hardState(1), entries(10, 10, 1)))
		}, consensus.State{
			HardState: hardState(1), Snapshot: consensus.Snapshot{Index: 5, Term: 1, Data: []byte("state")},
			Entries: entries(6, 10, 1),
		}},
		{"a received snapshot beyond the log", func(t *testing.T, s *Store) {
			require.NoError(t, s.Save(hardState(1), entries(1, 9, 1)))
			require.NoError(t, s.SaveSnapshot(consensus.Snapshot{Index: 50, Term: 2}))
			require.NoError(t, s.Save(hardState(2), entries(51, 52, 2)))
		}, consensus.State{
			HardState: hardState(2), Snapshot: consensus.Snapshot{Index: 50, Term: 2}, Entries: entries(51, 52, 2),
		}},
		{"a received snapshot that conflicts with the log", func(t *testing.T, s *Store) {
			require.NoError(t, s.Save(hardState(1), entries(1, 9, 1)))
			require.NoError(t, s.SaveSnapshot(consensus.Snapshot{Index: 7, Term: 2}))
			require.NoError(t, s.Save(hardState(2), entries(8, 8, 2)))
		}, consensus.State{
			HardState: hardState(2), Snapshot: consensus.Snapshot{Index: 7, Term: 2}, Entries: entries(8, 8, 2),
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fsys := newMemFS()
			tc.save(t, mustOpen(t, fsys))
			for range 3 {
				fsys = fsys.crash(0)
				_, got := mustLoad(t, fsys)
				require.NoError(t, sameState(tc.want, got))
			}
		})
	}
}

// sameState compares two states, taking nil and empty as equal.
func sameState(want, got consensus.State) error {
	if fmt.Sprint(want) != fmt.Sprint(got) {
		return fmt.Errorf("recovered %v, want %v", got, want)
	}
	return nil
}

// lastSegment returns the path and content of the newest segment.
func lastSegment(t *testing.T, fsys *memFS) (string, []byte) {
	names, err := fsys.ReadDir(testDir)
	require.NoError(t, err)
	path := ""
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			path = filepath.Join(testDir, name)
		}
	}
	data, err := fsys.ReadFile(path)
	require.NoError(t, err)
	return path, data
}

// logOfThreeBatches writes three batches and returns the offset of the last one.
func logOfThreeBatches(t *testing.T) (fsys *memFS, path string, data []byte, offset int) {
	fsys = newMemFS()
	s := mustOpen(t, fsys)
	require.NoError(t, s.Save(hardState(1), entries(1, 2, 1)))
	require.NoError(t, s.Save(hardState(1), entries(3, 3, 1)))
	_, data = lastSegment(t, fsys)
	offset = len(data)
	require.NoError(t, s.Save(hardState(2), entries(4, 4, 2)))
	path, data = lastSegment(t, fsys)
	return fsys, path, data, offset
}

func TestTornTailIsTruncated(t *testing.T) {
	fsys, path, data, offset := logOfThreeBatches(t)
	tails := map[string]func(kept []byte) []byte{
		"missing": func(kept []byte) []byte { return kept },
		"zeroed":  func(kept []byte) []byte { return append(kept, make([]byte, len(data)-len(kept))...) },
	}
	for name, tail := range tails {
		t.Run(name, func(t *testing.T) {
			for cut := offset; cut < len(data); cut++ {
				broken := fsys.clone()
				broken.names[path].data = tail(append([]byte(nil), data[:cut]...))
				s, got := mustLoad(t, broken)
				require.NoError(t, sameState(consensus.State{HardState: hardState(1), Entries: entries(1, 3, 1)}, got), "cut at %d", cut)
				require.NoError(t, s.Save(hardState(3), entries(4, 4, 3)))
				_, got = mustLoad(t, broken.crash(0))
				want := consensus.State{HardState: hardState(3), Entries: append(entries(1, 3, 1), entry(4, 3))}
				require.NoError(t, sameState(want, got), "cut at %d", cut)
			}
		})
	}
}

func TestBitFlipsAreDetected(t *testing.T) {
	fsys, path, data, offset := logOfThreeBatches(t)
	whole := consensus.State{HardState: hardState(1), Entries: entries(1, 3, 1)}
	for at := range data {
		for bit := range 8 {
			broken := fsys.clone()
			broken.names[path].data[at] ^= 1 << bit
			s, err := Open(testDir, testOptions(broken))
			if at < offset {
				require.Error(t, err, "byte %d, bit %d", at, bit)
				require.ErrorContains(t, err, path)
				require.ErrorContains(t, err, "offset")
				continue
			}
			require.NoError(t, err, "byte %d, bit %d", at, bit)
			got, err := s.Load()
			require.NoError(t, err)
			require.NoError(t, sameState(whole, got), "byte %d, bit %d", at, bit)
		}
	}
}

func TestDamageBeforeTheTailIsRefused(t *testing.T) {
	build := func(t *testing.T) *memFS {
		fsys := newMemFS()
		s := mustOpen(t, fsys)
		for i := uint64(1); i <= 40; i++ {
			require.NoError(t, s.Save(hardState(1), entries(i, i, 1)))
		}
		require.NoError(t, s.SaveSnapshot(consensus.Snapshot{Index: 10, Term: 1}))
		return fsys
	}
	segments := func(fsys *memFS, prefix string) []string {
		names, _ := fsys.ReadDir(testDir)
		var out []string
		for _, name := range names {
			if strings.HasPrefix(name, prefix) {
				out = append(out, filepath.Join(testDir, name))
			}
		}
		return out
	}
	cases := []struct {
		name   string
		damage func(fsys *memFS) (file string)
	}{
		{"older segment truncated", func(fsys *memFS) string {
			file := segments(fsys, segmentPrefix)[1]
			inode := fsys.names[file]
			inode.data = inode.data[:len(inode.data)-1]
			return file
		}},
		{"older segment empty", func(fsys *memFS) string {
			file := segments(fsys, segmentPrefix)[1]
			fsys.names[file].data = nil
			return file
		}},
		{"segment missing in the middle", func(fsys *memFS) string {
			all := segments(fsys, segmentPrefix)
			delete(fsys.names, all[1])
			return all[2]
		}},
		{"first segment missing", func(fsys *memFS) string {
			all := segments(fsys, segmentPrefix)
			delete(fsys.names, all[0])
			return all[1]
		}},
		{"snapshot missing", func(fsys *memFS) string {
			delete(fsys.names, segments(fsys, snapshotPrefix)[0])
			return segments(fsys, segmentPrefix)[0]
		}},
		{"snapshot truncated", func(fsys *memFS) string {
			file := segments(fsys, snapshotPrefix)[0]
			fsys.names[file].data = fsys.names[file].data[:10]
			return file
		}},
		{"snapshot with trailing bytes", func(fsys *memFS) string {
			file := segments(fsys, snapshotPrefix)[0]
			fsys.names[file].data = append(fsys.names[file].data, 1)
			return file
		}},
		{"identity flipped", func(fsys *memFS) string {
			file := filepath.Join(testDir, identityName)
			fsys.names[file].data[9] ^= 1
			return file
		}},
		{"identity missing", func(fsys *memFS) string {
			delete(fsys.names, filepath.Join(testDir, identityName))
			return testDir
		}},
		{"all segments missing", func(fsys *memFS) string {
			for _, file := range segments(fsys, segmentPrefix) {
				delete(fsys.names, file)
			}
			return testDir
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fsys := build(t).clone()
			file := tc.damage(fsys)
			_, err := Open(testDir, testOptions(fsys))
			require.ErrorContains(t, err, file)
		})
	}
}

func TestFailureStopsTheStore(t *testing.T) {
	diskError := errors.New("input/output error")
	cases := []struct {
		name   string
		damage func(fsys *memFS)
	}{
		{"sync fails", func(fsys *memFS) {
			fsys.injectError = func(op, _ string) error { return errorIf(op == "sync", diskError) }
		}},
		{"write fails", func(fsys *memFS) {
			fsys.injectError = func(op, _ string) error { return errorIf(op == "write", diskError) }
		}},
		{"disk full", func(fsys *memFS) { fsys.freeBytes = 0 }},
		{"disk full in the middle of a record", func(fsys *memFS) { fsys.freeBytes = 20 }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fsys := newMemFS()
			s := mustOpen(t, fsys)
			require.NoError(t, s.Save(hardState(1), entries(1, 2, 1)))
			tc.damage(fsys)
			err := s.Save(hardState(1), entries(3, 3, 1))
			path, _ := lastSegment(t, fsys)
			require.ErrorContains(t, err, path)
			fsys.injectError, fsys.freeBytes = nil, -1
			require.Equal(t, err, s.Save(hardState(1), entries(3, 3, 1)))
			require.Equal(t, err, s.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 1}))
			require.Equal(t, err, s.Err())
			_, got := mustLoad(t, fsys.crash(7))
			require.NoError(t, sameState(consensus.State{HardState: hardState(1), Entries: entries(1, 2, 1)}, got))
		})
	}
}

func errorIf(cond bool, err error) error {
	if cond {
		return err
	}
	return nil
}

func TestFullDiskReturnsENOSPC(t *testing.T) {
	fsys := newMemFS()
	s := mustOpen(t, fsys)
	fsys.freeBytes = 5
	require.ErrorIs(t, s.Save(hardState(1), entries(1, 1, 1)), syscall.ENOSPC)
}

func TestIncarnationOfEmptyFolder(t *testing.T) {
	opts := testOptions(newMemFS())
	opts.Bootstrap = false
	opts.NewIncarnation = func() api.Incarnation { return 77 }
	s, err := Open(testDir, opts)
	require.NoError(t, err)
	require.True(t, s.Fresh())
	require.EqualValues(t, 77, s.Identity().Incarnation)
	require.NoError(t, s.Close())

	opts.Bootstrap = true
	s, err = Open(testDir, opts)
	require.NoError(t, err)
	require.False(t, s.Fresh())
	require.EqualValues(t, 77, s.Identity().Incarnation)
	require.NoError(t, s.Close())

	s, err = Open(testDir, opts)
	require.NoError(t, err)
	renewed, err := s.RenewIncarnation()
	require.NoError(t, err)
	require.EqualValues(t, 78, renewed)
	require.NoError(t, s.Close())
	s, err = Open(testDir, opts)
	require.NoError(t, err)
	require.EqualValues(t, 78, s.Identity().Incarnation)
	require.NoError(t, s.Close())

	opts.Voter = "v2"
	_, err = Open(testDir, opts)
	require.ErrorContains(t, err, `belongs to voter "v1"`)
}

func TestLockedFolderIsRefused(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, Options{Voter: "v1", Bootstrap: true})
	require.NoError(t, err)
	_, err = Open(dir, Options{Voter: "v1"})
	require.True(t, errs.Is(err, errs.Conflict))
	require.ErrorContains(t, err, dir)
	require.NoError(t, s.Close())
	s, err = Open(dir, Options{Voter: "v1"})
	require.NoError(t, err)
	require.NoError(t, s.Close())
}

func TestManyRestarts(t *testing.T) {
	const restarts = 400
	dir := t.TempDir()
	opts := Options{Voter: "v1", Bootstrap: true, SegmentBytes: 2000}
	want := consensus.State{}
	for i := uint64(1); i <= restarts; i++ {
		s, err := Open(dir, opts)
		require.NoError(t, err)
		got, err := s.Load()
		require.NoError(t, err)
		require.NoError(t, sameState(want, got))
		want.HardState = hardState(i)
		want.Entries = append(want.Entries, entry(i, i))
		require.NoError(t, s.Save(want.HardState, entries(i, i, i)))
		if i%50 == 0 {
			want.Snapshot = consensus.Snapshot{Index: i - 10, Term: i - 10, Data: []byte("state")}
			want.Entries = want.Entries[len(want.Entries)-10:]
			require.NoError(t, s.SaveSnapshot(want.Snapshot))
		}
		require.NoError(t, s.Close())
	}
}
