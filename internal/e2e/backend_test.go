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

// TestLeavingServersGetNoNewWork makes a member of a replica and a server of
// the plain service leave under load. Once the views of all entries show it,
// neither gets a request, nothing was cut, and the replica is replaced.
func TestLeavingServersGetNoNewWork(t *testing.T) {
	const calls = 30
	c := startCluster(t)
	c.serve(6)
	load := c.startLoad(6)
	leaving, server := c.readyReplica(), c.fleet.OfService(service)[0]
	require.Eventually(t, func() bool { return c.runsOfGeneration(leaving) > 0 }, waitTimeout, pollInterval)
	leaving.members[1].Leave()
	server.Leave()
	c.awaitViews("the announcements", func(v api.View) bool {
		g, ready := leaving.listed(v)
		return (!ready || g.Leaving) && !acceptsCalls(v, server.ID())
	})
	load.awaitRounds(2)
	before, beforeServer := c.runsOfGeneration(leaving), c.runsOn(server)
	for i := range calls {
		a, err := c.caller.Service(context.Background(), http.MethodPost, service, "/deposits", fmt.Sprintf("d%d", i), []byte(`{"deposit":1}`))
		require.NoError(t, err)
		require.True(t, a.IsComplete(), "status %d", a.Status)
	}
	load.awaitRounds(5)
	require.Equal(t, before, c.runsOfGeneration(leaving))
	require.Equal(t, beforeServer, c.runsOn(server))
	c.awaitWholeReplicas()
	load.requireNoneCut()
}

// acceptsCalls reports whether a server of a plain service is listed and not
// leaving.
func acceptsCalls(v api.View, id api.HostID) bool {
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

// TestWrongAnswersReachNoCaller makes every backend server answer late, with
// answers of other requests, twice, truncated, and without an end. Each caller
// must get tokens of its own request only, and complete answers must have all
// of them.
func TestWrongAnswersReachNoCaller(t *testing.T) {
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
			require.Zero(t, runs, "call %d ran but was refused as not-run", i)
		}
		if a.IsComplete() {
			var own standin.ServiceAnswer
			require.NoError(t, json.Unmarshal(a.Body, &own))
			require.Equal(t, standin.ServiceAnswer{Service: service, Path: "/deposits", Key: key, Run: 1}, own)
		}
	}
	load.awaitRounds(20)
	require.Positive(t, load.Stop().Complete)
	c.awaitAnswer()
}

// TestPausedMemberStopsItsReplica pauses one member of a replica under load.
// Once the views of all entries show it, the replica serves nothing, its
// streams continue on other replicas, and after the pause all replicas are
// complete.
func TestPausedMemberStopsItsReplica(t *testing.T) {
	c := startCluster(t)
	c.serve(6)
	load := c.startLoad(6)
	paused := c.readyReplica()
	require.Eventually(t, func() bool { return c.runsOfGeneration(paused) > 0 }, waitTimeout, pollInterval)
	paused.members[1].Pause()
	c.awaitViews("the pause", func(v api.View) bool { _, ready := paused.listed(v); return !ready })
	load.awaitRounds(2)
	before := c.runsOfGeneration(paused)
	load.awaitRounds(5)
	require.Equal(t, before, c.runsOfGeneration(paused))
	c.await("a replacement", func(s api.StatusResponse) bool { return readyGroups(s) == 6 })
	paused.members[1].Resume()
	c.awaitWholeReplicas()
	load.awaitRounds(5)
	load.requireNoneCut()
	c.requireNoOverload()
}

// TestPauseWithinTheGrace pauses a member for less than the grace period, in
// which its replica is not replaced: its streams wait, other replicas serve,
// and it becomes complete again.
func TestPauseWithinTheGrace(t *testing.T) {
	c := startClusterWith(t, map[string]string{"pause-grace": "10m"})
	c.serve(6)
	waiting := c.startLoad(6)
	paused := c.readyReplica()
	require.Eventually(t, func() bool { return c.runsOfGeneration(paused) > 0 }, waitTimeout, pollInterval)
	paused.members[1].Pause()
	c.awaitViews("the pause", func(v api.View) bool { _, ready := paused.listed(v); return !ready })
	waiting.Finish()
	load := c.startLoad(6)
	load.awaitRounds(2)
	before := c.runsOfGeneration(paused)
	load.awaitRounds(5)
	require.Equal(t, before, c.runsOfGeneration(paused))
	paused.members[1].Resume()
	c.awaitWholeReplicas()
	waiting.requireNoneCut()
	load.awaitRounds(2)
	load.requireNoneCut()
	c.requireNoOverload()
}

// TestKilledMembersRejoin kills members under load and restarts them as new
// incarnations: one member, and every host of a failure domain.
func TestKilledMembersRejoin(t *testing.T) {
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
			require.Eventually(t, func() bool { return c.runsOfGeneration(lost) > 0 }, waitTimeout, pollInterval)
			hosts := tc.choose(c)
			for _, h := range hosts {
				h.Kill()
			}
			load.awaitRounds(5)
			for _, h := range hosts {
				require.NoError(t, h.Restart())
			}
			c.awaitWholeReplicas()
			load.awaitRounds(5)
			load.requireNoneCut()
			c.requireNoOverload()
		})
	}
}

// TestReplicasTurnCold makes warm replicas turn cold between two loads and
// announce it late. Once the views of all entries show it, no replica gets more
// than its cold capacity, though it took far more before.
func TestReplicasTurnCold(t *testing.T) {
	const callers = 24
	c := startCluster(t)
	c.serve(6)
	load := c.startLoad(callers)
	c.awaitViews("warm replicas", func(v api.View) bool { return coldReplicas(v) == 0 })
	load.awaitRounds(2)
	load.requireNoneCut()
	for _, h := range c.fleet.Hosts() {
		if h.Serving() {
			h.TurnColdUnannounced(time.Second)
		}
	}
	c.awaitViews("the cold start", func(v api.View) bool { return coldReplicas(v) == c.replicas })
	load = c.startLoad(callers)
	load.awaitRounds(2)
	load.requireNoneCut()
	c.requireNoOverload()
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
