package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

var testQuarantineLimits = QuarantineLimits{MaxRows: 2, SuspectMillis: 1000, QuarantineMillis: 10_000, HoldMillis: 1000, TrialMillis: 500}

// quarantineAction applies an action on the quarantine of one key.
func quarantineAction(t *testing.T, s *State, now int64, action api.QuarantineAction, key string) any {
	r := api.QuarantineRequest{Action: action, Fingerprint: key, Keys: []string{key}, Entry: "e1", Deaths: 3}
	return apply(t, s, &quarantineCommand{Request: r, Limits: testQuarantineLimits}, now)
}

func TestQuarantineOfKeysAllowsOneTrialAtATime(t *testing.T) {
	s := NewState()
	act := func(now int64, action api.QuarantineAction) api.QuarantineResponse {
		res, ok := quarantineAction(t, s, now, action, "part/1").(api.QuarantineResponse)
		require.True(t, ok)
		return res
	}
	q := api.Quarantine{Fingerprint: "part/1", Keys: []string{"part/1"}, Deaths: 3, UntilUnixMillis: 1000}
	require.Equal(t, q, act(0, api.QuarantineImpose).Quarantine)
	require.Equal(t, q, act(500, api.QuarantineImpose).Quarantine, "another entry reports the same")
	require.Equal(t, []api.Quarantine{q}, s.View().Quarantines)

	require.Equal(t, api.QuarantineResponse{Quarantine: q, RetryAfterMillis: 400}, act(600, api.QuarantineTry))
	require.True(t, act(1000, api.QuarantineTry).Granted)
	require.Equal(t, api.QuarantineResponse{Quarantine: q, RetryAfterMillis: 300}, act(1200, api.QuarantineTry), "a trial is in progress")
	require.True(t, act(1500, api.QuarantineTry).Granted, "the last trial had no result")

	q.Deaths, q.UntilUnixMillis = 4, 3600
	require.Equal(t, q, act(1600, api.QuarantineExtend).Quarantine, "twice the hold after a trial that failed")
	require.False(t, act(3599, api.QuarantineTry).Granted)
	require.True(t, act(3600, api.QuarantineTry).Granted)
	for now, failed := int64(4000), 0; failed < 40; failed++ {
		res := act(now, api.QuarantineExtend)
		require.LessOrEqual(t, res.RetryAfterMillis, testQuarantineLimits.QuarantineMillis)
		require.GreaterOrEqual(t, res.RetryAfterMillis, testQuarantineLimits.HoldMillis)
	}
	act(5000, api.QuarantineLift)
	require.Empty(t, s.View().Quarantines)
	require.True(t, act(5001, api.QuarantineTry).Granted, "nothing is quarantined")
	act(5002, api.QuarantineLift)
	act(5003, api.QuarantineExtend)
	require.Empty(t, s.View().Quarantines, "a trial from before the quarantine was lifted")
}

// TestTrialsOfALongQuarantineAreFew counts the requests that a lasting cause gets through
// in half an hour with the default limits, if one comes every 100 ms.
func TestTrialsOfALongQuarantineAreFew(t *testing.T) {
	limits := Limits{}.withDefaults().Quarantine
	s := NewState()
	send := func(now int64, action api.QuarantineAction) api.QuarantineResponse {
		r := api.QuarantineRequest{Action: action, Fingerprint: "part/1", Keys: []string{"part/1"}, Entry: "e1", Deaths: 3}
		res, ok := apply(t, s, &quarantineCommand{Request: r, Limits: limits}, now).(api.QuarantineResponse)
		require.True(t, ok)
		return res
	}
	send(0, api.QuarantineImpose)
	trials := map[int64]int{}
	for now := int64(0); now < 30*60*1000; now += 100 {
		if send(now, api.QuarantineTry).Granted {
			trials[now/(3*60*1000)]++
			send(now+100, api.QuarantineExtend)
		}
	}
	require.LessOrEqual(t, trials[0], 2, "in the first three minutes")
	total := 0
	for _, n := range trials {
		total += n
	}
	require.LessOrEqual(t, total, 7)
}

func TestQuarantinesOfKeysAreBoundedAndExpire(t *testing.T) {
	s := NewState()
	quarantineAction(t, s, 0, api.QuarantineImpose, "part/1")
	quarantineAction(t, s, 0, api.QuarantineImpose, "part/2")
	err, _ := quarantineAction(t, s, 0, api.QuarantineImpose, "part/3").(error)
	requireCode(t, errs.Full, err)
	apply(t, s, &expireCommand{MaxRecords: 1}, testQuarantineLimits.HoldMillis)
	require.Len(t, s.View().Quarantines, 2, "they wait for a trial")
	apply(t, s, &expireCommand{MaxRecords: 1}, testQuarantineLimits.HoldMillis+testQuarantineLimits.QuarantineMillis)
	require.Empty(t, s.View().Quarantines, "no such request has come")
}
