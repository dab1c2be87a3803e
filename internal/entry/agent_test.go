package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
)

// fakeControl responds to renewals with a fixed lease after a delay on the clock.
type fakeControl struct {
	clock    *clock.Manual
	delay    time.Duration
	revision api.Revision
	lease    time.Duration
	stretch  int
	update   api.ViewUpdate
}

func (f *fakeControl) Call(_ context.Context, _ api.Method, _, result any) error {
	f.clock.Advance(f.delay)
	switch r := result.(type) {
	case *api.RenewResponse:
		*r = api.RenewResponse{LeaseMillis: f.lease.Milliseconds(), Stretch: f.stretch, Revision: f.revision}
	case *api.WatchResponse:
		r.Update = f.update
	}
	return nil
}

func newTestAgent(f *fakeControl) (*Agent, *State) {
	state := NewState(api.EntryInfo{ID: "e1"}, f.clock)
	agent := NewAgent(AgentConfig{
		State:   state,
		Control: f,
		Clock:   f.clock,
		Logger:  logging.Discard(),
		ApplyUpdate: func(_ api.View, u api.ViewUpdate) (api.View, error) {
			return u.Upsert, nil
		},
	})
	return agent, state
}

func TestLeaseIsCountedFromSend(t *testing.T) {
	f := &fakeControl{clock: clock.NewManual(time.Unix(100, 0)), delay: 2 * time.Second, lease: 3 * time.Second}
	agent, state := newTestAgent(f)
	require.NoError(t, agent.Renew(context.Background()))
	require.False(t, state.MayWork(), "the first renewal only learns the revision")
	require.NoError(t, agent.Renew(context.Background()))
	require.True(t, state.MayWork())
	f.clock.Advance(time.Second)
	require.False(t, state.MayWork(), "the lease of 3 s expires 3 s after the send, not after the response")
}

func TestLaggingEntryGetsNoLease(t *testing.T) {
	f := &fakeControl{clock: clock.NewManual(time.Unix(100, 0)), lease: 3 * time.Second, revision: 7}
	agent, state := newTestAgent(f)
	for range 3 {
		require.NoError(t, agent.Renew(context.Background()))
		require.False(t, state.MayWork(), "revision 7 is not applied")
	}
	f.update = api.ViewUpdate{To: 7, Upsert: api.View{Revision: 7}}
	require.NoError(t, agent.Watch(context.Background()))
	require.NoError(t, agent.Renew(context.Background()))
	require.True(t, state.MayWork())
}

func TestLeaderResponsesConfirmSnapshot(t *testing.T) {
	f := &fakeControl{clock: clock.NewManual(time.Unix(100, 0)), delay: time.Second, lease: 3 * time.Second, revision: 7}
	agent, state := newTestAgent(f)
	_, confirmed := state.SinceConfirmed()
	require.False(t, confirmed)
	require.NoError(t, agent.Renew(context.Background()))
	_, confirmed = state.SinceConfirmed()
	require.False(t, confirmed, "revision 7 is not applied")
	f.update = api.ViewUpdate{To: 7, Upsert: api.View{Revision: 7}}
	require.NoError(t, agent.Watch(context.Background()))
	age, confirmed := state.SinceConfirmed()
	require.True(t, confirmed)
	require.Equal(t, time.Second, age, "counted from the send time of the call")
	f.clock.Advance(time.Minute)
	require.NoError(t, agent.Renew(context.Background()))
	age, _ = state.SinceConfirmed()
	require.Equal(t, time.Second, age)
	agent.ApplyNewer(api.View{Revision: 9})
	f.clock.Advance(time.Minute)
	age, _ = state.SinceConfirmed()
	require.Equal(t, time.Minute+time.Second, age, "a view from another entry is not confirmed by the leader")
}

