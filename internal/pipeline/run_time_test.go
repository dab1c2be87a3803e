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
	require.Zero(t, times.estimate("m"))
	times.observe("m", time.Second)
	require.Equal(t, time.Second, times.estimate("m"))
	times.observe("m", 2*time.Second)
	require.Equal(t, 1100*time.Millisecond, times.estimate("m"))
	require.Zero(t, times.estimate("other"))
}

// TestWorkThatCannotEndInTimeIsRefused gives a caller less time than the model
// takes. The call is refused before it takes a place.
func TestWorkThatCannotEndInTimeIsRefused(t *testing.T) {
	cases := []struct {
		name    string
		runTime time.Duration
		status  int
	}{
		{"fits", 100 * time.Millisecond, 200},
		{"does not fit", time.Hour, 429},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(Settings{})
			h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
				return streamOf(&fakeStream{events: tokens(0, 2)}), nil
			}
			h.server.runTimes.observe("scribe-1", tc.runTime)
			a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
			require.Equal(t, tc.status, a.status)
			if tc.status != 200 {
				require.Equal(t, api.OutcomeNotRun, a.outcome())
				require.Zero(t, h.backends.runCount())
			}
		})
	}
}
