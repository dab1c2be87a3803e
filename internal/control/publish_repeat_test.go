package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// gatedLog counts proposals of publications and holds them until the gate opens.
type gatedLog struct {
	Log
	gate      chan struct{}
	proposals atomic.Int64
}

func (l *gatedLog) Propose(ctx context.Context, command []byte) (any, error) {
	cmd, _, err := decodeCommand(command)
	if err != nil {
		return nil, err
	}
	if _, ok := cmd.(*publishCommand); ok {
		l.proposals.Add(1)
		<-l.gate
	}
	return l.Log.Propose(context.WithoutCancel(ctx), command)
}

func publishRequest(version uint64) api.PublishRequest {
	return api.PublishRequest{Publication: api.PackedPublication{Version: version}, Source: []byte("source")}
}

// TestResentPublicationIsProposedOnce resends a publication whose first call has timed
// out at the caller while it is still being replicated.
func TestResentPublicationIsProposedOnce(t *testing.T) {
	f := newFixture()
	log := &gatedLog{Log: f.service().log, gate: make(chan struct{})}
	f.service().log = log
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		answered := make(chan error, 1)
		go func() {
			_, err := f.service().publish(ctx, publishRequest(7))
			answered <- err
		}()
		require.Eventually(t, func() bool { return log.proposals.Load() > 0 }, time.Second, time.Millisecond)
		<-ctx.Done()
		cancel()
	}
	close(log.gate)
	response, err := f.service().publish(context.Background(), publishRequest(7))
	require.NoError(t, err)
	require.Equal(t, uint64(7), response.Stored)
	require.Equal(t, int64(1), log.proposals.Load())
	response, err = f.service().publish(context.Background(), publishRequest(5))
	require.NoError(t, err)
	require.Equal(t, uint64(7), response.Stored, "a superseded version is acknowledged")
	require.False(t, response.Changed)
	require.Equal(t, int64(1), log.proposals.Load())
}
