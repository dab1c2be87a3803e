package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/standin"
)

// TestLeavingServersGetNoNewWork lets a member of a replica and a server of the
// plain service leave under load. Once every entry knows it, neither gets a
// request, nothing was cut, and the replica is replaced.
func TestLeavingServersGetNoNewWork(t *testing.T) {
	const calls = 30
	c := startCluster(t)
	c.serve(6)
	load := c.startLoad(6)
	leaving, server := c.readyReplica(), c.fleet.OfService(service)[0]
	require.Eventually(t, func() bool { return c.runsOfGeneration(leaving) > 0 }, patience, poll)
	leaving.members[1].Leave()
	server.Leave()
	c.everywhere("the announcements", func(v api.View) bool {
		g, ready := leaving.listed(v)
		return (!ready || g.Leaving) && !takesCalls(v, server.ID())
	})
	load.rounds(2)
	before, beforeServer := c.runsOfGeneration(leaving), c.runsOn(server)
	for i := range calls {
		a, err := c.caller.Service(context.Background(), http.MethodPost, service, "/deposits", fmt.Sprintf("d%d", i), []byte(`{"deposit":1}`))
		require.NoError(t, err)
		require.True(t, a.Whole(), "status %d", a.Status)
	}
	load.rounds(5)
	require.Equal(t, before, c.runsOfGeneration(leaving))
	require.Equal(t, beforeServer, c.runsOn(server))
	c.awaitWholeReplicas()
	load.requireUncut()
}

// takesCalls reports whether a server of a plain service is listed to stay.
func takesCalls(v api.View, id api.HostID) bool {
	for _, s := range v.Servers {
		if s.Host == id {
			return !s.Leaving
		}
	}
	return false
}

// runsOn counts the requests that a host ran.
func (c *cluster) runsOn(h *standin.Host) int {
	n := 0
	for _, run := range c.fleet.Runs() {
		if run.Host == h.ID() {
			n++
		}
	}
	return n
}

// TestWrongAnswersReachNobody makes every backend server answer late, with the
// answers of other requests, twice, cut, and without an end. Each caller gets
// tokens of its own request only, and whole answers have all of them.
func TestWrongAnswersReachNobody(t *testing.T) {
	const calls, late = 60, 300 * time.Millisecond
	c := startCluster(t)
	c.serve(6)
	for _, h := range c.fleet.Hosts() {
		h.SwapAnswers(3)
		h.AnswerLate(3, late)
		for _, kind := range []standin.FaultKind{standin.FaultSwapEvent, standin.FaultTruncate, standin.FaultRepeat, standin.FaultNoEnd} {
			h.Inject(standin.Fault{Kind: kind, Count: 3, After: 5})
		}
	}
	load := c.startLoad(8)
	for i := range calls {
		key := fmt.Sprintf("d%d", i)
		a, err := c.caller.Service(context.Background(), http.MethodPost, service, "/deposits", key, []byte(`{"deposit":1}`))
		require.NoError(t, err)
		runs := c.fleet.RunsOfKey(service, key)
		require.LessOrEqual(t, runs, 1)
		if a.Outcome == api.OutcomeNotRun {
			require.Zero(t, runs, "call %d was said not to have run", i)
		}
		if a.Whole() {
			var own standin.ServiceAnswer
			require.NoError(t, json.Unmarshal(a.Body, &own))
			require.Equal(t, standin.ServiceAnswer{Service: service, Path: "/deposits", Key: key, Run: 1}, own)
		}
	}
	load.rounds(20)
	require.Positive(t, load.Stop().Complete)
	c.awaitAnswer()
}

