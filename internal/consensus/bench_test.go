package consensus_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/storage"
)

// discardMachine is a state machine without state.
type discardMachine struct{}

func (discardMachine) Apply(uint64, []byte) any  { return nil }
func (discardMachine) Snapshot() ([]byte, error) { return []byte{0}, nil }
func (discardMachine) Restore([]byte) error      { return nil }

// BenchmarkCommit commits commands of 100 bytes on three voters with real files
// and a real timer, for several numbers of concurrent proposers.
func BenchmarkCommit(b *testing.B) {
	for _, proposers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) { benchmarkCommit(b, proposers) })
	}
}

func benchmarkCommit(b *testing.B, proposers int) {
	net := &network{servers: map[api.VoterID]*consensus.Server{}, isolated: map[api.VoterID]bool{}}
	var members consensus.Membership
	for i := range 3 {
		id := api.VoterID(fmt.Sprintf("v%d", i+1))
		members.Members = append(members.Members, consensus.Member{ID: id, Incarnation: consensus.BootstrapIncarnation})
	}
	for i, m := range members.Members {
		store, err := storage.Open(b.TempDir(), storage.Options{Voter: m.ID, Bootstrap: true})
		require.NoError(b, err)
		server, err := consensus.NewServer(consensus.ServerConfig{
			ID: m.ID, Incarnation: m.Incarnation, Bootstrap: members, Store: store,
			Transport: networkTransport{net, m.ID}, StateMachine: discardMachine{}, Seed: uint64(i + 1),
		})
		require.NoError(b, err)
		net.mu.Lock()
		net.servers[m.ID] = server
		net.mu.Unlock()
		server.Start()
		b.Cleanup(func() {
			server.Stop()
			require.NoError(b, store.Close())
		})
	}
	lead := waitForLeader(b, net)
	command := make([]byte, 100)
	b.ResetTimer()
	start := time.Now()
	var wg sync.WaitGroup
	for p := range proposers {
		wg.Go(func() {
			for range (b.N + p) / proposers {
				if _, err := lead.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "commits/s")
}

func waitForLeader(tb testing.TB, net *network) *consensus.Server {
	var lead *consensus.Server
	require.Eventually(tb, func() bool {
		net.mu.Lock()
		defer net.mu.Unlock()
		for _, s := range net.servers {
			if s.Status().Leading {
				lead = s
				return true
			}
		}
		return false
	}, 30*time.Second, 10*time.Millisecond)
	return lead
}
