package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// newEntry starts an entry that lists only itself and handles chat requests with
// call.
func newEntry(t *testing.T, call http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc("/v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, list(address))
	})
	mux.HandleFunc("/v1/chat/completions", call)
	return address
}

func list(addresses ...string) string {
	items := make([]string, 0, len(addresses))
	for _, a := range addresses {
		items = append(items, fmt.Sprintf(`{"address":%q}`, a))
	}
	return `{"entries":[` + strings.Join(items, ",") + `],"ttl_seconds":5}`
}

func event(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", text)
}

func stream(events string, outcome api.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Trailer", api.HeaderOutcome)
		_, _ = fmt.Fprint(w, events)
		w.Header().Set(api.HeaderOutcome, string(outcome))
	}
}

func TestStreams(t *testing.T) {
	cases := []struct {
		name     string
		events   string
		outcome  api.Outcome
		text     string
		complete bool
	}{
		{"whole", event("a") + event("b") + "data: [DONE]\n\n", api.OutcomeComplete, "ab", true},
		{"no terminator", event("a"), api.OutcomeComplete, "a", false},
		{"terminator but unknown", event("a") + "data: [DONE]\n\n", api.OutcomeUnknown, "a", false},
		{"error event", event("a") + "event: error\ndata: {}\n\n", api.OutcomeUnknown, "a", false},
		{"empty", "", api.OutcomeComplete, "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := New("key", []string{newEntry(t, stream(c.events, c.outcome))})
			answer, err := client.Chat(context.Background(), "m", "hello", 4)
			require.NoError(t, err)
			require.Equal(t, c.text, answer.Text())
			require.Equal(t, c.complete, answer.IsComplete())
		})
	}
}

func TestClientFollowsHandover(t *testing.T) {
	to := newEntry(t, stream(event("a")+"data: [DONE]\n\n", api.OutcomeComplete))
	refusals := 0
	from := newEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		refusals++
		w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"entries":`+list(to)+`}`)
	})
	answer, err := New("key", []string{from}).Chat(context.Background(), "m", "hello", 4)
	require.NoError(t, err)
	require.True(t, answer.IsComplete())
	require.Equal(t, to, answer.Entry)
	require.Equal(t, 1, answer.Handovers)
	require.Equal(t, 1, refusals)
}

func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	calls := 0
	address := newEntry(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.Header().Set(api.HeaderOutcome, string(api.OutcomeUnknown))
		w.WriteHeader(http.StatusBadGateway)
		_, _ = fmt.Fprint(w, `{"entries":`+list("127.0.0.1:1")+`}`)
	})
	answer, err := New("key", []string{address}).Chat(context.Background(), "m", "hello", 4)
	require.NoError(t, err)
	require.Equal(t, api.OutcomeUnknown, answer.Outcome)
	require.Equal(t, 1, calls)
}
