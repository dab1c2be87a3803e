package local

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/standin"
)

const (
	stopModel   = "scribe"
	stopKey     = "key-of-the-counter"
	stopStreams = 4
	stopTokens  = 6000
	stopTimeout = time.Minute
)

// streamResult is the result of one stream.
type streamResult struct {
	answer caller.Answer
	err    error
}

// stopDuringStreams calls stop on a daemon that relays streams and returns an error
// if a stream was incomplete.
func stopDuringStreams(t *testing.T, adjust func(*config.Serve), stop func(*System, int)) error {
	t.Helper()
	s, err := Start(Config{
		Daemons: 2, Voters: 1, Domains: []api.FailureDomain{"east"}, Adjust: adjust,
		Fleet: standin.Config{Fabrics: 1, HostsPerFabric: 2, Engine: standin.Engine{ChecksFencing: true, ColdFactor: 1, Capabilities: standin.AllCapabilities}},
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	hash := sha256.Sum256([]byte(stopKey))
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_, _, err = s.Confirm(ctx, api.Intent{
		ServingGroups: []api.ServingGroup{{Name: stopModel, Model: stopModel, Replicas: 2, HostsPerReplica: 1, ChecksFencing: true, LoadBytes: 1 << 20}},
		Accounts:      []api.Account{{ID: "counter", KeyHashes: []string{hex.EncodeToString(hash[:])}, Share: stopStreams}},
		Domains:       []api.Domain{{Name: "east", State: api.DomainActive}},
	})
	require.NoError(t, err)
	_, err = s.Await(ctx, "replicas", func(status api.StatusResponse) bool {
		return ReadyGroups(status, stopModel) == 2 && LiveEntries(status) == 2
	})
	require.NoError(t, err)
	const stopping = 1
	ends := make(chan streamResult, stopStreams)
	for range stopStreams {
		go func() {
			a, err := caller.Pinned(stopKey, s.Entries()[stopping]).Chat(ctx, stopModel, "a lid", stopTokens)
			ends <- streamResult{a, err}
		}()
	}
	require.Eventually(t, func() bool { return len(s.Fleet.Runs()) >= stopStreams }, stopTimeout, time.Millisecond)
	stop(s, stopping)
	var cut error
	for range stopStreams {
		if end := <-ends; end.err != nil || !end.answer.IsComplete() || len(end.answer.Tokens) != stopTokens {
			cut = errors.Newf("cut: status %d, outcome %q, %d tokens, %v", end.answer.Status, end.answer.Outcome, len(end.answer.Tokens), end.err)
		}
	}
	return cut
}

func graceful(s *System, i int) { _ = s.Stop(i) }

// TestStopCutsNoStream checks that a graceful stop waits for the relayed streams.
func TestStopCutsNoStream(t *testing.T) {
	require.NoError(t, stopDuringStreams(t, nil, graceful))
}

func TestStopCheckDetectsCutStreams(t *testing.T) {
	for _, tc := range []struct {
		name   string
		adjust func(*config.Serve)
		stop   func(*System, int)
	}{
		{"shutdown does not wait for streams", func(s *config.Serve) { s.ShutdownTimeout = time.Nanosecond }, graceful},
		{"daemon is aborted", nil, func(s *System, i int) { s.Abort(i) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.ErrorContains(t, stopDuringStreams(t, tc.adjust, tc.stop), "cut")
		})
	}
}
