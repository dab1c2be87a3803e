package control

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

var ctx = context.Background()

func TestPlanConfirmWatch(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	decided := f.configure(t, api.Intent{ServingGroups: []api.ServingGroup{servingGroup("scribe")}})
	require.Equal(t, api.PlanConfirmed, decided.Plan.State)
	require.False(t, decided.InForce)
	require.Equal(t, []api.EntryID{"e1"}, decided.HeldOut)

	require.NoError(t, f.renew("e1", 1))
	again, err := f.service().decide(ctx, api.DecideRequest{Operator: "amal", Plan: decided.Plan.ID, Confirm: true})
	require.NoError(t, err)
	require.True(t, again.InForce)
	require.Equal(t, decided.Plan, again.Plan)

	watched, err := f.service().watch(ctx, api.WatchRequest{Entry: "e1"})
	require.NoError(t, err)
	require.True(t, watched.Update.Full)
	require.Equal(t, f.state().View(), watched.Update.Upsert)

	history, err := f.service().history(ctx, api.HistoryRequest{})
	require.NoError(t, err)
	require.Len(t, history.Items, 1)
	require.Equal(t, "serving group scribe (1 x 2 hosts)", history.Items[0].Summary)
}

func TestLaggingEntryCannotRenew(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	decided := f.configure(t, api.Intent{Domains: []api.Domain{{Name: "cairo", State: api.DomainDrained}}})
	_, err := f.service().renew(ctx, api.RenewRequest{Entry: entryInfo("e1", 1), Applied: decided.Plan.Decided - 1})
	requireCode(t, errs.Unavailable, err)

	f.advance(DefaultLeaseDuration + DefaultDriftMargin + time.Millisecond)
	again, err := f.service().decide(ctx, api.DecideRequest{Operator: "amal", Plan: decided.Plan.ID, Confirm: true})
	require.NoError(t, err)
	require.True(t, again.InForce)
	require.False(t, f.state().View().Entries[0].Live)
}

func TestGroupsShardsAndServers(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	f.configure(t, api.Intent{ServingGroups: []api.ServingGroup{servingGroup("scribe")}})
	require.NoError(t, f.renew("e1", 1))
	formed, err := f.service().ChangeGroup(ctx, api.GroupChange{Kind: api.GroupForm, Group: api.Group{
		ServingGroup: "scribe", Domain: "cairo", Fabric: "f1", Members: []api.HostID{"h1", "h2"},
	}})
	require.NoError(t, err)
	require.Equal(t, api.GroupID("scribe-1"), formed.Group.ID)

	announced, err := f.service().announce(ctx, api.AnnounceBatch{Entry: "e1", Announcements: []api.Announcement{
		{Version: 1, Host: "s1", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:7000", Kind: api.BackendService, Service: "ledger", Domain: "cairo"},
	}})
	require.NoError(t, err)
	require.Equal(t, 1, announced.Accepted)
	f.advance(100 * time.Millisecond)
	view := f.state().View()
	require.Equal(t, api.EntryID("e1"), view.Shards[0].Owner)
	require.Equal(t, "ledger", view.Servers[0].Service)

	fleet, err := f.service().Fleet(ctx)
	require.NoError(t, err)
	require.Len(t, fleet.Hosts, 3, "the assigned hosts count as seen")
	f.advance(DefaultDetectionBound + time.Millisecond)
	require.Empty(t, f.state().View().Servers)
	f.advance(DefaultLeaseDuration + DefaultDriftMargin)
	fleet, err = f.service().Fleet(ctx)
	require.NoError(t, err)
	require.False(t, fleet.Hosts[0].Alive)
}

func TestRecordRunsOnce(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	r := api.Record{Account: "a", Key: "k", BodyHash: "h", Request: "r1", Entry: "e1", Incarnation: 1}
	opened, err := f.service().recordOpen(ctx, api.RecordOpenRequest{Record: r})
	require.NoError(t, err)
	require.True(t, opened.Created)
	second := r
	second.Request = "r2"
	opened, err = f.service().recordOpen(ctx, api.RecordOpenRequest{Record: second})
	require.NoError(t, err)
	require.False(t, opened.Created)
	r.State = api.RecordComplete
	r.Status = 200
	r.Body = []byte("ok")
	_, err = f.service().recordEnd(ctx, api.RecordEndRequest{Record: r})
	require.NoError(t, err)
	got, err := f.service().recordGet(ctx, api.RecordGetRequest{Account: "a", Key: "k"})
	require.NoError(t, err)
	require.Equal(t, []byte("ok"), got.Record.Body)
}

func TestFollowerNamesLeader(t *testing.T) {
	f := newFixture()
	f.elect(1)
	_, err := f.services[0].watch(ctx, api.WatchRequest{})
	requireCode(t, errs.NotLeader, err)
	var typed *errs.Error
	require.ErrorAs(t, err, &typed)
	require.Equal(t, "127.0.0.1:2000", typed.Detail)
}

func TestRunLeads(t *testing.T) {
	f := newFixture()
	runCtx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- f.services[0].Run(runCtx) }()
	require.Eventually(t, func() bool { return f.services[0].leading.Load() != nil }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	require.Nil(t, f.services[0].leading.Load())
}

func TestExpiredEntryIsEvicted(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	f.advance(time.Minute)
	require.False(t, f.state().View().Entries[0].Live)
	f.advance(DefaultEntryRetention - time.Second)
	require.Len(t, f.state().View().Entries, 1)
	f.advance(time.Second)
	require.Empty(t, f.state().View().Entries)
}

// The expiry of a lease commits but the leader does not learn the outcome. The
// entry can still get a lease from the same leader.
func TestExpiryWithUnknownOutcomeCompletes(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"run out": func(f *fixture) { f.advance(DefaultLeaseDuration + DefaultDriftMargin + time.Millisecond) },
		"released": func(f *fixture) {
			info := entryInfo("e1", 1)
			info.Leaving = true
			_, err := f.service().renew(ctx, api.RenewRequest{Entry: info, Release: true})
			requireCode(t, errs.Timeout, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			require.NoError(t, f.renew("e1", 1))
			f.setFaults(true, false)
			end(f)
			require.False(t, f.state().View().Entries[0].Live)
			f.advance(slowInterval)
			require.NoError(t, f.renew("e1", 2))
			require.True(t, f.state().View().Entries[0].Live)
		})
	}
}

