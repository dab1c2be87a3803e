package pipeline

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// FuzzGeneration checks that a parsed body names a bounded model, and that a
// refusal names a field.
func FuzzGeneration(f *testing.F) {
	for _, seed := range []string{
		chatBody, `{"model":"m","prompt":"x"}`, `{"model":"m","messages":[{}],"stream":true}`, `{`, `[]`, `null`, ``,
		`{"model":"m","messages":"x"}`, `{"model":"m","messages":[`, `{"model":"m","prompt":[1,2],"max_tokens":1e3}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		kind := callCompletion
		if chat {
			kind = callChat
		}
		g, bad := parseGeneration(kind, body)
		if bad != nil {
			if bad.field == "" || bad.status != fasthttp.StatusBadRequest {
				t.Fatalf("refusal %+v", bad)
			}
			return
		}
		if g.model == "" || len(g.model) > maxModelBytes || len(g.blocks) > maxPrefixBlocks {
			t.Fatalf("parsed %+v", g)
		}
	})
}

// FuzzServicePath checks that the path which decides whether a call may be
// repeated is the path that the service reads.
func FuzzServicePath(f *testing.F) {
	for _, seed := range []string{
		"/services/ledger/deposits", "/services/ledger/a/../b", "/services/ledger/%2e%2e/x", "/services/ledger//x",
		"/services/ledger/quote%2Fx?y=/..", "/services/ledger", "/services//x", "/services/a/b;c", "/services/a/%zz",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, uri string) {
		var req fasthttp.Request
		raw := "POST " + uri + " HTTP/1.1\r\nHost: e\r\nContent-Length: 0\r\n\r\n"
		if strings.ContainsAny(uri, " \r\n") || req.Read(bufio.NewReader(bytes.NewBufferString(raw))) != nil {
			return
		}
		var ctx fasthttp.RequestCtx
		ctx.Init(&req, nil, nil)
		sc, bad := parseService(&ctx)
		if bad != nil {
			return
		}
		path, _, _ := strings.Cut(sc.path, "?")
		for segment := range strings.SplitSeq(strings.ToLower(path), "/") {
			segment = strings.ReplaceAll(segment, "%2e", ".")
			if segment == "." || segment == ".." || strings.Contains(segment, "%2f") {
				t.Fatalf("ambiguous path %q", sc.path)
			}
		}
		if strings.Count(path, "/") != strings.Count(sc.decoded, "/") {
			t.Fatalf("path %q is matched as %q", path, sc.decoded)
		}
	})
}
