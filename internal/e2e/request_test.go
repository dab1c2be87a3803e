package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
	"github.com/crocusway/crocusway/internal/standin/network"
)

// shardOwner returns an owner of a shard, not the leader if possible, and
// another entry, which may own other shards.
func (c *cluster) shardOwner() (owner, other *process) {
	c.t.Helper()
	status := c.await("shards", func(s api.StatusResponse) bool { return len(s.View.Shards) > 0 })
	owner = c.process(string(status.View.Shards[0].Owner))
	for _, lease := range status.View.Shards {
		if lease.Owner != api.EntryID(status.Leader) {
			owner = c.process(string(lease.Owner))
		}
	}
	for _, p := range c.processes {
		if p != owner {
			other = p
		}
	}
	return owner, other
}

// startChats sends n streamed requests to one entry concurrently, and resends
// each while it is refused as not-run. The returned function waits for the
// answers.
func (c *cluster) startChats(entry *process, n, tokens int) func() ([]caller.Answer, []error) {
	client := caller.Pinned(apiKey, entry.callers)
	answers, failures := make([]caller.Answer, n), make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for began := time.Now(); time.Since(began) < waitTimeout; {
				answers[i], failures[i] = client.Chat(context.Background(), model, fmt.Sprintf("prompt %d", i), tokens)
				if answers[i].Outcome != api.OutcomeNotRun {
					return
				}
				<-time.After(pollInterval)
			}
		})
	}
	return func() ([]caller.Answer, []error) {
		wg.Wait()
		return answers, failures
	}
}

// requireWhole requires that every stream is complete with its own tokens.
func requireWhole(t *testing.T, answers []caller.Answer, failures []error, tokens int) {
	t.Helper()
	for i, a := range answers {
		require.NoError(t, failures[i])
		require.True(t, a.Whole(), "answer %d: %d tokens, outcome %q", i, len(a.Tokens), a.Outcome)
		require.Len(t, a.Tokens, tokens)
		require.Equal(t, standin.AnswerText(a.Request, tokens), a.Text())
	}
}

// requireNoOverload requires that no engine got more requests than its capacity
// and none crashed.
func (c *cluster) requireNoOverload() {
	c.t.Helper()
	for _, run := range c.fleet.Runs() {
		if run.Group != "" {
			require.LessOrEqual(c.t, run.Concurrent, run.Capacity, "run of %s on %s, group %s in generation %d", run.Request, run.Host, run.Group, run.Fencing)
		}
	}
	require.Zero(c.t, c.fleet.Falls())
}

// TestLostOwnerCutsNoStream kills or freezes the owner of a shard while another
// entry serves streams. Every stream ends complete, later requests are served,
// and no engine gets more than its capacity.
func TestLostOwnerCutsNoStream(t *testing.T) {
	for _, tc := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const tokens = 2500
			c := startCluster(t)
			c.serve(6)
			owner, other := c.shardOwner()
			before := len(c.fleet.Runs())
			wait := c.startChats(other, 6, tokens)
			require.Eventually(t, func() bool { return len(c.fleet.Runs()) >= before+6 }, waitTimeout, pollInterval)
			owner.signal(tc.signal)
			c.await("another owner", func(s api.StatusResponse) bool {
				for _, lease := range s.View.Shards {
					if string(lease.Owner) == owner.name {
						return false
					}
				}
				return true
			})
			answers, failures := wait()
			requireWhole(t, answers, failures, tokens)
			c.rejoin(owner, tc.signal)
			c.await("4 live entries", func(s api.StatusResponse) bool { return liveEntries(s) == 4 })
			c.awaitAnswer()
			c.requireNoOverload()
		})
	}
}

// TestLostEntryRunsNoCallTwice kills or freezes the entry that receives calls
// which may not be repeated. Resends through another entry must not run them
// again.
func TestLostEntryRunsNoCallTwice(t *testing.T) {
	for _, tc := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const calls = 24
			c := startCluster(t)
			c.serve(4)
			lost := c.processes[3]
			deposit := func(ctx context.Context, client *caller.Client, i int) (caller.Answer, error) {
				body := fmt.Appendf(nil, `{"deposit":%d}`, i)
				return client.Service(ctx, http.MethodPost, service, "/deposits", fmt.Sprintf("d%d", i), body)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var first sync.WaitGroup
			for i := range calls {
				first.Go(func() { _, _ = deposit(ctx, caller.Pinned(apiKey, lost.callers), i) })
			}
			require.Eventually(t, func() bool { return c.fleet.RunsOfKey(service, "d0") > 0 || len(c.fleet.Runs()) > calls/2 }, waitTimeout, pollInterval)
			lost.signal(tc.signal)
			other := caller.Pinned(apiKey, c.processes[0].callers)
			for i := range calls {
				a, err := deposit(context.Background(), other, i)
				require.NoError(t, err)
				runs := c.fleet.RunsOfKey(service, fmt.Sprintf("d%d", i))
				require.LessOrEqual(t, runs, 1)
				if a.Whole() {
					require.Equal(t, 1, runs)
				}
				if a.Outcome == api.OutcomeNotRun {
					require.Zero(t, runs, "call %d ran but was refused as not-run", i)
				}
			}
			c.rejoin(lost, tc.signal)
			cancel()
			first.Wait()
			c.await("4 live entries", func(s api.StatusResponse) bool { return liveEntries(s) == 4 })
			for i := range calls {
				require.LessOrEqual(t, c.fleet.RunsOfKey(service, fmt.Sprintf("d%d", i)), 1)
			}
		})
	}
}

