package control

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// start is the start time of the logical clock.
var start = time.Unix(1_800_000_000, 0)

// fakeCluster is an in-memory replicated log: every state applies the same
// commands, and one voter leads at a time.
type fakeCluster struct {
	mu     sync.Mutex
	states []*State
	leader int
	term   uint64
	index  uint64
	// loseAnswer makes the next proposal commit with an unknown outcome.
	loseAnswer bool
	// cut makes proposals fail without being appended.
	cut bool
	// leaseLost is set while the leader is without its lease.
	leaseLost bool
}

func newFakeCluster(voters int) *fakeCluster {
	c := &fakeCluster{term: 1}
	for range voters {
		c.states = append(c.states, NewState())
	}
	return c
}

func (c *fakeCluster) elect(voter int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = voter
	c.term++
}

func (c *fakeCluster) setFaults(loseAnswer, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loseAnswer = loseAnswer
	c.cut = cut
}

func (c *fakeCluster) setLeaseLost(leaseLost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaseLost = leaseLost
}

// fakeLog is one voter's Log.
type fakeLog struct {
	c     *fakeCluster
	voter int
}

func voterID(i int) api.VoterID { return api.VoterID(rune('a' + i)) }

func (l *fakeLog) Propose(_ context.Context, command []byte) (any, error) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	if l.c.leader != l.voter {
		return nil, errs.New(errs.NotLeader, "propose", "", "not the leader")
	}
	if l.c.cut {
		return nil, errs.New(errs.Timeout, "propose", "", "no quorum")
	}
	l.c.index++
	var result any
	for i, s := range l.c.states {
		r := s.Apply(l.c.index, command)
		if i == l.voter {
			result = r
		}
	}
	if l.c.loseAnswer {
		l.c.loseAnswer = false
		return nil, errs.New(errs.Timeout, "propose", "", "outcome unknown")
	}
	return result, nil
}

func (l *fakeLog) ReadBarrier(context.Context) error {
	if !l.Status().Leading {
		return errs.New(errs.NotLeader, "read barrier", "", "not the leader")
	}
	return nil
}

func (l *fakeLog) Status() LogStatus {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	status := LogStatus{
		ID:      voterID(l.voter),
		Leader:  voterID(l.c.leader),
		Term:    l.c.term,
		Leading: l.c.leader == l.voter && !l.c.leaseLost,
		Applied: l.c.index,
	}
	for i := range l.c.states {
		role := "follower"
		if i == l.c.leader {
			role = "leader"
		}
		address := "127.0.0.1:" + string(rune('1'+i)) + "000"
		status.Voters = append(status.Voters, api.VoterStatus{ID: voterID(i), Address: address, Role: role, Match: l.c.index})
	}
	return status
}

// fixture is a cluster of services on a logical clock.
type fixture struct {
	*fakeCluster
	clock    *clock.Manual
	services []*Service
}

type option func(*Config)

func newFixture(options ...option) *fixture {
	f := &fixture{fakeCluster: newFakeCluster(3), clock: clock.NewManual(start)}
	for i := range f.states {
		cfg := Config{Log: &fakeLog{c: f.fakeCluster, voter: i}, State: f.states[i], Clock: f.clock}
		for _, o := range options {
			o(&cfg)
		}
		f.services = append(f.services, New(cfg))
	}
	return f
}

func (f *fixture) service() *Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[f.leader]
}

func (f *fixture) state() *State { return f.service().state }

// advance moves the clock and runs the duties of every voter.
func (f *fixture) advance(d time.Duration) {
	f.clock.Advance(d)
	for _, s := range f.services {
		s.tick(context.Background())
	}
}

func (f *fixture) renew(id api.EntryID, incarnation api.Incarnation) error {
	_, err := f.service().renew(context.Background(), api.RenewRequest{
		Entry:   entryInfo(id, incarnation),
		Applied: f.state().Revision(),
	})
	return err
}

func entryInfo(id api.EntryID, incarnation api.Incarnation) api.EntryInfo {
	return api.EntryInfo{
		ID:            id,
		Incarnation:   incarnation,
		Domain:        "cairo",
		CallerAddress: "127.0.0.1:8080",
		PeerAddress:   "127.0.0.1:9090",
	}
}

func servingGroup(name api.ServingGroupName) api.ServingGroup {
	return api.ServingGroup{Name: name, Model: "m-" + string(name), Replicas: 1, HostsPerReplica: 2}
}

// noWait ends every wait at once, because the logical clock does not advance on
// its own.
func noWait() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// configure plans and confirms an intent.
func (f *fixture) configure(t require.TestingT, in api.Intent) api.DecideResponse {
	planned, err := f.service().plan(ctx, api.PlanRequest{Operator: "amal", Intent: in})
	require.NoError(t, err)
	decided, err := f.service().decide(noWait(), api.DecideRequest{Operator: "amal", Plan: planned.Plan.ID, Confirm: true})
	require.NoError(t, err)
	return decided
}

// registrar stores handlers for calls with raw parameters.
type registrar map[api.Method]peer.Handler

func (r registrar) Handle(method api.Method, h peer.Handler) { r[method] = h }

func (r registrar) call(method api.Method, params any) (any, error) {
	raw, ok := params.(string)
	if !ok {
		data, err := json.Marshal(params)
		if err != nil {
			return nil, err
		}
		raw = string(data)
	}
	return r[method](context.Background(), bytes.Clone([]byte(raw)))
}

func requireCode(t *testing.T, code errs.Code, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, code, errs.CodeOf(err), "%v", err)
}
