package pipeline

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/shard"
)

// viewUpdatingGrants applies a view at the entry while a call waits for its grant.
type viewUpdatingGrants struct {
	*fakeGrants
	view api.View
}

func (g viewUpdatingGrants) Acquire(ctx context.Context, r shard.Request) (api.Grant, error) {
	grant, err := g.fakeGrants.Acquire(ctx, r)
	g.state.Apply(g.view)
	return grant, err
}

func TestQuarantineIsRecheckedAfterTheGrant(t *testing.T) {
	for _, tc := range []struct {
		name  string
		until int64
		alone []bool
		runs  int
	}{
		{"suspect", 0, []bool{false, true}, 1},
		{"quarantined", time.Now().Add(time.Hour).UnixMilli(), []bool{false}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(Settings{})
			v := testView()
			v.Revision++
			path := "/v1/chat/completions"
			q := api.Quarantine{Fingerprint: fingerprint("nilecraft", []byte(path), []byte(chatBody)), Deaths: 1, UntilUnixMillis: tc.until}
			v.Quarantines = []api.Quarantine{q}
			h.server.cfg.Grants = viewUpdatingGrants{h.grants, v}
			h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
				return streamOf(&fakeStream{events: tokens(0, 1)}), nil
			}
			send(t, h.listen(t), http.MethodPost, path, testKey, chatBody)
			require.Equal(t, tc.alone, h.grants.alone)
			require.Equal(t, tc.runs, h.backends.runCount())
			require.Zero(t, h.grants.outstanding())
		})
	}
}
