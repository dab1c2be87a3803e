package pipeline

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/shard"
)

// unlimitedGrants grants at once, without limit.
type unlimitedGrants struct{ grant api.Grant }

func (g unlimitedGrants) Acquire(context.Context, shard.Request) (api.Grant, error) {
	return g.grant, nil
}
func (unlimitedGrants) Valid(api.Grant) bool            { return true }
func (unlimitedGrants) Ended(api.Grant) <-chan struct{} { return nil }
func (unlimitedGrants) Settle(api.Grant, shard.Result)  {}
func (unlimitedGrants) Abandon(api.Grant)               {}

// BenchmarkChat measures the request path for one chat request with a prompt of
// 2 KB and an answer of 8 tokens, without a network.
func BenchmarkChat(b *testing.B) {
	h := newHarness(Settings{})
	h.server.cfg.Grants = unlimitedGrants{api.Grant{ID: "1", Group: "g1", Fencing: 3, Address: "engine1"}}
	events := tokens(0, 8)
	h.server.cfg.Backends = &directBackends{do: func() *backend.Response { return streamOf(&fakeStream{events: events}) }}
	body := `{"model":"scribe-1","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("a tin ", 340) + `"}]}`
	var req fasthttp.Request
	req.Header.SetMethod("POST")
	req.SetRequestURI("/v1/chat/completions")
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.SetBodyString(body)
	handler := h.server.Handler()
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		var ctx fasthttp.RequestCtx
		ctx.Init2(nopConn{}, nil, false)
		req.CopyTo(&ctx.Request)
		handler(&ctx)
		stream := ctx.Response.BodyStream()
		for {
			if _, err := stream.Read(buf); err == io.EOF {
				break
			}
		}
		_ = ctx.Response.CloseBodyStream()
	}
}

// directBackends answers without recording the requests.
type directBackends struct{ do func() *backend.Response }

func (d *directBackends) Do(context.Context, backend.Request) (*backend.Response, error) {
	return d.do(), nil
}
func (d *directBackends) Cancel(context.Context, string, api.RequestID) error { return nil }
