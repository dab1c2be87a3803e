package standin

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
)

func TestStreamedCompletion(t *testing.T) {
	f := startFleet(t, nil)
	first := form(t, "g1", 1, f.Hosts()...)
	response, err := newClient(t).Do(t.Context(), chatRequest(first, "r1", streamBody))
	require.NoError(t, err)
	require.Equal(t, 200, response.Status)
	text, err := streamText(t, response.Stream)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, AnswerText("r1", 5), text)
	require.Eventually(t, func() bool { return f.Completed() == 1 }, waitFor, pollAt)

	runs := f.Runs()
	require.Len(t, runs, 1)
	require.Equal(t, api.GroupID("g1"), runs[0].Group)
	require.Equal(t, api.Fencing(1), runs[0].Granted)
	require.Equal(t, streamBody, runs[0].Body)
}

func TestPlainCompletion(t *testing.T) {
	f := startFleet(t, nil)
	first := form(t, "g1", 1, f.Hosts()...)
	client := newClient(t)
	response, err := client.Do(t.Context(), chatRequest(first, "r1", plainBody))
	require.NoError(t, err)
	var answer completionResponse
	require.NoError(t, json.Unmarshal(response.Body, &answer))
	require.Equal(t, AnswerText("r1", 5), answer.Choices[0].Message.Content)
	require.Equal(t, 5, answer.Usage.CompletionTokens)

	r := chatRequest(first, "r2", `{"model":"scribe","prompt":"hi","max_tokens":3}`)
	r.Path = pathCompletions
	response, err = client.Do(t.Context(), r)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(response.Body, &answer))
	require.Equal(t, AnswerText("r2", 3), *answer.Choices[0].Text)
}

func TestResumeContinuesExactly(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Fabrics = 2 })
	one := form(t, "g1", 1, f.Hosts()[:2]...)
	two := form(t, "g2", 1, f.Hosts()[2:]...)
	client := newClient(t)
	response, err := client.Do(t.Context(), chatRequest(one, "r1", streamBody))
	require.NoError(t, err)
	for range 2 {
		_, err = response.Stream.Next()
		require.NoError(t, err)
	}
	require.NoError(t, response.Stream.Close())

	r := chatRequest(two, "r1", streamBody)
	r.Offset = 2
	response, err = client.Do(t.Context(), r)
	require.NoError(t, err)
	text, err := streamText(t, response.Stream)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, AnswerText("r1", 5), AnswerText("r1", 2)+text)
}

// TestRefusals checks that invalid requests are rejected and not run.
func TestRefusals(t *testing.T) {
	f := startFleet(t, nil)
	form(t, "g1", 5, f.Hosts()...)
	cases := map[string]struct {
		host   int
		change func(*backend.Request)
		status int
	}{
		"old fencing":  {0, func(r *backend.Request) { r.Fencing = 4 }, 409},
		"other rank":   {1, func(*backend.Request) {}, 503},
		"other model":  {0, func(r *backend.Request) { r.Body = []byte(`{"model":"ledger"}`) }, 404},
		"malformed":    {0, func(r *backend.Request) { r.Body = []byte(`{`) }, 400},
		"unknown path": {0, func(r *backend.Request) { r.Path = "/v2" }, 404},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := chatRequest(f.Hosts()[c.host], "r1", plainBody)
			r.Fencing = 5
			c.change(&r)
			response, err := newClient(t).Do(t.Context(), r)
			require.NoError(t, err)
			require.Equal(t, c.status, response.Status)
		})
	}
	wrong := backend.NewClient(backend.Config{Token: "wrong"})
	defer wrong.Close()
	response, err := wrong.Do(t.Context(), chatRequest(f.Hosts()[0], "r1", plainBody))
	require.NoError(t, err)
	require.Equal(t, 401, response.Status)
	require.Empty(t, f.Runs())
}

