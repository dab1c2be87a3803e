package standin

import (
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

const (
	waitFor   = 10 * time.Second
	pollAt    = 2 * time.Millisecond
	testToken = "backend token"
	testModel = "scribe"
)

// fakeEntry accepts and records announcements.
type fakeEntry struct {
	address string

	mu            sync.Mutex
	entries       []string
	announcements map[api.HostID]api.Announcement
	faults        []string
}

func startEntry(t *testing.T) *fakeEntry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &fakeEntry{address: ln.Addr().String(), announcements: make(map[api.HostID]api.Announcement)}
	server := &fasthttp.Server{Handler: e.serve, CloseOnShutdown: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = server.Shutdown()
		<-done
	})
	return e
}

func (e *fakeEntry) serve(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, err := backend.DecodeAnnouncement(ctx.PostBody())
	if err != nil {
		e.faults = append(e.faults, err.Error())
	}
	if string(ctx.Request.Header.Peek("Authorization")) != "Bearer "+testToken {
		e.faults = append(e.faults, "wrong token")
	}
	e.announcements[a.Host] = a
	raw, _ := json.Marshal(api.AnnounceResponse{NextMillis: 10, Entries: e.entries})
	ctx.SetBody(raw)
}

// of returns the latest announcement of a host.
func (e *fakeEntry) of(id api.HostID) api.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announcements[id]
}

func (e *fakeEntry) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.announcements)
}

func startFleet(t *testing.T, change func(*Config)) *Fleet {
	t.Helper()
	cfg := Config{
		Token: testToken, Domains: []api.FailureDomain{"d0", "d1"}, Fabrics: 1, HostsPerFabric: 2,
		Engine: Engine{
			ChecksFencing: true, Capabilities: AllCapabilities, LoadTime: time.Millisecond,
			RestartTime: time.Millisecond, TokenTime: 100 * time.Microsecond, FirstToken: 100 * time.Microsecond,
		},
	}
	if change != nil {
		change(&cfg)
	}
	f, err := Start(cfg)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func newClient(t *testing.T) *backend.HTTPClient {
	t.Helper()
	c := backend.NewClient(backend.Config{Token: testToken})
	t.Cleanup(c.Close)
	return c
}

// form sends orders that assign the hosts to a group and waits until it is complete
// and loaded.
func form(t *testing.T, group api.GroupID, fencing api.Fencing, hosts ...*Host) *Host {
	t.Helper()
	client := newClient(t)
	ids := make([]api.HostID, 0, len(hosts))
	for _, h := range hosts {
		ids = append(ids, h.ID())
	}
	for rank, h := range hosts {
		result, err := client.Send(t.Context(), h.Address(), api.Order{
			Version: 1, Kind: api.OrderAssign, Host: h.ID(), Group: group, Fencing: fencing,
			Rank: rank, Members: ids, Model: testModel,
		})
		require.NoError(t, err)
		require.True(t, result.Accepted, result.Reason)
	}
	require.Eventually(t, hosts[0].groupComplete, waitFor, pollAt)
	return hosts[0]
}

func chatRequest(h *Host, id api.RequestID, body string) backend.Request {
	return backend.Request{
		ID: id, Address: h.Address(), Method: "POST", Path: pathChat, ContentType: "application/json",
		Body: []byte(body), Fencing: 1, Deadline: time.Now().Add(waitFor),
	}
}

const (
	streamBody = `{"model":"scribe","messages":[{"role":"user","content":"hello"}],"max_tokens":5,"stream":true}`
	plainBody  = `{"model":"scribe","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`
	longBody   = `{"model":"scribe","messages":[{"role":"user","content":"hello"}],"max_tokens":1000000,"stream":true}`
)

// streamText reads a stream to its end and returns its text and final error.
func streamText(t *testing.T, s backend.Stream) (string, error) {
	t.Helper()
	defer func() { _ = s.Close() }()
	text := ""
	for {
		ev, err := s.Next()
		if err != nil {
			return text, err
		}
		if ev.Done {
			continue
		}
		var chunk completionResponse
		require.NoError(t, json.Unmarshal(ev.Data, &chunk))
		text += chunk.Choices[0].Delta.Content
	}
}
