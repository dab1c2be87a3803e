package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func TestCrashesCountServersOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	k := newCrashTracker()
	k.record(1, "a", 1, now)
	k.record(1, "a", 1, now)
	require.Equal(t, 1, k.count(1, now), "one incarnation of one server counts once")
	k.record(1, "a", 2, now)
	k.recordRemote([]api.Crash{{Content: 1, Target: "b", Generation: 1}, {Content: 1, Target: "a", Generation: 2}}, now)
	require.Equal(t, 3, k.count(1, now))
	require.Zero(t, k.count(2, now))
	require.Len(t, k.takeUnreported(), 2, "crashes not yet reported to others")
	require.Empty(t, k.takeUnreported())
	require.Zero(t, k.count(1, now.Add(crashRetention)), "crashes expire")
}

func TestCrashesAreBounded(t *testing.T) {
	k := newCrashTracker()
	for i := range uint64(3 * maxCrashContents) {
		k.record(i, "a", 1, time.Unix(1000, 0))
	}
	require.LessOrEqual(t, len(k.contents), maxCrashContents)
}

// TestCrashingRequestIsRefused sends one content repeatedly under new ids. Each server
// that runs it crashes.
func TestCrashingRequestIsRefused(t *testing.T) {
	h := newHarness(t)
	crashing := func(r *received) {
		if r.body == "poison" {
			_ = r.conn.Close()
			return
		}
		echo(r)
	}
	servers := make([]*fakeServer, 0, 6)
	for i := range 6 {
		servers = append(servers, newFakeServer(t, fmt.Sprint("l", i), crashing))
	}
	h.ledger(servers...)
	for range 12 {
		require.Contains(t, []int{502, 503}, h.send("POST", "/read/1", "poison").StatusCode)
	}
	arrived := int64(0)
	for _, s := range servers {
		arrived += s.arrived.Load()
	}
	require.LessOrEqual(t, arrived, int64(crashLimit+1), "no more than one beyond the limit: two attempts ran at once")
	require.Equal(t, 200, h.send("POST", "/read/1", "wholesome").StatusCode)
	require.Equal(t, 503, h.send("POST", "/read/1", "poison").StatusCode)
}