func TestAppliedViewIsReportedAtOnce(t *testing.T) {
	f := &fakeControl{clock: clock.NewManual(time.Unix(100, 0)), lease: 3 * time.Second}
	agent, _ := newTestAgent(f)
	require.False(t, agent.hasUnreportedView(), "nothing was applied")
	f.update = api.ViewUpdate{To: 7, Upsert: api.View{Revision: 7}}
	require.NoError(t, agent.Watch(context.Background()))
	require.True(t, agent.hasUnreportedView())
	require.NoError(t, agent.Renew(context.Background()))
	require.False(t, agent.hasUnreportedView(), "revision 7 was reported")
}

// changingControl returns a new revision to every watch and counts the calls.
type changingControl struct {
	revision atomic.Uint64
	watches  atomic.Int64
	renewals atomic.Int64
}

func (b *changingControl) Call(_ context.Context, _ api.Method, _, result any) error {
	switch r := result.(type) {
	case *api.RenewResponse:
		b.renewals.Add(1)
		*r = api.RenewResponse{LeaseMillis: time.Hour.Milliseconds(), Stretch: 1}
	case *api.WatchResponse:
		b.watches.Add(1)
		revision := api.Revision(b.revision.Add(1))
		r.Update = api.ViewUpdate{To: revision, Upsert: api.View{Revision: revision}}
	}
	return nil
}

// TestAgentBoundsCallRate checks that an agent calls a leader whose state changes
// all the time no more often than its intervals allow.
func TestAgentBoundsCallRate(t *testing.T) {
	const length, gap = 400 * time.Millisecond, 100 * time.Millisecond
	b := &changingControl{}
	agent := NewAgent(AgentConfig{
		State: NewState(api.EntryInfo{ID: "e1"}, clock.System{}), Control: b, Clock: clock.System{}, Logger: logging.Discard(),
		RenewInterval: time.Hour, ReportDelay: time.Hour, WatchWait: time.Hour, WatchDelay: gap,
		ApplyUpdate: func(_ api.View, u api.ViewUpdate) (api.View, error) { return u.Upsert, nil },
	})
	agent.joined = true
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	_ = agent.Run(ctx)
	require.LessOrEqual(t, b.watches.Load(), int64(length/gap)+1)
	require.Equal(t, int64(1), b.renewals.Load(), "the first renewal grants the lease")
}

func TestLeaderStretchesIntervals(t *testing.T) {
	f := &fakeControl{clock: clock.NewManual(time.Unix(100, 0)), lease: 9 * time.Second, stretch: 3}
	agent, _ := newTestAgent(f)
	agent.cfg.RenewInterval = time.Second
	require.NoError(t, agent.Renew(context.Background()))
	require.NoError(t, agent.Renew(context.Background()))
	require.Equal(t, 3*time.Second, agent.pause(nil))
	f.stretch = 0
	require.NoError(t, agent.Renew(context.Background()))
	require.Equal(t, time.Second, agent.pause(nil), "no stretch requested")
}

func TestStateNeverAppliesLowerRevision(t *testing.T) {
	state := NewState(api.EntryInfo{ID: "e1"}, clock.System{})
	require.True(t, state.Apply(api.View{Revision: 9}))
	require.False(t, state.Apply(api.View{Revision: 8}))
	require.Equal(t, api.Revision(9), state.Snapshot().Revision)
}

func TestLeavingEntryTakesNoWork(t *testing.T) {
	c := clock.NewManual(time.Unix(100, 0))
	state := NewState(api.EntryInfo{ID: "e1"}, c)
	state.SetLease(c.Now().Add(time.Hour))
	require.True(t, state.MayWork())
	state.SetLeaving()
	require.False(t, state.MayWork())
}

func TestAnnounceBatchKeepsNewest(t *testing.T) {
	cases := []struct {
		name     string
		sent     []api.Announcement
		sequence uint64
		started  api.Incarnation
	}{
		{"in order", []api.Announcement{{Host: "h", Incarnation: 1, Sequence: 1}, {Host: "h", Incarnation: 1, Sequence: 2}}, 2, 1},
		{"out of order", []api.Announcement{{Host: "h", Incarnation: 1, Sequence: 2}, {Host: "h", Incarnation: 1, Sequence: 1}}, 2, 1},
		{"older incarnation", []api.Announcement{{Host: "h", Incarnation: 2, Sequence: 1}, {Host: "h", Incarnation: 1, Sequence: 9}}, 1, 2},
		{"restart", []api.Announcement{{Host: "h", Incarnation: 1, Sequence: 9}, {Host: "h", Incarnation: 2, Sequence: 1}}, 1, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newAnnounceBatch()
			for _, ann := range c.sent {
				b.put(ann, time.Time{})
			}
			list := b.take(true).Announcements
			require.Len(t, list, 1)
			require.Equal(t, c.sequence, list[0].Sequence)
			require.Equal(t, c.started, list[0].Incarnation)
			require.Empty(t, b.take(true).Announcements)
		})
	}
}

