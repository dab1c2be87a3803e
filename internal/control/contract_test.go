package control

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

func newCalls(f *fixture) registrar {
	calls := registrar{}
	f.service().Register(calls)
	return calls
}

// Each row is one call with raw parameters and the code of its answer. The rows
// run in order on one service.
func TestCallContracts(t *testing.T) {
	type call struct {
		name   string
		method api.Method
		params string
		code   errs.Code
	}
	record := `"account":"a","key":"k","body_hash":"h","request":"r1","entry":"e1","incarnation":2,"state":"","expires_unix_millis":0`
	entry := `"id":"e1","incarnation":2,"domain":"cairo","caller_address":"127.0.0.1:1","peer_address":"127.0.0.1:2","live":false`
	account := `{"id":"a","key_hashes":["` + digest + `"],"class":0,"share":1}`
	calls := []call{
		{"malformed", api.MethodRenew, `{`, errs.Invalid},
		{"unknown field", api.MethodRenew, `{"entry":{},"applied":1,"colour":1}`, errs.Invalid},
		{"wrong type", api.MethodRenew, `{"entry":{},"applied":"one"}`, errs.Invalid},
		{"no entry", api.MethodRenew, `{"entry":{},"applied":1}`, errs.Invalid},
		{"record before the lease", api.MethodRecordOpen, `{"record":{` + record + `}}`, errs.Unavailable},
		{"renew", api.MethodRenew, `{"entry":{` + entry + `},"applied":1}`, ""},
		{"renew repeated", api.MethodRenew, `{"entry":{` + entry + `},"applied":1}`, ""},
		{"older incarnation", api.MethodRenew, strings.Replace(`{"entry":{`+entry+`},"applied":1}`, `:2`, `:1`, 1), errs.Stale},
		{"newer incarnation during the lease", api.MethodRenew, strings.Replace(`{"entry":{`+entry+`},"applied":1}`, `:2`, `:3`, 1), errs.Unavailable},
		{"release while serving", api.MethodRenew, `{"entry":{` + entry + `},"applied":1,"release":true}`, errs.Invalid},
		{"negative wait", api.MethodWatch, `{"entry":"e1","from":0,"wait_millis":-1}`, errs.Invalid},
		{"watch", api.MethodWatch, `{"entry":"e1","from":0,"wait_millis":1}`, ""},
		{"announce nothing", api.MethodAnnounce, `{"entry":"e1","announcements":[]}`, ""},
		{"announce wrong type", api.MethodAnnounce, `{"entry":"e1","announcements":[{"version":"1"}]}`, errs.Invalid},
		{"plan without operator", api.MethodPlan, `{"operator":"","intent":{"domains":[{"name":"cairo","state":"active"}]}}`, errs.Invalid},
		{"plan nothing", api.MethodPlan, `{"operator":"amal","intent":{}}`, errs.Invalid},
		{"plan unknown field", api.MethodPlan, `{"operator":"amal","intent":{"zones":[]}}`, errs.Invalid},
		{"plan out of range", api.MethodPlan, `{"operator":"amal","intent":{"serving_groups":[{"name":"s","model":"m","replicas":1,"hosts_per_replica":17,"checks_fencing":true}]}}`, errs.Invalid},
		{"confirm before the plan", api.MethodDecide, `{"operator":"amal","plan":1,"confirm":true,"wait_millis":0}`, errs.NotFound},
		{"plan", api.MethodPlan, `{"operator":"amal","intent":{"accounts":[` + account + `]}}`, ""},
		{"plan of a second operator", api.MethodPlan, `{"operator":"basim","intent":{"accounts":[` + account + `]}}`, ""},
		{"confirm plan 0", api.MethodDecide, `{"operator":"amal","plan":0,"confirm":true,"wait_millis":0}`, errs.Invalid},
		{"reject", api.MethodDecide, `{"operator":"amal","plan":1,"confirm":false,"wait_millis":0}`, ""},
		{"reject repeated", api.MethodDecide, `{"operator":"amal","plan":1,"confirm":false,"wait_millis":0}`, ""},
		{"confirm after reject", api.MethodDecide, `{"operator":"amal","plan":1,"confirm":true,"wait_millis":0}`, errs.Conflict},
		{"plans", api.MethodPlans, `{}`, ""},
		{"history out of range", api.MethodHistory, `{"limit":100000}`, errs.Invalid},
		{"history", api.MethodHistory, `{"limit":1}`, ""},
		{"status", api.MethodStatus, `{}`, ""},
		{"member out of range", api.MethodMember, `{"action":"explode","voter":"a","address":""}`, errs.Invalid},
		{"member of a fixed log", api.MethodMember, `{"action":"remove","voter":"a","address":""}`, errs.Internal},
		{"end before open", api.MethodRecordEnd, `{"record":{` + strings.Replace(record, `"state":""`, `"state":"complete"`, 1) + `}}`, errs.NotFound},
		{"end as running", api.MethodRecordEnd, `{"record":{` + strings.Replace(record, `"state":""`, `"state":"running"`, 1) + `}}`, errs.Invalid},
		{"open without key", api.MethodRecordOpen, `{"record":{` + strings.Replace(record, `"key":"k"`, `"key":""`, 1) + `}}`, errs.Invalid},
		{"open", api.MethodRecordOpen, `{"record":{` + record + `}}`, ""},
		{"open repeated", api.MethodRecordOpen, `{"record":{` + record + `}}`, ""},
		{"open with another body", api.MethodRecordOpen, `{"record":{` + strings.Replace(record, `"h"`, `"other"`, 1) + `}}`, errs.Conflict},
		{"end of another request", api.MethodRecordEnd, `{"record":{` + strings.Replace(strings.Replace(record, `"r1"`, `"r2"`, 1), `"state":""`, `"state":"complete"`, 1) + `}}`, errs.Conflict},
		{"end", api.MethodRecordEnd, `{"record":{` + strings.Replace(record, `"state":""`, `"state":"complete"`, 1) + `}}`, ""},
		{"end repeated", api.MethodRecordEnd, `{"record":{` + strings.Replace(record, `"state":""`, `"state":"complete"`, 1) + `}}`, ""},
		{"not run after the end", api.MethodRecordEnd, `{"record":{` + strings.Replace(record, `"state":""`, `"state":"not-run"`, 1) + `}}`, errs.Conflict},
		{"get negative wait", api.MethodRecordGet, `{"account":"a","key":"k","wait_millis":-5}`, errs.Invalid},
		{"get", api.MethodRecordGet, `{"account":"a","key":"k","wait_millis":0}`, ""},
		{"suspect without fingerprint", api.MethodSuspect, `{"fingerprint":"","request":"r","group":"g","fencing":1,"alone":true}`, errs.Invalid},
		{"quarantine without keys", api.MethodQuarantine, `{"action":"impose","fingerprint":"f","keys":[],"entry":"e1"}`, errs.Invalid},
		{"quarantine with an unknown action", api.MethodQuarantine, `{"action":"x","fingerprint":"f","keys":["k"],"entry":"e1"}`, errs.Invalid},
		{"quarantine", api.MethodQuarantine, `{"action":"impose","fingerprint":"f","keys":["k"],"entry":"e1"}`, ""},
		{"suspect", api.MethodSuspect, `{"fingerprint":"f","request":"r","group":"g","fencing":1,"alone":true}`, ""},
	}
	f := newFixture()
	handlers := newCalls(f)
	for _, c := range calls {
		_, err := handlers.call(c.method, c.params)
		require.Equal(t, c.code, codeOf(err), "%s: %v", c.name, err)
	}
}

