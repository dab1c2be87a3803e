package pipeline

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

func TestRunTimesAreSmoothed(t *testing.T) {
	times := newRunTimes()
	require.Zero(t, times.estimate("m", 0))
	times.observe("m", 0, time.Second)
	require.Equal(t, time.Second, times.estimate("m", 0))
	times.observe("m", 0, 2*time.Second)
	require.Equal(t, 1100*time.Millisecond, times.estimate("m", 0))
	require.Zero(t, times.estimate("other", 0))
}

func TestRunTimesFollowTheRequestedTokens(t *testing.T) {
	const base, perToken = 100 * time.Millisecond, 10 * time.Millisecond
	runs := func(lengths ...int) *runTimes {
		times := newRunTimes()
		for range 30 {
			for _, n := range lengths {
				times.observe("m", n, base+time.Duration(n)*perToken)
			}
		}
		return times
	}
	cases := []struct {
		name   string
		times  *runTimes
		tokens int
		want   time.Duration
	}{
		{"nothing observed", runs(), 10, 0},
		{"between", runs(10, 100), 50, 600 * time.Millisecond},
		{"longer", runs(10, 100), 200, 2100 * time.Millisecond},
		{"shorter", runs(10, 100), 1, 110 * time.Millisecond},
		{"one length, the same", runs(50), 50, 600 * time.Millisecond},
		{"one length, twice as long", runs(50), 100, 1200 * time.Millisecond},
		{"only runs without a length", runs(0), 50, 100 * time.Millisecond},
		{"without a length beside others", runs(0, 10, 100), 0, 100 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.InDelta(t, tc.want, tc.times.estimate("m", tc.tokens), float64(time.Millisecond))
		})
	}
	times := newRunTimes()
	times.observe("m", 10, time.Second)
	times.observe("m", 100, time.Millisecond)
	require.Positive(t, times.estimate("m", 1<<20), "more tokens never take less time")
}

const (
	longTokens = 1 << 20
	shortBody  = `{"model":"scribe-1","messages":[{"role":"user","content":"hi"}],"max_tokens":2,"stream":true}`
)

// TestRequestThatCannotMeetItsDeadlineIsRefused gives a call less time than the
// model takes. It is refused before it acquires a grant.
func TestRequestThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	cases := []struct {
		name    string
		runTime time.Duration
		body    string
		status  int
	}{
		{"fits", 100 * time.Millisecond, chatBody, 200},
		{"does not fit", time.Hour, chatBody, 429},
		{"short one fits", time.Hour, shortBody, 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(Settings{})
			h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
				return streamOf(&fakeStream{events: tokens(0, 2)}), nil
			}
			h.server.runTimes.observe("scribe-1", longTokens, tc.runTime)
			a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, tc.body)
			require.Equal(t, tc.status, a.status)
			if tc.status != 200 {
				require.Equal(t, api.OutcomeNotRun, a.outcome())
				require.Zero(t, h.backends.runCount())
			}
		})
	}
}
