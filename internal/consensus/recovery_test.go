package consensus_test

import (
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/storage"
)

// recoverFolder makes the owner of a data folder the only voter. change may
// corrupt the recovery before it is saved.
func recoverFolder(t *testing.T, id api.VoterID, dir string, change func(*consensus.Recovery)) {
	t.Helper()
	store, err := storage.Open(dir, storage.Options{Voter: id, Existing: true})
	require.NoError(t, err)
	state, err := store.Load()
	require.NoError(t, err)
	identity := store.Identity()
	r, err := consensus.Recover(state, id, identity.Incarnation, []byte("recovered"))
	require.NoError(t, err)
	if change != nil {
		change(&r)
	}
	require.NoError(t, store.Save(r.HardState, r.Entries))
	require.NoError(t, store.Close())
}

func (c *cluster) voters() []api.VoterID {
	var out []api.VoterID
	for _, m := range c.leader().server.Members() {
		if !m.Learner {
			out = append(out, m.ID)
		}
	}
	return out
}

func TestRecoveredVoterLeadsAlone(t *testing.T) {
	c := newCluster(t, 3)
	want := append(c.proposeMany(0, 120), "recovered")
	c.requireConverged(want[:120])
	dir := c.nodes["v1"].dir
	for _, id := range []api.VoterID{"v1", "v2", "v3"} {
		c.stop(id)
	}
	recoverFolder(t, "v1", dir, nil)
	c.start("v1", dir, false)
	c.propose("alone")
	want = append(want, "alone")
	c.requireConverged(want)

	c.start("v2", t.TempDir(), false)
	c.start("v3", t.TempDir(), true)
	c.advanceUntil("three voters again", func() bool { return len(c.voters()) == 3 })
	c.requireConverged(want)
	c.stop("v1")
	c.propose("without the first")
	c.requireConverged(append(want, "without the first"))
}

// reuseIncarnations is a broken variant that accepts the lost voters again.
func reuseIncarnations(r *consensus.Recovery) {
	var m consensus.Membership
	if err := cbor.Unmarshal(r.Entries[0].Data, &m); err != nil {
		panic(err)
	}
	for i := range m.Members {
		m.Members[i].Incarnation = consensus.BootstrapIncarnation
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	r.Entries[0].Data = data
}

// oldFolderBecomesVoter recovers v1, starts v2 on its old data folder and
// reports whether v2 becomes a voter again.
func oldFolderBecomesVoter(t *testing.T, change func(*consensus.Recovery)) bool {
	const ticks = 400
	c := newCluster(t, 3)
	c.requireConverged(c.proposeMany(0, 20))
	first, second := c.nodes["v1"].dir, c.nodes["v2"].dir
	for _, id := range []api.VoterID{"v1", "v2", "v3"} {
		c.stop(id)
	}
	recoverFolder(t, "v1", first, change)
	c.start("v1", first, false)
	c.start("v2", second, false)
	c.propose("alone")
	for range ticks {
		if slices.Contains(c.voters(), "v2") {
			return true
		}
		c.advance()
	}
	return false
}

func TestOldFolderOfLostVoterNeverVotes(t *testing.T) {
	require.False(t, oldFolderBecomesVoter(t, nil))
}

func TestOldFolderCheckDetectsReusedIncarnations(t *testing.T) {
	require.True(t, oldFolderBecomesVoter(t, reuseIncarnations))
}

func TestRecoverPreconditions(t *testing.T) {
	voters := consensus.Membership{Members: []consensus.Member{
		{ID: "v1", Incarnation: 7}, {ID: "v2", Incarnation: 1}, {ID: "v3", Incarnation: 1, Learner: true},
	}}
	used := consensus.State{Snapshot: consensus.Snapshot{Index: 9, Term: 2, Membership: voters}}
	for name, tc := range map[string]struct {
		state       consensus.State
		self        api.VoterID
		incarnation api.Incarnation
		code        errs.Code
	}{
		"empty log":         {consensus.State{}, "v1", 7, errs.NotFound},
		"learner":           {used, "v3", 1, errs.Conflict},
		"not a member":      {used, "v4", 1, errs.Conflict},
		"older incarnation": {used, "v1", 6, errs.Conflict},
		"voter":             {used, "v1", 7, ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := consensus.Recover(tc.state, tc.self, tc.incarnation, nil)
			if tc.code == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tc.code, errs.CodeOf(err), "%v", err)
		})
	}
}