func TestDumpHidesKeys(t *testing.T) {
	f := newFixture()
	f.configure(t, api.Intent{Accounts: []api.Account{{ID: "shop", KeyHashes: []string{digest}}}})
	require.NoError(t, f.renew("e1", 1))
	dump := f.service().Dump()
	require.True(t, dump.Leading)
	require.Equal(t, (DefaultLeaseDuration + DefaultDriftMargin).Milliseconds(), dump.Leases[0].RemainingMillis)
	data, err := json.Marshal(dump)
	require.NoError(t, err)
	require.NotContains(t, string(data), digest)
	require.False(t, f.services[1].Dump().Leading)
}

// Calls, duties and leader changes run concurrently under the race detector,
// and the states stay equal.
func TestCallsRunConcurrently(t *testing.T) {
	f := newFixture()
	var calls sync.WaitGroup
	for worker := range 6 {
		calls.Go(func() {
			for i := range 40 {
				f.callAny(worker, i)
			}
		})
	}
	calls.Wait()
	for _, s := range f.states[1:] {
		require.Equal(t, snapshot(t, f.states[0]), snapshot(t, s))
	}
}

// callAny makes one of the calls; refusals are expected.
func (f *fixture) callAny(worker, i int) {
	id := api.EntryID(fmt.Sprintf("e%d", worker))
	s := f.service()
	switch (worker + i) % 8 {
	case 0:
		_ = f.renew(id, 1)
	case 1:
		_, _ = s.watch(ctx, api.WatchRequest{Entry: id, From: api.Revision(i % 3)})
	case 2:
		in := api.Intent{Domains: []api.Domain{{Name: "cairo", State: api.DomainActive}}}
		_, _ = s.plan(ctx, api.PlanRequest{Operator: "amal", Intent: in})
	case 3:
		_, _ = s.decide(noWait(), api.DecideRequest{Operator: "amal", Plan: api.PlanID(i), Confirm: true})
	case 4:
		r := api.Record{Account: "a", Key: fmt.Sprint(i), Request: "r", Entry: id, Incarnation: 1}
		_, _ = s.recordOpen(ctx, api.RecordOpenRequest{Record: r})
	case 5:
		_, _ = s.status(ctx, api.Empty{})
	case 6:
		f.elect(i % 3)
	case 7:
		f.clock.Advance(50 * time.Millisecond)
		s.tick(ctx)
	}
}