func TestIntentFaultsAreListedAtOnce(t *testing.T) {
	f := newFixture()
	f.configure(t, api.Intent{Accounts: []api.Account{{ID: "old", KeyHashes: []string{digest}}}})
	in := api.Intent{
		ServingGroups: []api.ServingGroup{
			{Name: "s", Model: "m", HostsPerReplica: 17, Domains: []api.FailureDomain{"nowhere"}},
			{Name: "s", Model: "m", HostsPerReplica: 1},
		},
		Accounts: []api.Account{{ID: "new", KeyHashes: []string{digest}, Class: 10}, {ID: "x\ny", KeyHashes: []string{"short"}}},
		Domains:  []api.Domain{{Name: "typo", State: api.DomainDrained}, {Name: "giza", State: "sideways"}},
		Remove:   api.Removal{Services: []string{"ghost", "ghost"}, ServingGroups: []api.ServingGroupName{"s"}},
	}
	_, err := f.service().plan(ctx, api.PlanRequest{Operator: "amal", Intent: in})
	requireCode(t, errs.Invalid, err)
	for _, want := range []string{
		`serving_groups[0].hosts_per_replica: value 17, must be at most 16`,
		`serving_groups[0].domains[0]: value "nowhere", must be a known failure domain`,
		`serving_groups[1].name: value "s", must be listed once`,
		`accounts[0].class: value 10, must be at most 9`,
		`accounts[0].key_hashes[0]: value "` + digest + `", must be unique, account old has it`,
		`accounts[1].key_hashes[0]: value "short", must be of length 64`,
		`accounts[1].id: value "x\ny", must be free of control characters`,
		`domains[0].name: value "typo", must be a known failure domain to be drained`,
		`domains[1].state: value "sideways", must be one of active drained`,
		`remove.services[0]: value "ghost", must be known`,
		`remove.services[1]: value "ghost", must be listed once`,
		`remove.serving_groups[0]: value "s", must be absent from the rest of the same intent`,
	} {
		require.ErrorContains(t, err, want)
	}
}

