package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/daemon"
	"github.com/crocusway/crocusway/internal/standin/network"
)

// dump returns the state of a daemon.
func (c *cluster) dump(p *process) daemon.Dump {
	c.t.Helper()
	dump, err := c.readDump(p)
	require.NoError(c.t, err)
	return dump
}

// readDump returns the state of a process, or an error while it does not answer.
func (c *cluster) readDump(p *process) (daemon.Dump, error) {
	var dump daemon.Dump
	raw, err := c.client.Dump(p.callers)
	if err != nil {
		return dump, err
	}
	return dump, json.Unmarshal(raw, &dump)
}

// operatorsWithout makes the operators' client use all daemons but one.
func (c *cluster) operatorsWithout(p *process) {
	var others []string
	for _, o := range c.processes {
		if o != p {
			others = append(others, o.callers)
		}
	}
	c.client = ctl.NewClient(others, operatorToken, "amal")
}

// drainTanta returns the intent that drains the last failure domain.
func drainTanta() api.Intent {
	return api.Intent{Domains: []api.Domain{{Name: domains[2], State: api.DomainDrained}}}
}

// TestCutLeaderAcceptsNothing cuts the leader off from the other daemons while
// both sides keep running. Another leader takes over with every accepted
// change, the old one accepts nothing and, once the network is healed, catches
// up with what was accepted without it.
func TestCutLeaderAcceptsNothing(t *testing.T) {
	c := startCluster(t)
	c.serve(4)
	old := c.leader()
	before := c.await("revision", func(s api.StatusResponse) bool { return s.View.Revision > 0 }).View.Revision
	c.network.Isolate(old.name)
	cutOff := ctl.NewClient([]string{old.callers}, operatorToken, "amal")
	c.operatorsWithout(old)
	status := c.await("another leader", func(s api.StatusResponse) bool { return string(s.Leader) != old.name })
	require.GreaterOrEqual(t, status.View.Revision, before)
	_, err := cutOff.Plan(intent(5))
	require.Error(t, err)
	c.confirm(drainTanta())
	require.False(t, c.dump(old).Control.Log.Leading)
	applied := c.dump(c.leader()).Control.Log.Applied
	c.network.Heal()
	accepted := c.await("4 live entries", func(s api.StatusResponse) bool { return liveEntries(s) == 4 })
	require.Equal(t, api.DomainDrained, domainState(accepted, domains[2]))
	require.Eventually(t, func() bool {
		d := c.dump(old)
		return d.Control.Log.Applied >= applied && d.Entry.View.Revision >= accepted.View.Revision
	}, waitTimeout, pollInterval, "old leader follows")
	seen, err := cutOff.Status()
	require.NoError(t, err)
	require.Equal(t, api.DomainDrained, domainState(seen, domains[2]))
	c.awaitAnswer()
}

// TestLongCutVoterCatchesUpBySnapshot cuts a follower off for so many changes
// that the others compact the log entries that it lacks, so that it needs a
// snapshot.
func TestLongCutVoterCatchesUpBySnapshot(t *testing.T) {
	const changes = 400
	c := startCluster(t)
	leader := c.leader()
	cut := c.processes[0]
	if cut == leader {
		cut = c.processes[1]
	}
	c.operatorsWithout(cut)
	c.network.Isolate(cut.name)
	missed := c.dump(cut).Control.Log.Applied
	for i := range changes {
		c.confirm(shareIntent(i))
	}
	require.Greater(t, c.dump(leader).Control.Log.Compacted, missed, "the log still holds the entries that the voter lacks")
	accepted := c.dump(leader).Control.Log.Applied
	// Drop messages in transit, so that the voter can't catch up by them.
	c.network.Reset(network.Between(cut.name, c.network.Others(cut.name)...)...)
	c.network.Heal()
	after := c.await("4 live entries", func(s api.StatusResponse) bool { return liveEntries(s) == 4 })
	require.Equal(t, changes-1, share(after))
	require.Eventually(t, func() bool {
		return c.dump(cut).Control.Log.Applied >= accepted
	}, waitTimeout, pollInterval, "cut voter follows")
}

// TestCutEntryTakesNoWork cuts an entry off from all others, in one direction
// or in both. After its lease expires it refuses requests with the outcome
// not-run, a drained domain gets no work through it, and once the network is
// healed it serves again.
func TestCutEntryTakesNoWork(t *testing.T) {
	for _, tc := range []struct {
		name  string
		paths func(c *cluster, entry string) []network.Path
	}{
		{"nothing leaves it", func(c *cluster, entry string) []network.Path { return from(entry, c.network.Others(entry)) }},
		{"nothing reaches it", func(c *cluster, entry string) []network.Path { return to(entry, c.network.Others(entry)) }},
		{"both directions", func(c *cluster, entry string) []network.Path {
			return network.Between(entry, c.network.Others(entry)...)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startCluster(t)
			c.serve(6)
			cut := c.processes[3]
			client := caller.Pinned(apiKey, cut.callers)
			c.network.Cut(tc.paths(c, cut.name)...)
			decision := c.confirm(drainTanta())
			require.True(t, decision.InForce, "not yet in force at entries %v", decision.HeldOut)
			inTanta, all := c.runsIn(domains[2]), len(c.fleet.Runs())
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			for i := range 20 {
				a, err := client.Chat(ctx, model, fmt.Sprintf("prompt %d", i), 4)
				require.NoError(t, err)
				require.Equal(t, api.OutcomeNotRun, a.Outcome, "status %d", a.Status)
			}
			require.Len(t, c.fleet.Runs(), all)
			require.Eventually(t, func() bool {
				return announceTo(t, cut) == http.StatusServiceUnavailable
			}, waitTimeout, pollInterval, "the entry must refuse announcements, so that hosts use another entry")
			c.awaitAnswer()
			require.Equal(t, inTanta, c.runsIn(domains[2]))
			c.network.Heal()
			c.awaitAnswerOf(client)
			require.Equal(t, inTanta, c.runsIn(domains[2]))
		})
	}
}