// TestCrashingRequestIsQuarantined repeatedly sends a request that crashes its
// engine, beside innocent streams, which must end complete.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const tokens, poison, tries = 600, "crash this engine", 8
	c := startCluster(t)
	c.serve(6)
	c.fleet.CrashOn(poison)
	before := len(c.fleet.Runs())
	wait := c.startChats(c.processes[0], 8, tokens)
	require.Eventually(t, func() bool { return len(c.fleet.Runs()) >= before+8 }, waitTimeout, pollInterval)
	for i := range tries {
		a, err := caller.Pinned(apiKey, c.processes[i%4].callers).Chat(context.Background(), model, poison, 16)
		require.NoError(t, err)
		require.False(t, a.Whole())
	}
	answers, failures := wait()
	requireWhole(t, answers, failures, tokens)
	require.LessOrEqual(t, c.fleet.Falls(), 2, "a request must be quarantined after two crashes")
	a, err := c.caller.Chat(context.Background(), model, poison, 16)
	require.NoError(t, err)
	require.Equal(t, http.StatusUnprocessableEntity, a.Status)
	require.Equal(t, api.OutcomeNotRun, a.Outcome)
	c.awaitAnswer()
}

// TestCrashingRequestWithDelayedView sends a crashing request through an entry
// whose view is delayed, after the request failed through another entry. It
// must crash two replicas in all.
func TestCrashingRequestWithDelayedView(t *testing.T) {
	const poison, viewDelay = "crash this engine", 400 * time.Millisecond
	c := startCluster(t)
	c.serve(6)
	leader := c.leader()
	others := slices.DeleteFunc(slices.Clone(c.processes), func(p *process) bool { return p == leader })
	c.fleet.CrashOn(poison)
	c.network.Delay(viewDelay, network.Between(others[0].name, leader.name)...)
	send := func(p *process) caller.Answer {
		a, err := caller.Pinned(apiKey, p.callers).Chat(context.Background(), model, poison, 16)
		require.NoError(t, err)
		return a
	}
	require.False(t, send(others[1]).Whole())
	require.Equal(t, api.OutcomeNotRun, send(others[0]).Outcome)
	require.Equal(t, 2, c.fleet.Falls())
}

// TestColdReplicasStayWithinCapacity offers far more than the capacity of cold
// replicas, through all entries at once, right after the replicas became ready.
func TestColdReplicasStayWithinCapacity(t *testing.T) {
	c := startCluster(t)
	c.confirm(intent(6))
	c.await("ready replicas", func(s api.StatusResponse) bool { return readyGroups(s) == 6 })
	waits := make([]func() ([]caller.Answer, []error), 0, len(c.processes))
	for _, p := range c.processes {
		waits = append(waits, c.startChats(p, 32, 40))
	}
	for _, wait := range waits {
		answers, failures := wait()
		for i, a := range answers {
			require.NoError(t, failures[i])
			require.True(t, a.Whole() || a.Outcome == api.OutcomeNotRun, "answer %d: status %d, outcome %q", i, a.Status, a.Outcome)
		}
	}
	c.requireNoOverload()
}

// TestFailedDomainCutsNoStream kills every host of a failure domain while two
// entries serve streams.
func TestFailedDomainCutsNoStream(t *testing.T) {
	const tokens = 600
	c := startCluster(t)
	c.serve(6)
	before := len(c.fleet.Runs())
	waits := []func() ([]caller.Answer, []error){c.startChats(c.processes[1], 8, tokens), c.startChats(c.processes[3], 8, tokens)}
	require.Eventually(t, func() bool { return len(c.fleet.Runs()) >= before+16 }, waitTimeout, pollInterval)
	for _, h := range c.fleet.InDomain(domains[0]) {
		h.Kill()
	}
	for _, wait := range waits {
		answers, failures := wait()
		requireWhole(t, answers, failures, tokens)
	}
	c.awaitAnswer()
}

// TestLostLeaderRunsNoCallTwice kills the control leader, or cuts it off from
// the other daemons, during calls that may not be repeated. A call refused as
// not-run is sent again; none may run twice.
func TestLostLeaderRunsNoCallTwice(t *testing.T) {
	for _, tc := range []struct {
		name string
		lose func(c *cluster, leader *process)
	}{
		{"killed", func(_ *cluster, leader *process) { leader.signal(syscall.SIGKILL) }},
		{"cut off", func(c *cluster, leader *process) { c.network.Isolate(leader.name) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const calls = 40
			c := startCluster(t)
			c.serve(4)
			leader := c.leader()
			entry := c.processes[3]
			client := caller.Pinned(apiKey, entry.callers)
			var wg sync.WaitGroup
			var whole atomic.Int64
			for i := range calls {
				wg.Go(func() {
					if c.depositUntilDecided(client, i) {
						whole.Add(1)
					}
				})
				if i == calls/2 {
					tc.lose(c, leader)
				}
			}
			wg.Wait()
			require.Positive(t, whole.Load())
			for i := range calls {
				require.LessOrEqual(t, c.fleet.RunsOfKey(service, fmt.Sprintf("d%d", i)), 1, "call %d", i)
			}
		})
	}
}

// depositUntilDecided resends a call while it is refused as not-run, which must
// be true. A complete call must have run once. It reports whether the call was
// completed.
func (c *cluster) depositUntilDecided(client *caller.Client, i int) bool {
	key := fmt.Sprintf("d%d", i)
	body := fmt.Appendf(nil, `{"deposit":%d}`, i)
	for {
		a, err := client.Service(context.Background(), http.MethodPost, service, "/deposits", key, body)
		runs := c.fleet.RunsOfKey(service, key)
		switch {
		case err == nil && a.Whole():
			assert.Equal(c.t, 1, runs, "call %d", i)
			return true
		case err == nil && a.Outcome == api.OutcomeNotRun:
			assert.Zero(c.t, runs, "call %d ran but was refused as not-run", i)
		default:
			return false
		}
	}
}
