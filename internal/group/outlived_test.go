package group_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/group"
)

// lagging loses the answer of the first order to a host and holds the second.
type lagging struct {
	*rig
	host api.HostID
	sent []api.Order
	// shown is what the leader saw when it decided on the last of them.
	shown incarnations
}

func (s *lagging) Send(ctx context.Context, address string, o api.Order) (api.OrderResult, error) {
	if o.Host != s.host || len(s.sent) == 2 {
		return s.model.Send(ctx, address, o)
	}
	s.sent, s.shown = append(s.sent, o), shownIn(s.model.View())
	if len(s.sent) == 1 {
		_, _ = s.model.Send(ctx, address, o)
	}
	return api.OrderResult{}, errLost
}

// await runs the fleet until n orders were sent.
func (s *lagging) await(n int) {
	for range 50 {
		if len(s.sent) < n {
			s.step(tick)
		}
	}
	require.Len(s.t, s.sent, n)
}

// outlivedOrder lets a host load, restart before it announced its membership,
// and meet the repeat of the order. The leader decided on the repeat
// before it heard of the restart; heard makes the oracle believe that it knew.
// It returns the verdict of the oracle.
func outlivedOrder(t *testing.T, checks, heard bool) error {
	p := testPolicy()
	p.LoadRate, p.LoadBurst = 1<<30, 8<<30
	sg := scribe(1, 2)
	sg.ChecksFencing = checks
	r := newRig(t, p, sg)
	r.add("f1", "d1", 2, checks)
	h := r.host("f1-01")
	s := &lagging{rig: r, host: h.ID}
	r.rec = group.New(group.Config{Policy: p, Sender: s, Clock: r.model.Clock, Go: r.model.Go})
	s.await(1)
	r.model.Kill(h)
	s.await(2)
	require.Equal(t, s.sent[0], s.sent[1])
	r.model.Start(h)
	if heard {
		s.shown = shownIn(r.model.View())
	}
	loads := r.model.Loads
	if !checks {
		loads++
	}
	r.check.decidedOn = s.shown
	r.model.Deliver(h, s.sent[1])
	r.check.decidedOn = nil
	require.Equal(t, loads, r.model.Loads)
	r.run(time.Minute)
	require.Equal(t, 1, r.ready())
	return r.check.err
}

// TestOrderOutlivedByItsHost: a host that does not check fencing loads again by an
// order that was decided before the leader heard of the restart.
func TestOrderOutlivedByItsHost(t *testing.T) {
	require.NoError(t, outlivedOrder(t, false, false))
}

func TestOrderToKnownRestartIsCaught(t *testing.T) {
	require.ErrorContains(t, outlivedOrder(t, false, true), "loads 2 times")
}

// TestOrderOutlivedByHostThatChecks: a host that checks fencing does not.
func TestOrderOutlivedByHostThatChecks(t *testing.T) {
	require.NoError(t, outlivedOrder(t, true, false))
}
