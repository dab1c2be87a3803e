package group_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/group"
)

// lossySender loses the answer to the first order to a host, and the second order.
type lossySender struct {
	*rig
	host api.HostID
	sent []api.Order
	// shown holds the incarnations in the view when the last of them was sent.
	shown incarnations
}

func (s *lossySender) Send(ctx context.Context, address string, o api.Order) (api.OrderResult, error) {
	if o.Host != s.host || len(s.sent) == 2 {
		return s.model.Send(ctx, address, o)
	}
	s.sent, s.shown = append(s.sent, o), incarnationsIn(s.model.View())
	if len(s.sent) == 1 {
		_, _ = s.model.Send(ctx, address, o)
	}
	return api.OrderResult{}, errLost
}

// await runs the fleet until n orders were sent.
func (s *lossySender) await(n int) {
	for range 50 {
		if len(s.sent) < n {
			s.step(tick)
		}
	}
	require.Len(s.t, s.sent, n)
}

// orderAfterRestart lets a host load, restart before it announced its membership and
// receive a repeat of the order, which the leader decided on before it learned of the
// restart. restartKnown makes the checker assume that the leader knew of it. It returns
// the first violation that the checker found.
func orderAfterRestart(t *testing.T, checks, restartKnown bool) error {
	p := testPolicy()
	p.LoadRate, p.LoadBurst = 1<<30, 8<<30
	sg := scribe(1, 2)
	sg.ChecksFencing = checks
	r := newRig(t, p, sg)
	r.add("f1", "d1", 2, checks)
	h := r.host("f1-01")
	s := &lossySender{rig: r, host: h.ID}
	r.rec = group.New(group.Config{Policy: p, Sender: s, Clock: r.model.Clock, Go: r.model.Go})
	s.await(1)
	r.model.Kill(h)
	s.await(2)
	require.Equal(t, s.sent[0], s.sent[1])
	r.model.Start(h)
	if restartKnown {
		s.shown = incarnationsIn(r.model.View())
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

// TestLateOrderAfterRestart checks that a host that does not check fencing may load
// again by an order that was decided before the leader learned of the restart.
func TestLateOrderAfterRestart(t *testing.T) {
	require.NoError(t, orderAfterRestart(t, false, false))
}

func TestLateOrderAfterKnownRestartIsDetected(t *testing.T) {
	require.ErrorContains(t, orderAfterRestart(t, false, true), "loads 2 times")
}

// TestLateOrderAfterRestartWithFencing checks that a host that checks fencing does not.
func TestLateOrderAfterRestartWithFencing(t *testing.T) {
	require.NoError(t, orderAfterRestart(t, true, false))
}
