package storage

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/consensus"
)

var errCrash = errors.New("crash")

// step is one operation on a store, and its effect on the expected state.
type step struct {
	do     func(s *Store) error
	effect func(want consensus.State) consensus.State
}

func saveStep(hs consensus.HardState, batch []consensus.Entry) step {
	return step{
		func(s *Store) error { return s.Save(hs, batch) },
		func(want consensus.State) consensus.State {
			want.HardState = hs
			if len(batch) > 0 {
				kept := want.Entries[:batch[0].Index-want.Snapshot.Index-1]
				want.Entries = append(append([]consensus.Entry(nil), kept...), batch...)
			}
			return want
		},
	}
}

func snapshotStep(snap consensus.Snapshot) step {
	return step{
		func(s *Store) error { return s.SaveSnapshot(snap) },
		func(want consensus.State) consensus.State {
			at := int(snap.Index) - int(want.Snapshot.Index)
			matches := at <= len(want.Entries) && (at == 0 || want.Entries[at-1].Term == snap.Term)
			if matches {
				want.Entries = want.Entries[at:]
			} else {
				want.Entries = nil
			}
			want.Snapshot = snap
			return want
		},
	}
}

// crashScript is a history with rotations, overwrites and both kinds of
// snapshots.
func crashScript() []step {
	return []step{
		saveStep(hardState(1), entries(1, 8, 1)),
		saveStep(hardState(2), entries(6, 12, 2)),
		snapshotStep(consensus.Snapshot{Index: 7, Term: 2, Data: []byte("seven")}),
		saveStep(hardState(2), entries(13, 20, 2)),
		saveStep(hardState(3), nil),
		snapshotStep(consensus.Snapshot{Index: 40, Term: 3, Data: []byte("forty")}),
		saveStep(hardState(3), entries(41, 45, 3)),
		snapshotStep(consensus.Snapshot{Index: 44, Term: 4}),
		saveStep(hardState(4), entries(45, 46, 4)),
	}
}

// crashAt runs the script, crashes at the n-th file operation and checks that the
// store recovers the acknowledged state, with or without the interrupted step, also
// when the first recovery crashes too. done is set when the script ended before the
// crash.
func crashAt(n, torn int, script []step, ignoreSyncs bool) (done bool, err error) {
	fsys := newMemFS()
	fsys.injectError = func(op, _ string) error {
		if ignoreSyncs && op == "sync" {
			return nil
		}
		return errorIf(fsys.ops > n, errCrash)
	}
	var disk FS = fsys
	if ignoreSyncs {
		disk = unsyncedFS{fsys}
	}
	want, next, done := runUntilCrash(disk, script)
	after := fsys.crash(torn)
	after.injectError = func(string, string) error { return errorIf(after.ops > torn%5, errCrash) }
	if s, err := Open(testDir, testOptions(after)); err == nil {
		_ = s.Close()
	}
	s, err := Open(testDir, testOptions(after.crash(torn)))
	if err != nil {
		return done, err
	}
	got, err := s.Load()
	if err != nil {
		return done, err
	}
	if sameState(want, got) == nil || sameState(next, got) == nil {
		return done, nil
	}
	return done, fmt.Errorf("crash at %d: recovered %v, acknowledged %v", n, got, want)
}

func runUntilCrash(fsys FS, script []step) (want, next consensus.State, done bool) {
	s, err := Open(testDir, testOptions(fsys))
	if err != nil {
		return want, want, false
	}
	for _, st := range script {
		next = st.effect(want)
		if st.do(s) != nil {
			return want, next, false
		}
		want = next
	}
	return want, next, true
}

// unsyncedFS acknowledges syncs of new files without performing them.
type unsyncedFS struct{ FS }

func (u unsyncedFS) Create(name string) (File, error) {
	f, err := u.FS.Create(name)
	return unsyncedFile{f}, err
}

type unsyncedFile struct{ File }

func (unsyncedFile) Sync() error { return nil }

func TestCrashAtEveryOperation(t *testing.T) {
	for _, torn := range []int{0, 1, 9, 60, 1 << 20} {
		for n := 0; ; n++ {
			done, err := crashAt(n, torn, crashScript(), false)
			require.NoError(t, err)
			if done {
				require.Greater(t, n, 40)
				break
			}
		}
	}
}

// TestUnsyncedAcknowledgementIsDetected checks that crashAt detects a store
// that acknowledges before its data is durable.
func TestUnsyncedAcknowledgementIsDetected(t *testing.T) {
	detected := 0
	for n := range 60 {
		if _, err := crashAt(n, 0, crashScript(), true); err != nil {
			detected++
		}
	}
	require.Positive(t, detected)
}

// TestStoreAgainstModel compares random histories with a model of the state, across
// crashes and restarts.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fsys := newMemFS()
		s := mustOpen(t, fsys)
		var want consensus.State
		term := uint64(1)
		apply := func(st step) {
			if err := st.do(s); err != nil {
				rt.Fatal(err)
			}
			want = st.effect(want)
		}
		last := func() uint64 { return want.Snapshot.Index + uint64(len(want.Entries)) }
		rt.Repeat(map[string]func(*rapid.T){
			"append": func(rt *rapid.T) {
				n := rapid.Uint64Range(1, 6).Draw(rt, "entries")
				apply(saveStep(hardState(term), entries(last()+1, last()+n, term)))
			},
			"overwrite": func(rt *rapid.T) {
				term++
				from := rapid.Uint64Range(want.Snapshot.Index+1, last()+1).Draw(rt, "from")
				apply(saveStep(hardState(term), entries(from, from+1, term)))
			},
			"vote": func(*rapid.T) {
				term++
				apply(saveStep(hardState(term), nil))
			},
			"compact": func(rt *rapid.T) {
				if len(want.Entries) == 0 {
					return
				}
				at := rapid.IntRange(0, len(want.Entries)-1).Draw(rt, "at")
				e := want.Entries[at]
				apply(snapshotStep(consensus.Snapshot{Index: e.Index, Term: e.Term, Data: []byte("own")}))
			},
			"install": func(rt *rapid.T) {
				term++
				index := rapid.Uint64Range(want.Snapshot.Index+1, last()+5).Draw(rt, "index")
				apply(snapshotStep(consensus.Snapshot{Index: index, Term: term, Data: []byte("received")}))
			},
			"crash": func(rt *rapid.T) {
				fsys = fsys.crash(rapid.IntRange(0, 30).Draw(rt, "torn"))
				s = mustOpen(t, fsys)
				got, err := s.Load()
				if err == nil {
					err = sameState(want, got)
				}
				if err != nil {
					rt.Fatal(err)
				}
			},
		})
	})
}

func FuzzDecodeRecord(f *testing.F) {
	for _, r := range []record{
		{Header: &segmentHeader{Version: formatVersion, Sequence: 1}},
		{Batch: &batch{HardState: hardState(1), Entries: entries(1, 3, 1)}},
		{Snapshot: &consensus.Snapshot{Index: 3, Term: 1}},
		{Identity: &Identity{Version: formatVersion, Voter: "v1", Incarnation: 1}},
	} {
		buf, err := encodeRecord(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(buf)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, size, err := decodeRecord(data)
		if err != nil {
			return
		}
		again, err := encodeRecord(r)
		require.NoError(t, err)
		back, _, err := decodeRecord(again)
		require.NoError(t, err)
		third, err := encodeRecord(back)
		require.NoError(t, err)
		require.Equal(t, again, third)
		require.LessOrEqual(t, size, len(data))
	})
}