// announceTo returns the status of a host's announcement to one entry.
func announceTo(t *testing.T, p *process) int {
	t.Helper()
	body, err := json.Marshal(api.Announcement{
		Version: api.AnnouncementVersion, Host: "late", Incarnation: 1, Sequence: 1,
		Address: "127.0.0.1:1", Kind: api.BackendEngine, Fabric: "f1", Domain: domains[0],
	})
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/v1/backends/announce", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+backendToken)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	return answer.StatusCode
}

// from and to return the paths out of and into a daemon.
func from(name string, others []string) []network.Path {
	paths := make([]network.Path, 0, len(others))
	for _, other := range others {
		paths = append(paths, network.Path{From: name, To: other})
	}
	return paths
}

func to(name string, others []string) []network.Path {
	paths := from(name, others)
	for i, p := range paths {
		paths[i] = network.Path{From: p.To, To: p.From}
	}
	return paths
}

// TestCutFromTheOwner cuts an entry off from the owner of the shard only. Its
// streams end complete. New requests are complete or refused as not-run without
// having run, and no engine gets more than its capacity.
func TestCutFromTheOwner(t *testing.T) {
	const tokens, later = 1500, 24
	c := startCluster(t)
	c.serve(6)
	owner, other := c.shardOwner()
	before := len(c.fleet.Runs())
	wait := c.startChats(other, 6, tokens)
	require.Eventually(t, func() bool { return len(c.fleet.Runs()) >= before+6 }, waitTimeout, pollInterval)
	c.network.Cut(network.Between(other.name, owner.name)...)
	during := len(c.fleet.Runs())
	refused := 0
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for i := range later {
		a, err := caller.Pinned(apiKey, other.callers).Chat(ctx, model, fmt.Sprintf("later %d", i), 4)
		require.NoError(t, err)
		require.True(t, a.IsComplete() || a.Outcome == api.OutcomeNotRun, "status %d, outcome %q", a.Status, a.Outcome)
		if !a.IsComplete() {
			refused++
		}
	}
	require.LessOrEqual(t, len(c.fleet.Runs())-during, later-refused, "a refused request ran")
	answers, failures := wait()
	requireWhole(t, answers, failures, tokens)
	c.awaitAnswer()
	c.network.Heal()
	c.awaitAnswerOf(caller.Pinned(apiKey, other.callers))
	c.requireNoOverload()
}

// TestConfirmWithLostAnswer loses the answer to a confirm on its way from the
// leader. A resend through another entry gets the first outcome; after another
// change a further resend does not apply the plan again.
func TestConfirmWithLostAnswer(t *testing.T) {
	c := startCluster(t)
	leader := c.leader()
	by := c.processes[3]
	c.operatorsWithout(by)
	plan, err := c.client.Plan(shareIntent(7))
	require.NoError(t, err)
	sender := ctl.NewClient([]string{by.callers}, operatorToken, "amal")
	_, err = sender.Plans()
	require.NoError(t, err)
	c.network.Cut(from(leader.name, []string{by.name})...)
	_, err = sender.Decide(plan.ID, true, 0)
	require.Error(t, err, "the answer was not lost")
	again, err := c.client.Decide(plan.ID, true, 0)
	require.NoError(t, err)
	require.Equal(t, api.PlanConfirmed, again.Plan.State)
	c.await("the change", func(s api.StatusResponse) bool { return share(s) == 7 })
	c.confirm(shareIntent(8))
	last, err := c.client.Decide(plan.ID, true, 0)
	require.NoError(t, err)
	require.Equal(t, again.Plan.Decided, last.Plan.Decided)
	require.Equal(t, 8, share(c.await("status", func(api.StatusResponse) bool { return true })))
}

// TestCutLeaderAndKilledEntry cuts the leader off and kills an entry while a
// third entry serves streams.
func TestCutLeaderAndKilledEntry(t *testing.T) {
	const tokens = 1500
	c := startCluster(t)
	c.serve(6)
	old, killed := c.leader(), c.processes[3]
	serving := c.processes[0]
	if serving == old {
		serving = c.processes[1]
	}
	before := len(c.fleet.Runs())
	wait := c.startChats(serving, 6, tokens)
	require.Eventually(t, func() bool { return len(c.fleet.Runs()) >= before+6 }, waitTimeout, pollInterval)
	c.network.Isolate(old.name)
	killed.signal(syscall.SIGKILL)
	c.operatorsWithout(old)
	c.await("another leader", func(s api.StatusResponse) bool { return string(s.Leader) != old.name })
	c.confirm(drainTanta())
	answers, failures := wait()
	requireWhole(t, answers, failures, tokens)
	c.awaitAnswerOf(caller.Pinned(apiKey, serving.callers))
	c.network.Heal()
	c.rejoin(killed, syscall.SIGKILL)
	status := c.await("4 live entries", func(s api.StatusResponse) bool { return liveEntries(s) == 4 })
	require.Equal(t, api.DomainDrained, domainState(status, domains[2]))
	c.awaitAnswer()
	c.requireNoOverload()
}

// awaitAnswerOf waits for a complete answer to one client.
func (c *cluster) awaitAnswerOf(client *caller.Client) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		a, err := client.Chat(ctx, model, "hello", 4)
		return err == nil && a.IsComplete()
	}, waitTimeout, pollInterval, "complete answer")
}
