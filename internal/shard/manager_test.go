package shard

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/peer"
)

// network delivers calls between the entries of a test, as JSON.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[api.Method]peer.Handler
	cut      map[string]bool
}

// endpoint registers the handlers of one address.
type endpoint struct {
	n       *network
	address string
}

func (a endpoint) Handle(method api.Method, h peer.Handler) {
	a.n.mu.Lock()
	defer a.n.mu.Unlock()
	if a.n.handlers[a.address] == nil {
		a.n.handlers[a.address] = map[api.Method]peer.Handler{}
	}
	a.n.handlers[a.address][method] = h
}

func (n *network) Call(ctx context.Context, address string, method api.Method, params, result any) error {
	n.mu.Lock()
	h, cut := n.handlers[address][method], n.cut[address]
	n.mu.Unlock()
	if h == nil || cut {
		return errs.New(errs.Unavailable, "call", address, "no link")
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	res, err := h(ctx, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(res); err != nil || result == nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (n *network) Notify(address string, method api.Method, params any) error {
	go func() { _ = n.Call(context.Background(), address, method, params, nil) }()
	return nil
}

type fakeEngines struct{}

func (fakeEngines) Cancel(context.Context, string, api.RequestID) error { return nil }

// testEntry is one entry with its owner side and entry side.
type testEntry struct {
	state  *entry.State
	owner  *Manager
	client *Client
}

// startEntries starts two entries, e1 and e2, connected by a network.
func startEntries(t *testing.T) (*network, map[string]*testEntry) {
	t.Helper()
	n := &network{handlers: map[string]map[api.Method]peer.Handler{}, cut: map[string]bool{}}
	entries := map[string]*testEntry{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, id := range []string{"e1", "e2"} {
		info := api.EntryInfo{ID: api.EntryID(id), Incarnation: 1, Domain: "east", PeerAddress: id, Live: true}
		state := entry.NewState(info, clock.System{})
		state.SetLease(time.Now().Add(time.Hour))
		owner, client := New(Config{
			Self: info, View: state, Peers: n, Engines: fakeEngines{}, Clock: clock.System{}, Logger: logging.Discard(),
			Settings: Settings{GrantLifetime: 2 * time.Second},
		})
		owner.Register(endpoint{n, id})
		client.Register(endpoint{n, id})
		entries[id] = &testEntry{state: state, owner: owner, client: client}
		for _, run := range []func(context.Context) error{owner.Run, client.Run} {
			running.Go(func() { _ = run(ctx) })
		}
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return n, entries
}

func viewOwnedBy(owner string, epoch api.Revision, groups ...api.Group) api.View {
	return api.View{
		Revision: epoch,
		Groups:   groups,
		Accounts: []api.Account{{ID: "a"}, {ID: "quiet", Share: 1}},
		Entries: []api.EntryInfo{
			{ID: "e1", Incarnation: 1, Domain: "east", PeerAddress: "e1", Live: true},
			{ID: "e2", Incarnation: 1, Domain: "east", PeerAddress: "e2", Live: true},
		},
		Shards: []api.ShardLease{{Shard: testShard, Owner: api.EntryID(owner), Epoch: epoch}},
	}
}

func apply(entries map[string]*testEntry, v api.View) {
	for _, n := range entries {
		n.state.Apply(v)
		n.owner.Update(n.state.Snapshot())
	}
}

func grantRequest(id, account string, wait time.Duration) Request {
	return Request{ServingGroup: "scribe", ID: api.RequestID(id), Account: api.AccountID(account), Wait: wait, Revocable: true}
}

func TestGrantsOverTheWireAndHandover(t *testing.T) {
	_, entries := startEntries(t)
	g := *resumableGroup(api.Capabilities{Resume: true, Cancel: true})
	apply(entries, viewOwnedBy("e1", 2, g))
	ctx := context.Background()
	remote, err := entries["e2"].client.Acquire(ctx, grantRequest("r1", "a", 10*time.Second))
	require.NoError(t, err)
	local, err := entries["e1"].client.Acquire(ctx, grantRequest("r2", "a", 10*time.Second))
	require.NoError(t, err)
	_, err = entries["e2"].client.Acquire(ctx, grantRequest("r3", "a", 0))
	require.True(t, errs.Is(err, errs.Full), "%v", err)

	apply(entries, viewOwnedBy("e2", 3, g))
	_, err = entries["e2"].client.Acquire(ctx, grantRequest("r4", "a", 300*time.Millisecond))
	require.True(t, errs.Is(err, errs.Full), "both grants of the previous owner are still counted: %v", err)
	require.True(t, entries["e1"].client.Valid(local))
	entries["e1"].client.Settle(local, Result{Outcome: api.OutcomeComplete})
	_, err = entries["e1"].client.Acquire(ctx, grantRequest("r5", "a", 10*time.Second))
	require.NoError(t, err)
	require.True(t, entries["e2"].client.Valid(remote))
}

func TestRevocationReachesTheHolder(t *testing.T) {
	_, entries := startEntries(t)
	g := *resumableGroup(api.Capabilities{Resume: true, Cancel: true})
	apply(entries, viewOwnedBy("e1", 2, g))
	ctx := context.Background()
	for _, id := range []string{"r1", "r2"} {
		held, err := entries["e2"].client.Acquire(ctx, grantRequest(id, "a", 10*time.Second))
		require.NoError(t, err)
		ended := entries["e2"].client.Ended(held)
		go func() {
			<-ended
			entries["e2"].client.Settle(held, Result{Outcome: api.OutcomeUnknown})
		}()
	}
	_, err := entries["e1"].client.Acquire(ctx, grantRequest("r3", "quiet", 10*time.Second))
	require.NoError(t, err)
	require.Len(t, entries["e2"].client.held.grants, 1)
}

func TestWrongEpochAndNoLeaseAreRefused(t *testing.T) {
	_, entries := startEntries(t)
	apply(entries, viewOwnedBy("e1", 2, *warmGroup("g1", 2)))
	owner := entries["e1"].owner
	_, err := owner.Acquire(context.Background(), api.AcquireRequest{Shard: testShard, Epoch: 1})
	require.True(t, errs.Is(err, errs.Stale))
	_, err = owner.Report(api.ReportRequest{Shard: testShard, Epoch: 3, OwnerIncarnation: 1})
	require.True(t, errs.Is(err, errs.Stale))
	_, err = owner.Report(api.ReportRequest{Shard: testShard, Epoch: 2, OwnerIncarnation: 7})
	require.True(t, errs.Is(err, errs.Stale))
	entries["e1"].state.SetLease(time.Now().Add(-time.Second))
	_, err = owner.Acquire(context.Background(), api.AcquireRequest{Shard: testShard, Epoch: 2})
	require.True(t, errs.Is(err, errs.Unavailable))
}

func TestLostShardRefusesItsWaiters(t *testing.T) {
	_, entries := startEntries(t)
	apply(entries, viewOwnedBy("e1", 2, *warmGroup("g1", 1)))
	_, err := entries["e1"].client.Acquire(context.Background(), grantRequest("r1", "a", 10*time.Second))
	require.NoError(t, err)
	got := make(chan error, 1)
	go func() {
		_, err := entries["e1"].owner.Acquire(context.Background(), api.AcquireRequest{
			Shard: testShard, Epoch: 2, Account: "a", WaitMillis: 60_000,
		})
		got <- err
	}()
	o := entries["e1"].owner.shards[testShard]
	require.Eventually(t, func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.waiters) == 1
	}, 10*time.Second, time.Millisecond)
	apply(entries, viewOwnedBy("e2", 3, *warmGroup("g1", 1)))
	require.True(t, errs.Is(<-got, errs.Stale))
}

func TestUnrenewedGrantEnds(t *testing.T) {
	n, entries := startEntries(t)
	apply(entries, viewOwnedBy("e1", 2, *warmGroup("g1", 1)))
	held, err := entries["e2"].client.Acquire(context.Background(), grantRequest("r1", "a", 10*time.Second))
	require.NoError(t, err)
	n.mu.Lock()
	n.cut["e1"] = true
	n.mu.Unlock()
	<-entries["e2"].client.Ended(held)
	require.False(t, entries["e2"].client.Valid(held))
	_, err = entries["e2"].client.Acquire(context.Background(), grantRequest("r2", "a", 0))
	require.True(t, errs.Is(err, errs.Unavailable))
	_, err = entries["e1"].client.Acquire(context.Background(), grantRequest("r3", "a", 30*time.Second))
	require.NoError(t, err, "the owner stops the work on the engine and settles the grant")
}

func TestLongDeadEntryDoesNotDelayHandover(t *testing.T) {
	now := clock.NewManual(testStart)
	info := api.EntryInfo{ID: "e1", Incarnation: 1, Domain: "east", Live: true}
	state := entry.NewState(info, now)
	state.SetLease(testStart.Add(time.Hour))
	owner, _ := New(Config{Self: info, View: state, Engines: fakeEngines{}, Clock: now, Logger: logging.Discard()})
	v := viewOwnedBy("e2", 2, *warmGroup("g1", 1))
	v.Entries[1].Live = false
	state.Apply(v)
	owner.Update(state.Snapshot())
	for _, tc := range []struct {
		after  time.Duration
		owner  string
		epoch  api.Revision
		done   bool
		reason string
		code   errs.Code
	}{
		{time.Second, "e1", 3, false, "not live for a second", errs.Full},
		{time.Second, "e1", 4, true, "finished before it left", ""},
		{owner.cfg.Settings.handoverTimeout(), "e1", 5, false, "not live for longer than the handover timeout", ""},
	} {
		now.Advance(tc.after)
		v = viewOwnedBy(tc.owner, tc.epoch, *warmGroup("g1", 1))
		v.Entries[1].Live, v.Entries[1].Finished = false, tc.done
		state.Apply(v)
		owner.Update(state.Snapshot())
		_, err := owner.Report(api.ReportRequest{Shard: testShard, Epoch: tc.epoch, Entry: "e1", Incarnation: 1, OwnerIncarnation: 1})
		require.NoError(t, err)
		_, err = owner.Acquire(context.Background(), api.AcquireRequest{Shard: testShard, Epoch: tc.epoch, Entry: "e1", Account: "a"})
		if tc.code == "" {
			require.NoError(t, err, tc.reason)
			continue
		}
		require.True(t, errs.Is(err, tc.code), tc.reason)
	}
}

// unresponsive is a handler that never answers.
func unresponsive(ctx context.Context, _ json.RawMessage) (any, error) {
	<-ctx.Done()
	return nil, errs.New(errs.Timeout, "call", "", "no answer")
}

func TestUnresponsiveOwnerDoesNotBlockRequests(t *testing.T) {
	n, entries := startEntries(t)
	west := *warmGroup("g2", 1)
	west.Domain = "west"
	v := viewOwnedBy("e1", 2, *warmGroup("g1", 1), west)
	v.Shards = append(v.Shards, api.ShardLease{Shard: api.ShardID{ServingGroup: "scribe", Domain: "west"}, Owner: "e2", Epoch: 2})
	apply(entries, v)
	endpoint{n, "e1"}.Handle(api.MethodAcquire, unresponsive)
	g, err := entries["e2"].client.Acquire(context.Background(), grantRequest("r1", "a", time.Hour))
	require.NoError(t, err)
	require.Equal(t, api.GroupID("g2"), g.Group, "the other shard grants")

	waiting := make(chan error, 1)
	go func() {
		_, err := entries["e2"].client.Acquire(context.Background(), Request{ServingGroup: "scribe", ID: "r2", Account: "a", Wait: time.Hour, Exclude: []api.GroupID{"g2"}})
		waiting <- err
	}()
	apply(entries, viewOwnedBy("e2", 3, *warmGroup("g1", 1)))
	require.NoError(t, <-waiting, "the new owner grants the request")
}
