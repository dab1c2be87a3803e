package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
)

const (
	bookings     = "bookings"
	bookingTime  = 20 * time.Millisecond
	bookingsCold = 1
	bookingsWarm = 4
)

// TestColdServiceStaysWithinCapacity sends calls through every entry to a plain
// service whose cold servers have a capacity of one call, and kills or freezes
// the owner of their shards meanwhile. No server gets more than its capacity,
// and no call runs twice.
func TestColdServiceStaysWithinCapacity(t *testing.T) {
	for _, tc := range []struct {
		name   string
		signal syscall.Signal
	}{
		{"killed", syscall.SIGKILL},
		{"frozen", syscall.SIGSTOP},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startCluster(t, standin.Service{
				Name: bookings, PerDomain: 1, Time: bookingTime,
				ColdLoad: bookingsCold, WarmLoad: bookingsWarm, WarmAfter: 4,
			})
			in := intent(2)
			in.Services = append(in.Services, api.Service{Name: bookings})
			c.confirm(in)
			owner := c.ownerOf(api.ServiceShards(bookings))
			c.bookAll(0, 12)
			owner.signal(tc.signal)
			c.bookAll(12, 24)
			require.Zero(t, c.fleet.Falls())
			for _, run := range c.fleet.Runs() {
				if run.Capacity > 0 && run.Group == "" {
					require.LessOrEqual(t, run.Concurrent, run.Capacity, "run of %s on %s", run.Request, run.Host)
				}
			}
			for i := range 24 {
				require.LessOrEqual(t, c.fleet.RunsOfKey(bookings, fmt.Sprintf("b%d", i)), 1)
			}
		})
	}
}

// ownerOf waits until a shard has an owner and returns it.
func (c *cluster) ownerOf(name api.ServingGroupName) *process {
	c.t.Helper()
	var owner *process
	c.await("owner of "+string(name), func(s api.StatusResponse) bool {
		for _, lease := range s.View.Shards {
			if lease.Shard.ServingGroup == name {
				owner = c.process(string(lease.Owner))
				return true
			}
		}
		return false
	})
	return owner
}

// bookAll sends the calls first to last-1 concurrently, and repeats each until
// it is answered or may have run.
func (c *cluster) bookAll(first, last int) {
	c.t.Helper()
	var wg sync.WaitGroup
	for i := first; i < last; i++ {
		wg.Go(func() {
			client := caller.New(apiKey, c.addresses())
			require.Eventually(c.t, func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				answer, err := client.Service(ctx, http.MethodPost, bookings, "/trucks", fmt.Sprintf("b%d", i), []byte("{}"))
				return err == nil && answer.Outcome != api.OutcomeNotRun
			}, waitTimeout, pollInterval, "booking %d", i)
		})
	}
	wg.Wait()
}
