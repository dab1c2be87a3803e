package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

func TestCommandDecoderRefuses(t *testing.T) {
	good, err := encodeCommand(&serversCommand{Remove: []api.HostID{"s1"}}, 7)
	require.NoError(t, err)
	encode := func(v any) []byte {
		data, err := encMode.Marshal(v)
		require.NoError(t, err)
		return data
	}
	empty := encode(map[int]int{})
	for name, data := range map[string][]byte{
		"empty":         {},
		"truncated":     good[:len(good)-1],
		"trailing":      append(append([]byte{}, good...), 0),
		"version":       encode(envelope{Version: 9, Kind: kindServers, Body: empty}),
		"kind":          encode(envelope{Version: commandVersion, Kind: 200, Body: empty}),
		"unknown field": encode(envelope{Version: commandVersion, Kind: kindServers, Body: encode(map[int]int{9: 1})}),
		"wrong type":    encode(envelope{Version: commandVersion, Kind: kindServers, Body: encode(map[int]int{1: 1})}),
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			before := snapshot(t, s)
			_, _, err := decodeCommand(data)
			requireCode(t, errs.Invalid, err)
			err, ok := s.Apply(1, data).(error)
			require.True(t, ok)
			require.Equal(t, err, s.Err())
			require.Equal(t, err, s.Apply(2, good), "a failed state applies nothing more")
			_, err = s.Snapshot()
			require.Equal(t, s.Err(), err)
			require.NoError(t, s.Restore(before))
			require.Equal(t, before, snapshot(t, s))
		})
	}
	cmd, millis, err := decodeCommand(good)
	require.NoError(t, err)
	require.Equal(t, int64(7), millis)
	require.Equal(t, &serversCommand{Remove: []api.HostID{"s1"}}, cmd)
}

func TestRestoreRefusesDamage(t *testing.T) {
	s := NewState()
	seedServingGroups(t, s)
	data := snapshot(t, s)
	require.Error(t, s.Restore(data[:len(data)-1]))
	require.Error(t, s.Restore(nil))
	require.Equal(t, data, snapshot(t, s))
}

// FuzzDecodeCommand feeds the decoder bytes as a damaged or foreign log may
// hold them. Every command that decodes must encode and apply.
func FuzzDecodeCommand(f *testing.F) {
	for _, cmd := range []command{
		&planCommand{Operator: "amal", Intent: api.Intent{Weights: &api.Weights{}}},
		&decideCommand{Plan: 1, Confirm: true},
		&groupCommand{Change: api.GroupChange{Kind: api.GroupForm, Group: api.Group{Members: []api.HostID{"h1"}}}},
		&entryPutCommand{Info: api.EntryInfo{ID: "e1", Incarnation: 1, Live: true}},
		&entryExpireCommand{ID: "e1"},
		&shardsCommand{Remove: []api.ShardID{{ServingGroup: "s"}}},
		&serversCommand{Put: []api.ServiceServer{{Host: "s1"}}},
		&recordOpenCommand{Record: api.Record{Key: "k"}},
		&recordEndCommand{Record: api.Record{Key: "k"}},
		&suspectCommand{Suspect: api.SuspectRequest{Fingerprint: "f"}},
		&quarantineCommand{Request: api.QuarantineRequest{Action: api.QuarantineImpose, Fingerprint: "part/1", Keys: []string{"part/1"}}},
		&expireCommand{MaxRecords: 1},
		&leadCommand{Term: 1},
		&leaseCommand{Millis: 9000, Term: 1},
	} {
		data, err := encodeCommand(cmd, 1)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cmd, millis, err := decodeCommand(data)
		if err != nil {
			return
		}
		again, err := encodeCommand(cmd, millis)
		require.NoError(t, err)
		a, b := NewState(), NewState()
		a.Apply(1, data)
		b.Apply(1, again)
		require.Equal(t, snapshot(t, a), snapshot(t, b))
	})
}

func TestFailedStateStopsTheVoter(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	f.states[0].Apply(9, []byte("newer"))
	requireCode(t, errs.Internal, f.renew("e1", 1))
	err := f.services[0].Run(ctx)
	require.ErrorContains(t, err, "apply log entry 9")
}