func TestOrders(t *testing.T) {
	for name, checks := range map[string]bool{"checks fencing": true, "ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, func(c *Config) { c.Engine.ChecksFencing = checks })
			h := f.Hosts()[0]
			form(t, "g2", 9, h)
			client := newClient(t)
			late := api.Order{Version: 1, Kind: api.OrderAssign, Host: h.ID(), Group: "g1", Fencing: 4, Members: []api.HostID{h.ID()}, Model: testModel}
			result, err := client.Send(t.Context(), h.Address(), late)
			require.NoError(t, err)
			require.Equal(t, !checks, result.Accepted)
			require.Equal(t, api.Fencing(9), result.Fencing)
			group, _ := h.Membership()
			require.Equal(t, checks, group == "g2")

			release := api.Order{Version: 1, Kind: api.OrderRelease, Host: h.ID(), Group: group, Fencing: 10}
			for range 2 {
				result, err = client.Send(t.Context(), h.Address(), release)
				require.NoError(t, err)
				require.True(t, result.Accepted)
			}
			group, _ = h.Membership()
			require.Empty(t, group)
			require.Len(t, f.Orders(), 4)
		})
	}
}

func TestReassignedHostKeepsWeights(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Engine.LoadTime = time.Millisecond })
	h := f.Hosts()[0]
	form(t, "g1", 1, h)
	f.SetLoadTime(time.Hour)
	form(t, "g1", 2, h)
}

func TestLostMemberAbortsReplica(t *testing.T) {
	f := startFleet(t, nil)
	first := form(t, "g1", 1, f.Hosts()...)
	client := newClient(t)
	response, err := client.Do(t.Context(), chatRequest(first, "r1", longBody))
	require.NoError(t, err)
	_, err = response.Stream.Next()
	require.NoError(t, err)
	f.Hosts()[1].Kill()
	_, err = streamText(t, response.Stream)
	require.NotErrorIs(t, err, io.EOF)

	refused, err := client.Do(t.Context(), chatRequest(first, "r2", plainBody))
	require.NoError(t, err)
	require.Equal(t, 503, refused.Status)
	require.NoError(t, f.Hosts()[1].Restart())
	require.False(t, first.groupComplete())
}

func TestOverloadedColdEngineCrashes(t *testing.T) {
	f := startFleet(t, func(c *Config) { c.Engine.ColdLoad = 1 })
	h := f.Hosts()[0]
	form(t, "g1", 1, h)
	client := newClient(t)
	response, err := client.Do(t.Context(), chatRequest(h, "r1", longBody))
	require.NoError(t, err)
	_, err = response.Stream.Next()
	require.NoError(t, err)
	_, err = client.Do(t.Context(), chatRequest(h, "r2", plainBody))
	require.Error(t, err)
	_, err = streamText(t, response.Stream)
	require.NotErrorIs(t, err, io.EOF)
	require.Equal(t, 1, f.Falls())
	require.Eventually(t, func() bool { return h.Up() && h.Incarnation() == 2 }, waitFor, pollAt)
	group, _ := h.Membership()
	require.Empty(t, group)
	last := f.Runs()[1]
	require.Equal(t, 2, last.Concurrent)
	require.Equal(t, 1, last.Capacity)
}

func TestEngineWarmsAndTurnsCold(t *testing.T) {
	e := startEntry(t)
	f := startFleet(t, func(c *Config) {
		c.Entries = []string{e.address}
		c.Engine.WarmAfter = 2
	})
	h := f.Hosts()[0]
	form(t, "g1", 1, h)
	client := newClient(t)
	for _, id := range []api.RequestID{"r1", "r2"} {
		_, err := client.Do(t.Context(), chatRequest(h, id, plainBody))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return e.of(h.ID()).Warm }, waitFor, pollAt)
	require.Equal(t, DefaultWarmLoad, e.of(h.ID()).BearableLoad)
	h.TurnCold()
	require.Eventually(t, func() bool { return !e.of(h.ID()).Warm }, waitFor, pollAt)
	require.Equal(t, DefaultColdLoad, e.of(h.ID()).BearableLoad)
}

func TestBatchQueuesByPriority(t *testing.T) {
	b := newBatch(Engine{WarmLoad: 1, ColdLoad: 1, WarmAfter: 1}.withDefaults())
	b.warm = true
	jobs := []*job{newJob("a", 0), newJob("b", 1), newJob("c", 5), newJob("d", 5)}
	for _, j := range jobs {
		require.True(t, b.add(j))
	}
	order := make([]api.RequestID, 0, len(jobs))
	for range jobs {
		for j := range b.running {
			order = append(order, j.id)
			b.remove(j, true)
		}
	}
	require.Equal(t, []api.RequestID{"a", "c", "d", "b"}, order)
}

