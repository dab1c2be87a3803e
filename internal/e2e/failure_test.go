package e2e

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/daemon"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/local"
)

func TestPathThroughSeparateProcesses(t *testing.T) {
	c := startCluster(t)
	c.serve(6)
	answer, err := c.caller.Chat(context.Background(), model, "draft a lid", 16)
	require.NoError(t, err)
	require.True(t, answer.IsComplete(), "%+v", answer)
	require.Len(t, answer.Tokens, 16)
	for range 2 {
		deposit, err := c.caller.Service(context.Background(), http.MethodPost, service, "/deposits", "d1", []byte(`{"amount":1}`))
		require.NoError(t, err)
		require.True(t, deposit.IsComplete(), "%+v", deposit)
	}
	require.Equal(t, 1, c.fleet.RunsOfKey(service, "d1"))
	reused, err := c.caller.Service(context.Background(), http.MethodPost, service, "/deposits", "d1", []byte(`{"amount":2}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusUnprocessableEntity, reused.Status)
	require.Equal(t, api.OutcomeNotRun, reused.Outcome)
}

// TestLeaderFailures kills or freezes the leader and requires that accepted
// changes stay, new ones are accepted and calls are answered.
func TestLeaderFailures(t *testing.T) {
	cases := []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := startCluster(t)
			c.serve(4)
			old := c.leader()
			before := c.await("revision", func(s api.StatusResponse) bool { return s.View.Revision > 0 }).View.Revision
			old.signal(tc.signal)
			status := c.await("another leader", func(s api.StatusResponse) bool { return string(s.Leader) != old.name })
			require.GreaterOrEqual(t, status.View.Revision, before)
			c.operatorsWithout(old)
			c.confirm(api.Intent{Domains: []api.Domain{{Name: domains[2], State: api.DomainDrained}}})
			c.awaitAnswer()
			c.rejoin(old, tc.signal)
			status = c.await("4 live entries", func(s api.StatusResponse) bool { return liveEntries(s) == 4 })
			require.Equal(t, api.DomainDrained, domainState(status, domains[2]))
		})
	}
}

func (c *cluster) rejoin(p *process, by syscall.Signal) {
	c.t.Helper()
	if by == syscall.SIGSTOP {
		p.signal(syscall.SIGCONT)
		return
	}
	<-p.Exited()
	p.start()
}

func domainState(s api.StatusResponse, name api.FailureDomain) api.DomainState {
	for _, d := range s.View.Domains {
		if d.Name == name {
			return d.State
		}
	}
	return ""
}

// TestChangeInForceDespiteFrozenEntry freezes an entry: a change is in force
// once the entry's lease has expired, and the entry applies it after it
// resumes.
func TestChangeInForceDespiteFrozenEntry(t *testing.T) {
	c := startCluster(t)
	c.serve(4)
	frozen := c.processes[3]
	frozen.signal(syscall.SIGSTOP)
	decision := c.confirm(api.Intent{Domains: []api.Domain{{Name: domains[2], State: api.DomainDrained}}})
	require.True(t, decision.InForce, "not yet in force at entries %v", decision.HeldOut)
	frozen.signal(syscall.SIGCONT)
	c.await("4 live entries", func(s api.StatusResponse) bool { return liveEntries(s) == 4 })
	c.awaitAnswer()
}

// TestVoterWithLostDataFolderRejoins removes the data folder of a voter. The
// voter must not vote without the promises it lost; it returns as a learner and
// becomes a voter again.
func TestVoterWithLostDataFolderRejoins(t *testing.T) {
	c := startCluster(t)
	c.serve(4)
	lost := c.processes[0]
	lost.kill()
	require.NoError(t, os.RemoveAll(lost.dataDir))
	lost.start()
	require.Eventually(t, func() bool { return c.appliedAt(lost) > 0 }, waitTimeout, pollInterval, "log of the lost voter")
	c.await("voter again", func(s api.StatusResponse) bool {
		for _, v := range s.Voters {
			if string(v.ID) == lost.name {
				return v.Role == "follower" && liveEntries(s) == 4
			}
		}
		return false
	})
	c.processes[1].kill()
	c.confirm(api.Intent{Domains: []api.Domain{{Name: domains[2], State: api.DomainDrained}}})
}

// appliedAt returns the last log index that a voter has applied, 0 if it does
// not answer.
func (c *cluster) appliedAt(p *process) uint64 {
	dump, err := c.readDump(p)
	if err != nil {
		return 0
	}
	return dump.Control.Log.Applied
}

func TestConcurrentConfirmsConflict(t *testing.T) {
	c := startCluster(t)
	c.serve(2)
	plans := make([]api.Plan, 0, 2)
	for _, n := range []int{3, 4} {
		plan, err := c.client.Plan(intent(n))
		require.NoError(t, err)
		plans = append(plans, plan)
	}
	require.Equal(t, plans[0].Base, plans[1].Base)
	failures := make([]error, len(plans))
	var wg sync.WaitGroup
	for i, p := range plans {
		wg.Go(func() { _, failures[i] = c.client.Decide(p.ID, true, time.Second) })
	}
	wg.Wait()
	conflicts := 0
	for i, err := range failures {
		if err == nil {
			again, err := c.client.Decide(plans[i].ID, true, time.Second)
			require.NoError(t, err)
			require.Equal(t, api.PlanConfirmed, again.Plan.State)
			continue
		}
		require.Equal(t, errs.Conflict, errs.CodeOf(err), "%v", err)
		conflicts++
	}
	require.Equal(t, 1, conflicts)
}

func TestSecondInstanceIsRefused(t *testing.T) {
	c := startCluster(t)
	p := c.processes[0]
	var log bytes.Buffer
	second := &local.Process{Name: p.name, Program: binary, Settings: maps.Clone(p.Settings), Log: &log}
	second.Settings["peer-listen"] = "127.0.0.1:0"
	second.Settings["caller-listen"] = "127.0.0.1:0"
	require.NoError(t, second.Start())
	<-second.Exited()
	require.False(t, second.Succeeded())
	require.Contains(t, log.String(), "in use by another instance")
}

// TestGracefulStopCutsNoStream stops a daemon that serves streams, also the
// control leader. Every stream that it accepted must end complete.
func TestGracefulStopCutsNoStream(t *testing.T) {
	cases := []struct {
		name   string
		choose func(c *cluster) *process
	}{
		{"entry", func(c *cluster) *process { return c.processes[3] }},
		{"leader", func(c *cluster) *process { return c.leader() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			const tokens = 200
			c := startCluster(t)
			c.serve(6)
			stopping := tc.choose(c)
			before := len(c.fleet.Runs())
			wait := c.startChats(stopping, 8, tokens)
			require.Eventually(t, func() bool { return len(c.fleet.Runs()) >= before+8 }, waitTimeout, pollInterval)
			stopping.signal(syscall.SIGTERM)
			answers, failures := wait()
			<-stopping.Exited()
			require.True(t, stopping.Succeeded(), c.local.LogTail(stopping.name, logTail))
			requireWhole(t, answers, failures, tokens)
			c.awaitAnswer()
		})
	}
}

// TestFullRestartKeepsChanges kills every daemon after hundreds of changes.
// They must restart with the newest accepted one.
func TestFullRestartKeepsChanges(t *testing.T) {
	const changes = 400
	c := startCluster(t)
	for i := range changes {
		c.confirm(shareIntent(i))
	}
	before := c.await("newest change", func(s api.StatusResponse) bool { return share(s) == changes-1 })
	for _, p := range c.processes {
		p.kill()
	}
	for _, p := range c.processes {
		p.start()
	}
	after := c.await("4 live entries", func(s api.StatusResponse) bool { return liveEntries(s) == 4 })
	require.Equal(t, changes-1, share(after))
	require.GreaterOrEqual(t, after.View.Revision, before.View.Revision)
	for _, p := range c.processes {
		// The restored state still lists the entries as live, so that an entry
		// may not have read its view yet. It must never have an older view, nor
		// work without one.
		var dump daemon.Dump
		require.Eventually(t, func() bool {
			next, err := c.readDump(p)
			if err != nil {
				return false
			}
			dump = next
			return dump.Entry.View.Revision > 0 || dump.Entry.MayWork
		}, waitTimeout, pollInterval, "view of %s", p.name)
		require.GreaterOrEqual(t, dump.Entry.View.Revision, before.View.Revision, p.name)
		if dump.Control != nil {
			require.Positive(t, dump.Control.Log.Compacted, "%s did not restore a snapshot", p.name)
		}
	}
}

// shareIntent sets the share of the one account.
func shareIntent(n int) api.Intent {
	return api.Intent{Accounts: []api.Account{{ID: "counter", KeyHashes: []string{keyHash()}, Share: n}}}
}

func share(s api.StatusResponse) int {
	if len(s.View.Accounts) != 1 {
		return -1
	}
	return s.View.Accounts[0].Share
}

// TestDrainUnderLoad drains a failure domain while callers stream. No answer
// may be cut, and no engine of the domain may get a request once the drain is
// in force.
func TestDrainUnderLoad(t *testing.T) {
	const loads = 6
	c := startCluster(t)
	c.serve(6)
	drained := domains[2]
	load := c.startLoad(loads)
	require.Eventually(t, func() bool { return c.runsIn(drained) > loads }, waitTimeout, pollInterval)
	decision := c.confirm(api.Intent{Domains: []api.Domain{{Name: drained, State: api.DomainDrained}}})
	require.True(t, decision.InForce, "not yet in force at entries %v", decision.HeldOut)
	before, all := c.runsIn(drained), len(c.fleet.Runs())
	require.Eventually(t, func() bool { return len(c.fleet.Runs()) > all+100 }, waitTimeout, pollInterval)
	require.Equal(t, before, c.runsIn(drained))
	load.requireNoneCut()
	c.await("calls counted while the domain was drained", func(s api.StatusResponse) bool { return s.Measures.Service.Served > 0 })
	for i, tally := range load.Callers() {
		require.Positive(t, tally.Complete, "caller %d", i)
	}
}

// runsIn counts the requests that engines of a failure domain ran.
func (c *cluster) runsIn(domain api.FailureDomain) int {
	n := 0
	for _, run := range c.fleet.Runs() {
		if run.Group != "" && c.fleet.Host(run.Host).Domain() == domain {
			n++
		}
	}
	return n
}