// fakePeers returns a fixed error for each voter address.
type fakePeers struct {
	errors map[string]error
	calls  []string
}

func (f *fakePeers) Call(_ context.Context, address string, _ api.Method, _, _ any) error {
	f.calls = append(f.calls, address)
	return f.errors[address]
}

func (f *fakePeers) Notify(string, api.Method, any) error { return nil }

func notLeader(hint string) error {
	return &errs.Error{Code: errs.NotLeader, Step: "renew", Detail: hint, Err: errs.New(errs.NotLeader, "renew", "", "follower")}
}

func TestLeaderClientFollows(t *testing.T) {
	cases := []struct {
		name   string
		method api.Method
		errors map[string]error
		calls  []string
		code   errs.Code
	}{
		{"leader first", api.MethodRenew, nil, []string{"a"}, ""},
		{"hint", api.MethodRenew, map[string]error{"a": notLeader("c")}, []string{"a", "c"}, ""},
		{"no hint", api.MethodRenew, map[string]error{"a": notLeader("")}, []string{"a", "b"}, ""},
		{"voter down", api.MethodRenew, map[string]error{"a": errs.New(errs.Unavailable, "dial", "a", "refused")}, []string{"a", "b"}, ""},
		{"unknown outcome is repeated", api.MethodRenew, map[string]error{"a": errs.New(errs.Timeout, "call", "a", "late")}, []string{"a", "b"}, ""},
		{"failed leader is not retried first", api.MethodRenew, map[string]error{"a": notLeader("b"), "b": errs.New(errs.Timeout, "call", "b", "late")}, []string{"a", "b", "c"}, ""},
		{"unknown outcome of a record", api.MethodRecordOpen, map[string]error{"a": errs.New(errs.Timeout, "call", "a", "late")}, []string{"a"}, errs.Timeout},
		{"refusal with a retry delay", api.MethodRenew, map[string]error{"a": &errs.Error{Code: errs.Unavailable, Step: "renew", RetryAfterMillis: 50, Err: errs.New(errs.Unavailable, "renew", "", "lagging")}}, []string{"a"}, errs.Unavailable},
		{"refusal", api.MethodPlan, map[string]error{"a": errs.New(errs.Invalid, "plan", "a", "bad")}, []string{"a"}, errs.Invalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			peers := &fakePeers{errors: c.errors}
			client := NewLeaderClient(peers, Voters{"a", "b", "c"})
			err := client.Call(context.Background(), c.method, api.Empty{}, &api.Empty{})
			require.Equal(t, c.calls, peers.calls)
			if c.code == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, c.code, errs.CodeOf(err))
		})
	}
}

// TestRepeatedAnnouncementSentAsSlot checks that an announcement that the leader
// already has is sent as a slot, and everything else whole.
func TestRepeatedAnnouncementSentAsSlot(t *testing.T) {
	b := newAnnounceBatch()
	sequence := uint64(0)
	send := func(running, bearable int) api.AnnounceBatch {
		sequence++
		b.put(api.Announcement{Host: "h", Incarnation: 1, Sequence: sequence, Running: running, BearableLoad: bearable}, time.Time{})
		return b.take(true)
	}
	first := send(0, 2)
	require.Len(t, first.Announcements, 1)
	b.acknowledge(9)
	require.Equal(t, api.EncodeSlots([]uint64{first.Slots[0]}), send(3, 2).Heartbeats, "only the load changed")
	b.acknowledge(9)
	changed := send(3, 4)
	require.Len(t, changed.Announcements, 1, "the bearable load changed")
	require.Greater(t, changed.Slots[0], first.Slots[0], "slots are not reused")
	b.acknowledge(10)
	require.Len(t, send(3, 4).Announcements, 1, "another leader responded")
	b.acknowledge(10)
	require.Empty(t, send(3, 4).Announcements)
	b.acknowledge(0)
	require.Len(t, send(3, 4).Announcements, 1, "the delivery failed")
}

