package e2e

import (
	"context"
	"fmt"
	"strings"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
)

// loadTokens is the length of each answer of a load.
const loadTokens = 32

// load is a number of callers that each send one request after another. Every
// token that they receive must belong to their own request.
type load struct {
	*caller.Load
	c *cluster
}

// startLoad starts the callers, which stop at the end of the test.
func (c *cluster) startLoad(callers int) *load {
	clients := make([]*caller.Client, callers)
	for i := range clients {
		clients[i] = caller.New(apiKey, c.addresses())
	}
	l := &load{c: c, Load: caller.StartLoad(callers, func(i, n int) (caller.Answer, error) {
		a, err := clients[i].Chat(context.Background(), model, fmt.Sprintf("prompt %d of %d", n, i), loadTokens)
		assert.True(c.t, strings.HasPrefix(standin.AnswerText(a.Request, loadTokens), a.Text()), "answer to another request: %q", a.Text())
		assert.True(c.t, err != nil || !a.IsComplete() || len(a.Tokens) == loadTokens, "%d tokens in a complete answer", len(a.Tokens))
		return a, err
	})}
	c.t.Cleanup(func() { l.Stop() })
	return l
}

// awaitRounds waits until each caller has ended n more requests, so that no
// earlier request is still running.
func (l *load) awaitRounds(n int64) {
	l.c.t.Helper()
	for i, before := range l.Callers() {
		require.Eventually(l.c.t, func() bool { return l.Callers()[i].Ended() >= before.Ended()+n }, waitTimeout, pollInterval, "requests of caller %d", i)
	}
}

// requireNoneCut stops the load and requires that some answers were complete,
// none cut and no outcome unknown.
func (l *load) requireNoneCut() {
	l.c.t.Helper()
	total := l.Stop()
	require.Positive(l.c.t, total.Complete)
	require.Zero(l.c.t, total.Cut+total.Unknown)
}

// awaitViews waits until the view of each daemon meets the condition.
func (c *cluster) awaitViews(what string, condition func(api.View) bool) {
	c.t.Helper()
	for _, p := range c.processes {
		require.Eventually(c.t, func() bool {
			dump, err := c.readDump(p)
			return err == nil && condition(dump.Entry.View)
		}, waitTimeout, pollInterval, "%s at %s", what, p.name)
	}
}

// generation is a replica with the members and fencing number of one
// generation.
type generation struct {
	id      api.GroupID
	fencing api.Fencing
	members []*standin.Host
}

// readyReplica returns the first ready replica of the leader's view.
func (c *cluster) readyReplica() generation {
	c.t.Helper()
	status := c.await("ready replica", func(s api.StatusResponse) bool { return readyGroups(s) > 0 })
	for _, g := range status.View.Groups {
		if g.Phase == api.GroupReady {
			return c.generation(g)
		}
	}
	panic("unreachable")
}

func (c *cluster) generation(g api.Group) generation {
	out := generation{id: g.ID, fencing: g.Fencing}
	for _, m := range g.Members {
		out.members = append(out.members, c.fleet.Host(m))
	}
	return out
}

// listed returns the group if the view has it as ready in this generation.
func (g generation) listed(v api.View) (api.Group, bool) {
	for _, other := range v.Groups {
		if other.ID == g.id && other.Fencing == g.fencing && other.Phase == api.GroupReady {
			return other, true
		}
	}
	return api.Group{}, false
}

// runsOfGeneration counts the requests that a replica ran in one generation.
func (c *cluster) runsOfGeneration(g generation) int {
	n := 0
	for _, run := range c.fleet.Runs() {
		if run.Group == g.id && run.Fencing == g.fencing {
			n++
		}
	}
	return n
}

// awaitWholeReplicas waits until all requested replicas are ready and their
// members hold the membership in the leader's view, each in one group only.
func (c *cluster) awaitWholeReplicas() {
	c.t.Helper()
	c.await("complete replicas", func(s api.StatusResponse) bool {
		if readyGroups(s) != c.replicas {
			return false
		}
		taken := make(map[api.HostID]bool)
		for _, g := range s.View.Groups {
			for _, m := range g.Members {
				group, fencing := c.fleet.Host(m).Membership()
				if taken[m] || group != g.ID || fencing != g.Fencing {
					return false
				}
				taken[m] = true
			}
		}
		return true
	})
}
