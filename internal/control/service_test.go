package control

import (
	"context"
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
