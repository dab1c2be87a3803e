package shard

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// replicaUsage counts the concurrent requests on each replica.
type replicaUsage struct {
	mu      sync.Mutex
	current map[api.GroupID]int
	peak    int
}

func (u *replicaUsage) add(id api.GroupID, by int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.current[id] += by
	u.peak = max(u.peak, u.current[id])
}

// TestNoOvercommitWhileOwnersChange checks that no replica exceeds its limit
// while both entries send requests and the ownership of the shard moves between
// them.
func TestNoOvercommitWhileOwnersChange(t *testing.T) {
	const (
		limit   = 3
		workers = 8
		moves   = 12
	)
	_, entries := startEntries(t)
	groups := []api.Group{*warmGroup("g1", limit), *warmGroup("g2", limit)}
	apply(entries, viewOwnedBy("e1", 2, groups...))
	use := &replicaUsage{current: map[api.GroupID]int{}}
	var grants atomic.Int64
	progress := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for i := range workers {
		client := entries[[]string{"e1", "e2"}[i%2]].client
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				g, err := client.Acquire(ctx, grantRequest(fmt.Sprintf("r%d-%d", i, n), "a", 5*time.Second))
				if err != nil || !client.Valid(g) {
					continue
				}
				use.add(g.Group, 1)
				grants.Add(1)
				select {
				case progress <- struct{}{}:
				default:
				}
				use.add(g.Group, -1)
				client.Settle(g, Result{Outcome: api.OutcomeComplete})
			}
		})
	}
	for move := range moves {
		for range 50 {
			<-progress
		}
		apply(entries, viewOwnedBy([]string{"e2", "e1"}[move%2], api.Revision(3+move), groups...))
	}
	<-progress
	cancel()
	running.Wait()
	require.LessOrEqual(t, use.peak, limit)
	require.Greater(t, grants.Load(), int64(50*moves))
}