// TestPausedMemberStopsItsReplica pauses one member of a replica under load. Once
// every entry knows it the replica serves nothing, the streams that it had go on
// elsewhere, and after the pause all replicas are whole.
func TestPausedMemberStopsItsReplica(t *testing.T) {
	c := startCluster(t)
	c.serve(6)
	load := c.startLoad(6)
	paused := c.readyReplica()
	require.Eventually(t, func() bool { return c.runsOfGeneration(paused) > 0 }, patience, poll)
	paused.members[1].Pause()
	c.everywhere("the pause", func(v api.View) bool { _, ready := paused.listed(v); return !ready })
	load.rounds(2)
	before := c.runsOfGeneration(paused)
	load.rounds(5)
	require.Equal(t, before, c.runsOfGeneration(paused))
	c.await("a replacement", func(s api.StatusResponse) bool { return readyGroups(s) == 6 })
	paused.members[1].Resume()
	c.awaitWholeReplicas()
	load.rounds(5)
	load.requireUncut()
	c.requireBorne()
}

// TestPauseWithinTheGrace pauses a member for less than the grace, in which nothing
// replaces its replica: its streams wait, the others serve, and it comes back whole.
func TestPauseWithinTheGrace(t *testing.T) {
	c := startClusterWith(t, map[string]string{"pause-grace": "10m"})
	c.serve(6)
	waiting := c.startLoad(6)
	paused := c.readyReplica()
	require.Eventually(t, func() bool { return c.runsOfGeneration(paused) > 0 }, patience, poll)
	paused.members[1].Pause()
	c.everywhere("the pause", func(v api.View) bool { _, ready := paused.listed(v); return !ready })
	waiting.Finish()
	load := c.startLoad(6)
	load.rounds(2)
	before := c.runsOfGeneration(paused)
	load.rounds(5)
	require.Equal(t, before, c.runsOfGeneration(paused))
	paused.members[1].Resume()
	c.awaitWholeReplicas()
	waiting.requireUncut()
	load.rounds(2)
	load.requireUncut()
	c.requireBorne()
}

// TestKilledMembersComeBack kills members under load and starts them again as new
// incarnations: one member, and every host of a failure domain.
func TestKilledMembersComeBack(t *testing.T) {
	for _, tc := range []struct {
		name   string
		choose func(c *cluster) []*standin.Host
	}{
		{"one member", func(c *cluster) []*standin.Host { return c.readyReplica().members[1:] }},
		{"failure domain", func(c *cluster) []*standin.Host { return c.fleet.InDomain(domains[0]) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startCluster(t)
			c.serve(6)
			load := c.startLoad(6)
			lost := c.readyReplica()
			require.Eventually(t, func() bool { return c.runsOfGeneration(lost) > 0 }, patience, poll)
			hosts := tc.choose(c)
			for _, h := range hosts {
				h.Kill()
			}
			load.rounds(5)
			for _, h := range hosts {
				require.NoError(t, h.Restart())
			}
			c.awaitWholeReplicas()
			load.rounds(5)
			load.requireUncut()
			c.requireBorne()
		})
	}
}

// TestReplicasTurnCold lets warm replicas, between two loads, turn cold without a
// warning and conceal it for a while. Once every entry knows it, no replica gets
// more than it bears, though it took far more before.
func TestReplicasTurnCold(t *testing.T) {
	const callers = 24
	c := startCluster(t)
	c.serve(6)
	load := c.startLoad(callers)
	c.everywhere("warm replicas", func(v api.View) bool { return coldReplicas(v) == 0 })
	load.rounds(2)
	load.requireUncut()
	for _, h := range c.fleet.Hosts() {
		if h.Serving() {
			h.TurnColdUnannounced(time.Second)
		}
	}
	c.everywhere("the cold start", func(v api.View) bool { return coldReplicas(v) == c.replicas })
	load = c.startLoad(callers)
	load.rounds(2)
	load.requireUncut()
	c.requireBorne()
}

// coldReplicas counts the listed replicas that are in a cold start.
func coldReplicas(v api.View) int {
	n := 0
	for _, g := range v.Groups {
		if !g.Warm {
			n++
		}
	}
	return n
}
