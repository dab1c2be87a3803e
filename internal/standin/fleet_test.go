package standin

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

func TestHostsAnnounceThemselves(t *testing.T) {
	e := startEntry(t)
	f := startFleet(t, func(c *Config) {
		c.Entries = []string{e.address}
		c.Fabrics = 3
		c.HostsPerFabric = 4
		c.Services = []Service{{Name: "orders", PerDomain: 1}}
	})
	require.Eventually(t, func() bool { return e.count() == 14 }, waitFor, pollAt)
	h := f.Hosts()[0]
	form(t, "g1", 7, f.InFabric("fabric-0")[:2]...)
	require.Eventually(t, func() bool { return e.of(h.ID()).Load == api.LoadReady }, waitFor, pollAt)
	a := e.of(h.ID())
	require.Equal(t, api.GroupID("g1"), a.Group)
	require.Equal(t, api.Fencing(7), a.Fencing)
	require.Equal(t, api.FabricDomain("fabric-0"), a.Fabric)
	require.Equal(t, h.Address(), a.Address)
	require.Equal(t, AllCapabilities, a.Capabilities)
	require.True(t, a.ChecksFencing)
	service := e.of(f.OfService("orders")[0].ID())
	require.Equal(t, api.BackendService, service.Kind)
	require.Empty(t, e.faults)
	require.Len(t, f.InDomain("d1"), 5)
}

func TestAnnouncerUsesReturnedEntries(t *testing.T) {
	one, two := startEntry(t), startEntry(t)
	one.entries = []string{"127.0.0.1:1", two.address}
	startFleet(t, func(c *Config) { c.Entries = []string{one.address} })
	require.Eventually(t, func() bool { return two.count() == 2 }, waitFor, pollAt)
}

func TestHostLifecycleIsAnnounced(t *testing.T) {
	e := startEntry(t)
	f := startFleet(t, func(c *Config) { c.Entries = []string{e.address} })
	h := f.Hosts()[0]
	require.Eventually(t, func() bool { return e.of(h.ID()).Incarnation == 1 }, waitFor, pollAt)
	h.Leave()
	require.Eventually(t, func() bool { return e.of(h.ID()).Leaving }, waitFor, pollAt)
	require.False(t, h.LeavingSince().IsZero())
	address := h.Address()
	h.Kill()
	require.False(t, h.Up())
	require.NoError(t, h.Restart())
	require.Equal(t, address, h.Address())
	require.Eventually(t, func() bool {
		a := e.of(h.ID())
		return a.Incarnation == 2 && !a.Leaving
	}, waitFor, pollAt)
}

func TestAnnouncedLoadLags(t *testing.T) {
	var r loadHistory
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	require.Zero(t, r.add(loadSample{at: at(0), running: 1}, 100*time.Millisecond).running)
	require.Zero(t, r.add(loadSample{at: at(50), running: 2}, 100*time.Millisecond).running)
	require.Equal(t, 1, r.add(loadSample{at: at(100), running: 3}, 100*time.Millisecond).running)
	require.Equal(t, 2, r.add(loadSample{at: at(190), running: 4}, 100*time.Millisecond).running)
}

func serviceRequest(h *Host, id api.RequestID, method, key string) backend.Request {
	r := backend.Request{
		ID: id, Address: h.Address(), Method: method, Path: "/deposits",
		IdempotencyKey: key, Deadline: time.Now().Add(waitFor),
	}
	if method == "POST" {
		r.Body = []byte(`{"amount":5}`)
	}
	return r
}

func TestServiceCountsRuns(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Services = []Service{{Name: "orders", PerDomain: 1}} })
	servers := f.OfService("orders")
	require.Len(t, servers, 2)
	client := newClient(t)
	for i, h := range servers {
		response, err := client.Do(t.Context(), serviceRequest(h, "r1", "POST", "key-1"))
		require.NoError(t, err)
		var answer ServiceAnswer
		require.NoError(t, json.Unmarshal(response.Body, &answer))
		require.Equal(t, ServiceAnswer{Service: "orders", Path: "/deposits", Key: "key-1", Run: i + 1}, answer)
	}
	require.Equal(t, 2, f.RunsOfKey("orders", "key-1"))
	response, err := client.Do(t.Context(), serviceRequest(servers[0], "r2", "GET", ""))
	require.NoError(t, err)
	require.Equal(t, 200, response.Status)
	require.Len(t, f.Runs(), 2)
}

func TestServiceFaults(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Services = []Service{{Name: "orders", PerDomain: 1}} })
	h := f.OfService("orders")[0]
	client := newClient(t)
	h.Inject(Fault{Kind: FaultSwapAnswer})
	_, err := client.Do(t.Context(), serviceRequest(h, "r1", "POST", "a"))
	require.ErrorIs(t, err, backend.ErrWrongResponse)
	h.Inject(Fault{Kind: FaultTruncate})
	_, err = client.Do(t.Context(), serviceRequest(h, "r2", "POST", "b"))
	require.Error(t, err)
	f.CrashOn("amount")
	_, err = client.Do(t.Context(), serviceRequest(h, "r3", "POST", "c"))
	require.Error(t, err)
	require.NotErrorIs(t, err, backend.ErrNotSent)
	require.Equal(t, 1, f.RunsOfKey("orders", "c"))
}
