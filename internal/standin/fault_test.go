package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

// TestSwappedResponseIsOfPreviousRequest checks that a swapped response has the id
// of the previous request and that the client detects it.
func TestSwappedResponseIsOfPreviousRequest(t *testing.T) {
	f := startFleet(t, nil)
	h := form(t, "g1", 1, f.Hosts()...)
	client := newClient(t)
	_, err := client.Do(t.Context(), chatRequest(h, "r1", plainBody))
	require.NoError(t, err)
	h.SwapAnswers(1)
	_, err = client.Do(t.Context(), chatRequest(h, "r2", plainBody))
	require.ErrorIs(t, err, backend.ErrWrongResponse)
	require.ErrorContains(t, err, "r1")
	_, err = client.Do(t.Context(), chatRequest(h, "r3", plainBody))
	require.NoError(t, err)
	require.Len(t, f.Runs(), 3)
}

func TestSlowestMemberLimitsReplica(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Services = []Service{{Name: "orders", PerDomain: 1}} })
	first := form(t, "g1", 1, f.InFabric("fabric-0")...)
	first.mu.Lock()
	first.engine.warm = true
	first.mu.Unlock()
	c := &completion{host: first, members: first.member.hosts}
	require.Equal(t, time.Second, c.scale(time.Second))
	f.Hosts()[1].Slow(2.5)
	require.Equal(t, 2500*time.Millisecond, c.scale(time.Second))
	f.Hosts()[1].Slow(1)
	require.Equal(t, time.Second, c.scale(time.Second))
	service := f.OfService("orders")[0]
	service.Slow(3)
	require.Equal(t, 3*time.Second, service.slowed(time.Second))
}

func TestPausedMemberStopsReplica(t *testing.T) {
	f := startFleet(t, nil)
	first := form(t, "g1", 1, f.Hosts()...)
	f.Hosts()[1].Pause()
	client := newClient(t)
	done := make(chan error, 1)
	go func() {
		_, err := client.Do(t.Context(), chatRequest(first, "r1", plainBody))
		done <- err
	}()
	require.Eventually(t, func() bool { return len(f.Runs()) == 1 }, waitFor, pollAt)
	require.Zero(t, f.Completed())
	f.Hosts()[1].Resume()
	require.NoError(t, <-done)
	require.Equal(t, 1, f.Completed())
}

func TestColdStartIsConcealed(t *testing.T) {
	f := startFleet(t, nil)
	h := form(t, "g1", 1, f.Hosts()[0])
	h.mu.Lock()
	h.engine.warm = true
	h.mu.Unlock()
	h.TurnColdUnannounced(time.Hour)
	require.False(t, h.isWarm())
	a, ok := h.announcement()
	require.True(t, ok)
	require.True(t, a.Warm)
	require.Equal(t, DefaultWarmLoad, a.BearableLoad)
	h.TurnCold()
	a, _ = h.announcement()
	require.False(t, a.Warm)
	require.Equal(t, DefaultColdLoad, a.BearableLoad)
}

func TestStayRevertsLeave(t *testing.T) {
	e := startEntry(t)
	f := startFleet(t, func(c *Config) { c.Entries = []string{e.address} })
	h := f.Hosts()[0]
	leaving := func(want bool) func() bool {
		return func() bool { return e.count() == 2 && e.of(h.ID()).Leaving == want }
	}
	require.Eventually(t, leaving(false), waitFor, pollAt)
	h.Leave()
	require.Eventually(t, leaving(true), waitFor, pollAt)
	h.Stay()
	require.Eventually(t, leaving(false), waitFor, pollAt)
	require.Equal(t, api.Incarnation(1), h.Incarnation())
}