// TestStretchedHeartbeats checks that, while renewals carry the heartbeats, only
// unchanged announcements wait; silence and return of a host are sent at once.
func TestStretchedHeartbeats(t *testing.T) {
	b := newAnnounceBatch()
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	put := func(sequence uint64, seconds int) {
		b.put(api.Announcement{Host: "h", Incarnation: 1, Sequence: sequence}, at(seconds))
	}
	put(1, 0)
	slots := b.take(false).Slots
	require.Len(t, slots, 1)
	b.acknowledge(9)
	put(2, 1)
	require.Empty(t, b.take(false).Heartbeats, "a renewal carries it")
	require.Equal(t, &api.AnnounceBatch{Session: 9, Heartbeats: api.EncodeSlots(slots)}, b.heartbeats())
	require.Nil(t, b.heartbeats())
	b.markSilent(at(1))
	require.Empty(t, b.take(false).Silent)
	b.markSilent(at(2))
	require.Equal(t, api.EncodeSlots(slots), b.take(false).Silent)
	b.markSilent(at(9))
	require.Empty(t, b.take(false).Silent, "reported once")
	put(3, 9)
	require.Len(t, b.take(false).Announcements, 1, "a host that returns is announced whole")
}

func TestRenewalsCarryHeartbeatsFromSecondStretchedResponse(t *testing.T) {
	f := &fakeControl{clock: clock.NewManual(time.Unix(100, 0)), lease: 9 * time.Second, stretch: 3}
	agent, _ := newTestAgent(f)
	for _, carry := range []bool{false, true} {
		require.NoError(t, agent.Renew(context.Background()))
		require.Equal(t, carry, agent.renewalsCarryHeartbeats())
	}
	f.stretch = 1
	require.NoError(t, agent.Renew(context.Background()))
	require.False(t, agent.renewalsCarryHeartbeats())
}

// newLeader refuses renewals. It knows only the hosts that it has got whole announcements of.
type newLeader struct {
	session uint64
	refuse  bool
	known   map[api.HostID]bool
}

func (l *newLeader) Call(_ context.Context, _ api.Method, params, result any) error {
	switch p := params.(type) {
	case api.RenewRequest:
		if l.refuse {
			return &errs.Error{Code: errs.Unavailable, Step: "renew lease", RetryAfterMillis: 100, Err: errs.New(errs.Unavailable, "renew lease", "", "refused")}
		}
		*result.(*api.RenewResponse) = api.RenewResponse{LeaseMillis: 9000, Stretch: 3, Session: l.session}
	case api.AnnounceBatch:
		for _, a := range p.Announcements {
			l.known[a.Host] = true
		}
		*result.(*api.AnnounceBatchResponse) = api.AnnounceBatchResponse{Session: l.session}
	}
	return nil
}

// TestHostsReachNewLeaderThatRefusesRenewals guards against hosts that a new leader counts as
// lost for as long as it refuses the renewals that carry their heartbeats.
func TestHostsReachNewLeaderThatRefusesRenewals(t *testing.T) {
	leader := &newLeader{session: 1, known: make(map[api.HostID]bool)}
	agent := NewAgent(AgentConfig{State: NewState(api.EntryInfo{ID: "e1"}, clock.System{}), Control: leader, Clock: clock.System{}, Logger: logging.Discard()})
	sequence := uint64(0)
	announce := func() {
		sequence++
		require.NoError(t, agent.Announce(api.Announcement{Host: "h", Incarnation: 1, Sequence: sequence}))
	}
	announce()
	agent.flush(context.Background())
	for range 2 {
		require.NoError(t, agent.Renew(context.Background()))
	}
	require.True(t, agent.renewalsCarryHeartbeats())
	*leader = newLeader{session: 2, refuse: true, known: make(map[api.HostID]bool)}
	for range 3 {
		announce()
		require.Error(t, agent.Renew(context.Background()))
		announce()
		agent.flush(context.Background())
	}
	require.True(t, leader.known["h"])
}