func TestAnnouncementsKeepTheNewest(t *testing.T) {
	f := newFixture()
	running := 0
	announce := func(incarnation api.Incarnation, sequence uint64) int {
		r, err := f.service().announce(ctx, api.AnnounceBatch{Announcements: []api.Announcement{{
			Version: 1, Host: "h1", Incarnation: incarnation, Sequence: sequence,
			Address: "127.0.0.1:7000", Kind: api.BackendEngine, Fabric: "f1", Domain: "cairo", Running: running,
		}}})
		require.NoError(t, err)
		return r.Accepted
	}
	for _, c := range []struct {
		name        string
		incarnation api.Incarnation
		sequence    uint64
		accepted    int
	}{
		{"first", 2, 5, 1},
		{"repeated", 2, 5, 0},
		{"late", 2, 4, 0},
		{"next", 2, 6, 1},
		{"older incarnation", 1, 9, 0},
		{"newer incarnation", 3, 1, 1},
		{"sequence 0", 3, 0, 0},
	} {
		require.Equal(t, c.accepted, announce(c.incarnation, c.sequence), c.name)
	}
	running = -1
	require.Zero(t, announce(3, 2), "a negative load")
}

func TestGroupChangesAreRefused(t *testing.T) {
	s := NewState()
	seedServingGroups(t, s)
	group := func(hosts ...api.HostID) api.Group {
		return api.Group{ID: "g1", ServingGroup: "sg1", Members: hosts}
	}
	ready := group()
	ready.Phase = api.GroupReady
	releasing := group()
	releasing.Phase = api.GroupReleasing
	other := group("h2")
	other.ID = "g2"
	unknown := group("h9")
	unknown.ID = "g9"
	unknown.ServingGroup = "sg9"
	for _, c := range []struct {
		name   string
		change api.GroupChange
		code   errs.Code
	}{
		{"unknown kind", api.GroupChange{Kind: "melt"}, errs.Invalid},
		{"form without hosts", api.GroupChange{Kind: api.GroupForm, Group: group()}, errs.Invalid},
		{"form with a host twice", api.GroupChange{Kind: api.GroupForm, Group: group("h1", "h1")}, errs.Invalid},
		{"form for an unknown serving group", api.GroupChange{Kind: api.GroupForm, Group: unknown}, errs.Conflict},
		{"phase of an unknown group", api.GroupChange{Kind: api.GroupSetPhase, Group: ready}, errs.Stale},
		{"form", api.GroupChange{Kind: api.GroupForm, Group: group("h1", "h2")}, ""},
		{"form again", api.GroupChange{Kind: api.GroupForm, Group: group("h3")}, errs.Conflict},
		{"form with an assigned host", api.GroupChange{Kind: api.GroupForm, Group: other}, errs.Conflict},
		{"phase at an old number", api.GroupChange{Kind: api.GroupSetPhase, Group: ready}, errs.Stale},
		{"phase releasing", api.GroupChange{Kind: api.GroupSetPhase, Fencing: 1, Group: releasing}, errs.Invalid},
		{"phase ready", api.GroupChange{Kind: api.GroupSetPhase, Fencing: 1, Group: ready}, ""},
		{"free a member", api.GroupChange{Kind: api.GroupFree, Fencing: 1, Host: "h1"}, errs.Conflict},
		{"reform drops h2", api.GroupChange{Kind: api.GroupReform, Fencing: 1, Group: group("h1", "h3")}, ""},
		{"form with a releasing host", api.GroupChange{Kind: api.GroupForm, Group: other}, errs.Conflict},
		{"reform takes a releasing host", api.GroupChange{Kind: api.GroupReform, Fencing: 2, Group: group("h1", "h2")}, errs.Conflict},
		{"free at an old number", api.GroupChange{Kind: api.GroupFree, Fencing: 1, Host: "h2"}, errs.Stale},
		{"free", api.GroupChange{Kind: api.GroupFree, Fencing: 2, Host: "h2"}, ""},
		{"free again", api.GroupChange{Kind: api.GroupFree, Fencing: 2, Host: "h2"}, errs.Stale},
		{"release", api.GroupChange{Kind: api.GroupRelease, Fencing: 2, Group: group()}, ""},
		{"phase while releasing", api.GroupChange{Kind: api.GroupSetPhase, Fencing: 3, Group: ready}, errs.Conflict},
		{"free the first", api.GroupChange{Kind: api.GroupFree, Fencing: 3, Host: "h1"}, ""},
		{"form while releasing", api.GroupChange{Kind: api.GroupForm, Group: group("h1")}, errs.Conflict},
		{"free the last", api.GroupChange{Kind: api.GroupFree, Fencing: 3, Host: "h3"}, ""},
		{"form again after the release", api.GroupChange{Kind: api.GroupForm, Group: group("h1")}, ""},
	} {
		result := apply(t, s, &groupCommand{Change: c.change}, 0)
		err, _ := result.(error)
		require.Equal(t, c.code, codeOf(err), "%s: %v", c.name, err)
	}
	require.Equal(t, api.Fencing(4), s.counters.load().Fencing)
}

