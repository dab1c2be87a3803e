package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// The survivor of a lost majority lacks its newest changes. After recovery it
// must not allocate their numbers again.
func TestRecoveryReusesNoNumber(t *testing.T) {
	lost, survivor := NewState(), NewState()
	for _, s := range []*State{lost, survivor} {
		seedServingGroups(t, s)
		apply(t, s, &shardsCommand{Assign: []api.ShardLease{{Shard: api.ShardID{ServingGroup: "sg1", Domain: "d1"}, Owner: "e1"}}}, 0)
	}
	pending, ok := apply(t, survivor, &planCommand{Operator: "amal", Base: survivor.ConfigRevision(), Limit: 8}, 0).(api.Plan)
	require.True(t, ok)
	form := &groupCommand{Change: api.GroupChange{Kind: api.GroupForm, Group: api.Group{ServingGroup: "sg1", Members: []api.HostID{"h1"}}}}
	ahead, ok := apply(t, lost, form, 0).(api.GroupChangeResult)
	require.True(t, ok)

	apply(t, survivor, &recoverCommand{Operator: "amal", Gap: recoveryGap, Lost: []api.VoterID{"v2", "v3"}}, 0)
	require.Greater(t, survivor.Required(), ahead.Revision)
	require.Empty(t, survivor.View().Shards)
	update := survivor.Update(ahead.Revision)
	require.True(t, update.Full, "a view with lost changes is replaced by a full one")
	view, err := ApplyUpdate(lost.View(), update)
	require.NoError(t, err)
	require.Empty(t, view.Groups)

	again, ok := apply(t, survivor, form, 0).(api.GroupChangeResult)
	require.True(t, ok)
	require.Greater(t, again.Group.Fencing, ahead.Group.Fencing)
	refused, ok := apply(t, survivor, &decideCommand{Operator: "amal", Plan: pending.ID, Confirm: true}, 0).(error)
	require.True(t, ok)
	require.Equal(t, errs.Conflict, errs.CodeOf(refused))
	require.ErrorContains(t, refused, "given up: v2 v3")
}

func TestRecoveryGapIsBounded(t *testing.T) {
	for _, gap := range []uint64{0, recoveryGap + 1} {
		err, ok := apply(t, NewState(), &recoverCommand{Gap: gap}, 0).(error)
		require.True(t, ok)
		require.Equal(t, errs.Invalid, errs.CodeOf(err))
	}
}