func TestBatchSlowsWithLoad(t *testing.T) {
	cfg := Engine{BatchFactor: 0.5, ColdFactor: 3, WarmLoad: 4, ColdLoad: 4}.withDefaults()
	b := newBatch(cfg)
	require.Equal(t, 3*time.Second, b.scale(time.Second))
	b.warm = true
	require.Equal(t, time.Second, b.scale(time.Second))
	for _, id := range []api.RequestID{"a", "b", "c"} {
		b.add(newJob(id, 0))
	}
	require.Equal(t, 2*time.Second, b.scale(time.Second))
}

func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(4)
	prompt := strings.Repeat("x", 3*BlockBytes)
	require.Equal(t, 0, c.visit(blockHashes(prompt)))
	require.Equal(t, 3, c.visit(blockHashes(prompt+"tail")))
	require.Equal(t, 1, c.visit(blockHashes(prompt[:BlockBytes]+strings.Repeat("y", 2*BlockBytes))))
	require.Len(t, c.items, 4)
	require.Empty(t, blockHashes("short"))
}

func TestCancelFreesEngine(t *testing.T) {
	f := startFleet(t, nil)
	h := form(t, "g1", 1, f.Hosts()...)
	client := newClient(t)
	response, err := client.Do(t.Context(), chatRequest(h, "r1", longBody))
	require.NoError(t, err)
	_, err = response.Stream.Next()
	require.NoError(t, err)
	require.NoError(t, client.Cancel(t.Context(), h.Address(), "r1"))
	_, err = streamText(t, response.Stream)
	require.Equal(t, errs.Internal, errs.CodeOf(err))
	require.ErrorContains(t, err, "canceled")
	err = client.Cancel(t.Context(), h.Address(), "r1")
	require.Equal(t, errs.NotFound, errs.CodeOf(err))
}

func TestPausedHostIsSilent(t *testing.T) {
	f := startFleet(t, nil)
	h := form(t, "g1", 1, f.Hosts()...)
	client := newClient(t)
	h.Pause()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, chatRequest(h, "r1", plainBody))
		done <- err
	}()
	cancel()
	require.Equal(t, errs.Timeout, errs.CodeOf(<-done))
	h.Resume()
	_, err := client.Do(t.Context(), chatRequest(h, "r2", plainBody))
	require.NoError(t, err)
}

func TestCrashingRequest(t *testing.T) {
	f := startFleet(t, nil)
	h := form(t, "g1", 1, f.Hosts()...)
	f.CrashOn("hello")
	_, err := newClient(t).Do(t.Context(), chatRequest(h, "r1", plainBody))
	require.Error(t, err)
	require.NotErrorIs(t, err, backend.ErrNotSent)
	require.Equal(t, 1, f.Falls())
}

// TestFaults checks what the client observes for each kind of fault.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		fault Fault
		is    error
		text  string
	}{
		"late":         {Fault{Kind: FaultLate, Delay: time.Millisecond}, io.EOF, AnswerText("r1", 5)},
		"swap answer":  {Fault{Kind: FaultSwapAnswer}, backend.ErrWrongAnswer, ""},
		"swap event":   {Fault{Kind: FaultSwapEvent, After: 2}, backend.ErrWrongAnswer, AnswerText("r1", 2)},
		"truncate":     {Fault{Kind: FaultTruncate, After: 2}, nil, AnswerText("r1", 2)},
		"repeat":       {Fault{Kind: FaultRepeat, After: 2}, backend.ErrMalformed, AnswerText("r1", 2)},
		"no end":       {Fault{Kind: FaultNoEnd, After: 2}, io.ErrUnexpectedEOF, AnswerText("r1", 2)},
		"without":      {Fault{}, io.EOF, AnswerText("r1", 5)},
		"next request": {Fault{Kind: FaultTruncate, Count: -1, After: 9}, io.EOF, AnswerText("r1", 5)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, nil)
			h := form(t, "g1", 1, f.Hosts()...)
			h.Inject(c.fault)
			response, err := newClient(t).Do(t.Context(), chatRequest(h, "r1", streamBody))
			text := ""
			if err == nil {
				text, err = streamText(t, response.Stream)
			}
			require.Equal(t, c.text, text)
			require.Error(t, err)
			if c.is != nil {
				require.ErrorIs(t, err, c.is)
			} else {
				require.NotErrorIs(t, err, io.EOF)
			}
		})
	}
}