func TestRecordStoreIsBounded(t *testing.T) {
	f := newFixture(func(c *Config) {
		c.Limits.Records = RecordLimits{MaxRecords: 2, MaxBytes: 1 << 12, MaxBody: 1 << 10, RetentionMillis: 60_000}
	})
	require.NoError(t, f.renew("e1", 1))
	record := func(key string) api.Record {
		return api.Record{Account: "a", Key: key, Request: api.RequestID("r-" + key), Entry: "e1", Incarnation: 1}
	}
	open := func(key string) error {
		_, err := f.service().recordOpen(ctx, api.RecordOpenRequest{Record: record(key)})
		return err
	}
	require.NoError(t, open("k1"))
	require.NoError(t, open("k2"))
	requireCode(t, errs.Full, open("k3"))
	big := record("k1")
	big.State = api.RecordComplete
	big.Body = make([]byte, 1<<10+1)
	_, err := f.service().recordEnd(ctx, api.RecordEndRequest{Record: big})
	require.NoError(t, err)
	got, err := f.service().recordGet(ctx, api.RecordGetRequest{Account: "a", Key: "k1"})
	require.NoError(t, err)
	require.Equal(t, api.RecordUnknown, got.Record.State, "an answer above the limit is not stored")
	f.advance(59 * time.Second)
	require.NoError(t, f.renew("e1", 1))
	requireCode(t, errs.Full, open("k3"))
	f.advance(time.Second)
	require.NoError(t, f.renew("e1", 1))
	require.NoError(t, open("k3"))
}

