package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
)

// loadTokens is the length of each answer of a load.
const loadTokens = 32

// load is a number of callers that each send one request after the other. Every
// token that they get must belong to their own request.
type load struct {
	c       *cluster
	callers []loadCaller
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// loadCaller counts the requests of one caller by their end. Cut are those that
// are neither whole nor said not to have run.
type loadCaller struct {
	ended, whole, cut atomic.Int64
}

// startLoad starts the callers; their requests end within the test.
func (c *cluster) startLoad(callers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{c: c, callers: make([]loadCaller, callers), cancel: cancel}
	c.t.Cleanup(func() { l.stop() })
	for i := range callers {
		l.wg.Go(func() { l.run(ctx, i) })
	}
	return l
}

func (l *load) run(ctx context.Context, i int) {
	client := caller.New(apiKey, l.c.addresses())
	me := &l.callers[i]
	for n := 0; ctx.Err() == nil; n++ {
		a, err := client.Chat(context.Background(), model, fmt.Sprintf("prompt %d of %d", n, i), loadTokens)
		assert.True(l.c.t, strings.HasPrefix(standin.AnswerText(a.Request, loadTokens), a.Text()), "another's answer: %q", a.Text())
		switch {
		case err == nil && a.Whole():
			me.whole.Add(1)
			assert.Len(l.c.t, a.Tokens, loadTokens)
		case a.Outcome != api.OutcomeNotRun:
			me.cut.Add(1)
		}
		me.ended.Add(1)
	}
}

// rounds waits until each caller has ended n more requests, so that none is left
// that began before.
func (l *load) rounds(n int64) {
	l.c.t.Helper()
	for i := range l.callers {
		want := l.callers[i].ended.Load() + n
		require.Eventually(l.c.t, func() bool { return l.callers[i].ended.Load() >= want }, patience, poll, "requests of caller %d", i)
	}
}

// stop ends the load and returns the numbers of whole and of cut answers.
func (l *load) stop() (whole, cut int64) {
	l.cancel()
	l.wg.Wait()
	for i := range l.callers {
		whole += l.callers[i].whole.Load()
		cut += l.callers[i].cut.Load()
	}
	return whole, cut
}

// requireUncut ends the load and requires that it was served and nothing cut.
func (l *load) requireUncut() {
	l.c.t.Helper()
	whole, cut := l.stop()
	require.Positive(l.c.t, whole)
	require.Zero(l.c.t, cut)
}

// everywhere waits until the view of each daemon holds.
func (c *cluster) everywhere(what string, holds func(api.View) bool) {
	c.t.Helper()
	for _, p := range c.processes {
		require.Eventually(c.t, func() bool { return holds(c.dump(p).Entry.View) }, patience, poll, "%s at %s", what, p.name)
	}
}

// generation is one replica in one generation.
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

// listed returns the group if the view has it in this generation and ready.
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

// awaitWholeReplicas waits until all wanted replicas are ready and their members
// hold the membership that the view gives them, each in one group only.
func (c *cluster) awaitWholeReplicas() {
	c.t.Helper()
	c.await("whole replicas", func(s api.StatusResponse) bool {
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