// failingControl returns the same error from every call.
type failingControl struct{ err error }

func (r *failingControl) Call(context.Context, api.Method, any, any) error { return r.err }

func TestAgentDetectsMissingLeader(t *testing.T) {
	control := &failingControl{}
	agent := NewAgent(AgentConfig{State: NewState(api.EntryInfo{ID: "e1"}, clock.System{}), Control: control, Clock: clock.System{}, Logger: logging.Discard()})
	require.False(t, agent.LeaderUnreachable(), "before the first call")
	unreached := errs.New(errs.Timeout, "find control leader", "", "no answer")
	refused := &errs.Error{Code: errs.Unavailable, Step: "renew", RetryAfterMillis: 50, Err: unreached}
	for i, err := range []error{unreached, refused, unreached, nil} {
		unreachable := i%2 == 0
		control.err = err
		_ = agent.Renew(context.Background())
		require.Equal(t, unreachable, agent.LeaderUnreachable(), "renewal: %v", err)
		agent.sendAnnouncements(context.Background(), api.AnnounceBatch{})
		require.Equal(t, unreachable, agent.LeaderUnreachable(), "announcements: %v", err)
	}
}

// recoveringControl fails every call until up is set.
type recoveringControl struct{ up atomic.Bool }

func (c *recoveringControl) Call(context.Context, api.Method, any, any) error {
	if c.up.Load() {
		return nil
	}
	return errs.New(errs.Timeout, "find control leader", "", "no answer")
}

// TestControlDaemonReconnectsByAnnouncements runs a control daemon, which sends no
// renewals: only delivered announcements show that the leader is reachable again.
// Hosts are rejected only until then.
func TestControlDaemonReconnectsByAnnouncements(t *testing.T) {
	control := &recoveringControl{}
	agent := NewAgent(AgentConfig{State: NewState(api.EntryInfo{ID: "c1"}, clock.System{}), Control: control, Clock: clock.System{}, Logger: logging.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = agent.RunAnnouncements(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	sequence := uint64(0)
	announce := func() bool {
		sequence++
		return agent.Announce(api.Announcement{Host: "h1", Incarnation: 1, Sequence: sequence}) == nil
	}
	require.True(t, announce(), "before the first call")
	require.Eventually(t, func() bool { return !announce() }, 5*time.Second, time.Millisecond)
	control.up.Store(true)
	require.Eventually(t, announce, 5*time.Second, time.Millisecond)
}

// hangingLeader answers every call to "b". At other addresses a watch hangs until its
// context ends, and other calls fail.
type hangingLeader struct{ watching chan struct{} }

func (f *hangingLeader) Call(ctx context.Context, address string, method api.Method, _, _ any) error {
	switch {
	case address == "b":
		return nil
	case method == api.MethodWatch:
		close(f.watching)
		<-ctx.Done()
	}
	return errs.New(errs.Timeout, "call", address, "no answer")
}

func (f *hangingLeader) Notify(string, api.Method, any) error { return nil }

func TestWatchFollowsLeaderFoundByRenewal(t *testing.T) {
	f := &hangingLeader{watching: make(chan struct{})}
	client := NewLeaderClient(f, Voters{"a", "b"})
	watched := make(chan error)
	go func() {
		watched <- client.Call(context.Background(), api.MethodWatch, api.WatchRequest{WaitMillis: time.Hour.Milliseconds()}, &api.Empty{})
	}()
	<-f.watching
	require.NoError(t, client.Call(context.Background(), api.MethodRenew, api.RenewRequest{}, &api.Empty{}))
	require.NoError(t, <-watched)
	require.Equal(t, "b", client.Leader())
}