func TestQuarantine(t *testing.T) {
	limits := QuarantineLimits{MaxRows: 2, SuspectMillis: 1000, QuarantineMillis: 5000}
	s := NewState()
	report := func(now int64, fingerprint string, fencing api.Fencing, alone bool) any {
		r := api.SuspectRequest{Fingerprint: fingerprint, Group: "g", Fencing: fencing, Alone: alone}
		return apply(t, s, &suspectCommand{Suspect: r, Limits: limits}, now)
	}
	require.Equal(t, api.Quarantine{Fingerprint: "f1", Deaths: 1}, report(0, "f1", 1, false))
	require.Equal(t, api.Quarantine{Fingerprint: "f1", Deaths: 1}, report(1, "f1", 1, true), "the same death again")
	require.Equal(t, api.Quarantine{Fingerprint: "f1", Deaths: 1}, report(2, "f1", 2, false), "beside other requests")
	quarantined := api.Quarantine{Fingerprint: "f1", Deaths: 2, UntilUnixMillis: 5003}
	require.Equal(t, quarantined, report(3, "f1", 2, true))
	require.Equal(t, quarantined, report(4, "f1", 3, true), "a third death does not extend it")
	report(5, "f2", 1, true)
	report(6, "f3", 1, true)
	require.Len(t, s.View().Quarantines, 2, "the older suspect was evicted")
	report(7, "f3", 2, true)
	err, _ := report(8, "f4", 1, true).(error)
	requireCode(t, errs.Full, err)
	apply(t, s, &expireCommand{MaxRecords: 1}, 5003)
	require.Equal(t, "f3", s.View().Quarantines[0].Fingerprint)
}

func TestSuspectIsInForceOnceAppliedByEveryEntry(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	require.NoError(t, f.renew("e2", 1))
	suspect := func() api.SuspectResponse {
		r := api.SuspectRequest{Fingerprint: "f", Request: "r", Group: "g", Fencing: 1, WaitMillis: 1000}
		res, err := f.service().suspect(noWait(), r)
		require.NoError(t, err)
		require.Equal(t, api.Quarantine{Fingerprint: "f", Deaths: 1}, res.Quarantine)
		return res
	}
	require.False(t, suspect().InForce)
	require.NoError(t, f.renew("e1", 1))
	require.False(t, suspect().InForce, "e2 has not applied it")
	f.advance(DefaultLeaseDuration + DefaultDriftMargin + time.Millisecond)
	require.NoError(t, f.renew("e1", 1), "e1 is registered again")
	require.NoError(t, f.renew("e1", 1))
	require.True(t, suspect().InForce, "e2 may not work")
}

func TestReleasedLeaseEndsAtOnce(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	info := entryInfo("e1", 1)
	info.Leaving = true
	_, err := f.service().renew(ctx, api.RenewRequest{Entry: info, Applied: f.state().Revision(), Release: true, Finished: true})
	require.NoError(t, err)
	require.False(t, f.state().View().Entries[0].Live)
	require.True(t, f.state().View().Entries[0].Finished)
	require.NoError(t, f.renew("e1", 2), "a restarted entry need not wait")
	require.False(t, f.state().View().Entries[0].Finished)
	f.advance(2 * DefaultLeaseDuration)
	require.False(t, f.state().View().Entries[0].Live)
	require.False(t, f.state().View().Entries[0].Finished, "a lease that ran out")
}

func TestStatusGolden(t *testing.T) {
	f := newFixture()
	require.NoError(t, f.renew("e1", 1))
	f.configure(t, api.Intent{
		ServingGroups: []api.ServingGroup{servingGroup("scribe")},
		Accounts:      []api.Account{{ID: "shop", KeyHashes: []string{digest}, Class: 1, Share: 4}},
		Domains:       []api.Domain{{Name: "cairo", State: api.DomainActive}},
		Services:      []api.Service{{Name: "ledger"}},
	})
	require.NoError(t, f.renew("e1", 1))
	_, err := f.service().ChangeGroup(ctx, api.GroupChange{Kind: api.GroupForm, Group: api.Group{
		ServingGroup: "scribe", Model: "m", Domain: "cairo", Fabric: "f1", Members: []api.HostID{"h1", "h2"},
	}})
	require.NoError(t, err)
	f.advance(time.Second)
	status, err := newCalls(f).call(api.MethodStatus, `{}`)
	require.NoError(t, err)
	goldie.New(t).AssertJson(t, "status", status)
}
