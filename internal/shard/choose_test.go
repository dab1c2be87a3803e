package shard

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func testChoice(r *api.AcquireRequest) *choice {
	return &choice{now: testStart, request: r, ticket: 1, rand: rand.New(rand.NewPCG(1, 1))}
}

func testReplica(id string) *replica {
	g := warmGroup(id, 4)
	return &replica{group: *g, limit: newLimiter(g, 8), listed: true}
}

func TestFilters(t *testing.T) {
	for _, tc := range []struct {
		name   string
		filter filter
		change func(c *choice, r *replica)
	}{
		{"loading", readyFilter{}, func(_ *choice, r *replica) { r.group.Phase = api.GroupLoading }},
		{"leaving", readyFilter{}, func(_ *choice, r *replica) { r.group.Leaving = true }},
		{"not in the view", readyFilter{}, func(_ *choice, r *replica) { r.listed = false }},
		{"no address", readyFilter{}, func(_ *choice, r *replica) { r.group.Address = "" }},
		{"drained", readyFilter{}, func(c *choice, _ *replica) { c.drained = true }},
		{"uncertain", uncertainFilter{}, func(_ *choice, r *replica) { r.uncertain = true }},
		{"excluded", excludedFilter{}, func(c *choice, _ *replica) { c.request.Exclude = []api.GroupID{"g1"} }},
		{"reserved", reservedFilter{}, func(_ *choice, r *replica) { r.reserved = 2 }},
		{"used alone", reservedFilter{}, func(_ *choice, r *replica) { r.alone = true }},
		{"full", freeFilter{}, func(_ *choice, r *replica) { r.held = 4 }},
		{"not idle", freeFilter{}, func(c *choice, r *replica) { c.request.Alone, r.held = true, 1 }},
		{"straggler", stragglerFilter{}, func(_ *choice, r *replica) {
			r.latency.ejected, r.latency.probeAt = true, testStart.Add(time.Second)
		}},
		{"probed", stragglerFilter{}, func(_ *choice, r *replica) { r.latency.ejected, r.held = true, 1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, r := testChoice(&api.AcquireRequest{}), testReplica("g1")
			require.True(t, tc.filter.keep(c, r))
			tc.change(c, r)
			require.False(t, tc.filter.keep(c, r))
		})
	}
}

func TestScorers(t *testing.T) {
	blocks := []uint64{1, 2, 3, 4}
	c := testChoice(&api.AcquireRequest{PrefixHashes: blocks})
	r := testReplica("g1")
	require.InDelta(t, 0, prefixScorer{}.score(c, r), 0)
	r.prefix.add(testStart, blocks[:2])
	require.InDelta(t, 0.5, prefixScorer{}.score(c, r), 0)
	require.InDelta(t, 1, heldScorer{}.score(c, r), 0)
	r.held = 3
	require.InDelta(t, 0.25, heldScorer{}.score(c, r), 0)
	r.load = loadReport{queued: 1, at: testStart}
	require.InDelta(t, 0.5, loadScorer{}.score(c, r), 0)
	c.now = testStart.Add(prefixAge + time.Second)
	require.InDelta(t, 0, prefixScorer{}.score(c, r), 0, "blocks expire")
	require.InDelta(t, 1, loadScorer{}.score(c, r), 0, "reports expire")
}

func TestPrefixIndexIsBounded(t *testing.T) {
	var p prefixIndex
	for i := range uint64(3 * prefixBlocks) {
		p.add(testStart, []uint64{i})
	}
	require.Len(t, p.lastSeen, prefixBlocks)
	require.Equal(t, 1, p.match(testStart, []uint64{3*prefixBlocks - 1}))
	require.Equal(t, 0, p.match(testStart, []uint64{0}))
}

func TestPickerPrefersTheCachedPrefix(t *testing.T) {
	blocks := []uint64{1, 2}
	c := testChoice(&api.AcquireRequest{PrefixHashes: blocks})
	replicas := []*replica{testReplica("g1"), testReplica("g2"), testReplica("g3")}
	replicas[2].prefix.add(testStart, blocks)
	for range 20 {
		require.Same(t, replicas[2], newChooser().choose(c, replicas))
	}
}

func TestStragglersAreEjectedAndReturn(t *testing.T) {
	replicas := make([]*replica, 0, 6)
	for _, id := range []string{"g1", "g2", "g3", "g4", "g5", "g6"} {
		replicas = append(replicas, testReplica(id))
	}
	observe := func(r *replica, micros int64) {
		for range stragglerSamples {
			r.observeLatency(testStart, micros)
		}
	}
	for i, r := range replicas {
		observe(r, 1000)
		if i >= 3 {
			observe(r, 100_000)
		}
	}
	replicas[3].latency.mean, replicas[4].latency.mean = 2500, 100_000
	evaluateStragglers(testStart, replicas)
	ejected := 0
	for _, r := range replicas {
		if r.latency.ejected {
			ejected++
		}
	}
	require.Equal(t, 2, ejected, "at most a third of the replicas")
	require.False(t, replicas[3].latency.ejected, "2.5 times the median is below the threshold")
	slow := replicas[4]
	require.True(t, slow.latency.ejected)
	later := testStart.Add(stragglerEjectTime)
	slow.observeLatency(later, 1000)
	evaluateStragglers(later, replicas)
	require.False(t, slow.latency.ejected, "a fast probe restores the replica")
}
