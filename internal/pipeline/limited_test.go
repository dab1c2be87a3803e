package pipeline

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
)

// limitServers gives every server of the view a limited capacity.
func (h *harness) limitServers() {
	view := h.state.Snapshot().View
	view.Revision++
	view.Servers = append([]api.ServiceServer(nil), view.Servers...)
	for i := range view.Servers {
		view.Servers[i].Incarnation = 3
		view.Servers[i].BearableLoad = 1
	}
	shard := api.ShardID{ServingGroup: api.ServiceShards("ledger"), Domain: "east"}
	view.Shards = append(view.Shards, api.ShardLease{Shard: shard, Owner: "e1", Epoch: 1})
	h.state.Apply(view)
}

// TestLimitedServersNeedGrants checks how a call to a server with limited capacity
// ends, and whether its grant is settled or abandoned.
func TestLimitedServersNeedGrants(t *testing.T) {
	lost := errors.New("connection reset")
	for name, tc := range map[string]struct {
		answer    error
		grant     error
		status    int
		outcome   api.Outcome
		abandoned int
		settled   int
	}{
		"answered":        {nil, nil, 200, api.OutcomeComplete, 0, 1},
		"not sent":        {backend.ErrNotSent, nil, 503, api.OutcomeNotRun, 0, 2},
		"lost after send": {lost, nil, 502, api.OutcomeUnknown, 1, 0},
		"no slot":         {nil, errs.New(errs.Full, "acquire grant", "", "full"), 503, api.OutcomeNotRun, 0, 0},
		"no server":       {nil, errs.New(errs.Unavailable, "acquire grant", "", "none"), 503, api.OutcomeNotRun, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(Settings{})
			h.limitServers()
			h.grants.err = tc.grant
			h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
				if tc.answer != nil {
					return nil, tc.answer
				}
				return &backend.Response{Status: 200, Body: []byte("{}")}, nil
			}
			a := send(t, h.listen(t), "POST", "/services/ledger/deposits", testKey, "{}", api.HeaderIdempotencyKey, "k")
			require.Equal(t, tc.status, a.status, a.body)
			require.Equal(t, tc.outcome, a.outcome())
			require.Equal(t, tc.abandoned, h.grants.abandoned)
			require.Len(t, h.grants.settled, tc.settled)
			require.Zero(t, h.grants.outstanding())
			require.Empty(t, h.backends.cancelled, "a plain service has no cancel call")
		})
	}
}
