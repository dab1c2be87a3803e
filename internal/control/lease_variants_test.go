package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
)

// dropLongerLease lets a renewal replace a longer lease with a shorter one.
func dropLongerLease(s *leaseSim) {
	for _, service := range s.services {
		service.extend = func(_, renewed time.Time) time.Time { return renewed }
		if lead := service.leading.Load(); lead != nil {
			lead.leases.extend = service.extend
		}
	}
}

// A leader that grants shorter leases must wait for the longer one that an
// entry may still hold, even if an earlier leader granted it.
func TestLeaseCheckerCatchesDroppedLongerLease(t *testing.T) {
	const intact = "none"
	variants := map[string]func(*leaseSim){
		intact:                            func(*leaseSim) {},
		"renewal replaces a longer lease": dropLongerLease,
		"new leader assumes the shortest lease": func(s *leaseSim) {
			for _, state := range s.states {
				state.counters.setLease(0)
			}
			s.elect(1)
		},
	}
	for name, breakIt := range variants {
		t.Run(name, func(t *testing.T) {
			s := newStretchSim(t)
			for range 3 {
				s.advance(time.Second)
				for _, e := range s.entries {
					require.NoError(t, s.keepAlive(e))
				}
			}
			require.Equal(t, 3, s.service().leading.Load().stretch.current())
			breakIt(s)
			last := s.entries[0]
			lead, err := s.service().lead(ctx)
			require.NoError(t, err)
			lead.stretch.raise(1)
			s.send(last)
			last.pending = nil
			s.advance(DefaultLeaseDuration + DefaultDriftMargin + time.Millisecond)
			for _, e := range s.entries[1:] {
				require.NoError(t, s.keepAlive(e))
			}
			s.confirm(1)
			for _, e := range s.entries[1:] {
				require.NoError(t, s.keepAlive(e))
			}
			s.resendConfirmations()
			require.True(t, last.mayWork(s.clock.Now()))
			require.Equal(t, name != intact, s.check() != nil)
		})
	}
}

// The fuzz test, and not only the directed cases below, finds each fault.
func TestLeaseFuzzFindsBrokenVariants(t *testing.T) {
	const stretched = "longer lease dropped"
	variants := map[string]func(*leaseSim){
		stretched: dropLongerLease,
		"lease from receipt": func(s *leaseSim) {
			for _, e := range s.entries {
				e.fromReceipt = true
			}
		},
		"resume on old shards": func(s *leaseSim) {
			for _, state := range s.states {
				state.guards.resume = func(*tx, *entryPutCommand, api.EntryInfo) error { return nil }
			}
		},
		"leader's lease too short": func(s *leaseSim) {
			for _, service := range s.services {
				service.cfg.DriftMargin = -2 * time.Second
			}
		},
	}
	for name, breakIt := range variants {
		t.Run(name, func(t *testing.T) {
			found := 0
			rapid.Check(t, func(t *rapid.T) {
				s := newLeaseSim(t, 3)
				if name == stretched {
					s = newStretchSim(t)
				}
				breakIt(s)
				if runLeases(t, s) != nil {
					found++
				}
			})
			require.NotZero(t, found)
			t.Logf("found in %d cases", found)
		})
	}
}

// join gives an entry the newest view and a fresh lease.
func (s *leaseSim) join(t require.TestingT, e *simEntry) {
	require.NoError(t, s.watch(e))
	s.send(e)
	s.receive(e)
	require.True(t, e.mayWork(s.clock.Now()))
}

func TestLeaseCheckerCatchesLeaseFromReceipt(t *testing.T) {
	for _, broken := range []bool{false, true} {
		s := newLeaseSim(t, 1)
		e := s.entries[0]
		e.fromReceipt = broken
		s.join(t, e)
		s.send(e)
		s.advance(DefaultLeaseDuration + DefaultDriftMargin)
		s.advance(time.Millisecond)
		s.confirm(1)
		require.NotZero(t, s.reportedInForce)
		s.receive(e)
		if broken {
			require.ErrorContains(t, s.check(), "in force is")
			continue
		}
		require.NoError(t, s.check())
	}
}

func TestLeaseCheckerCatchesEarlyShardMove(t *testing.T) {
	s := newLeaseSim(t, 2)
	s.join(t, s.entries[0])
	s.advance(time.Millisecond)
	s.join(t, s.entries[0])
	s.join(t, s.entries[1])
	id := api.ShardID{ServingGroup: "sg1", Domain: "cairo"}
	require.True(t, s.entries[0].owns(id))
	move := &shardsCommand{Assign: []api.ShardLease{{Shard: id, Owner: "e2"}}}
	_, err := propose[api.Empty](ctx, s.service(), move)
	require.Error(t, err, "the owner is live")
	for _, state := range s.states {
		state.guards.shardMove = func(*tx, api.ShardLease) error { return nil }
	}
	_, err = propose[api.Empty](ctx, s.service(), move)
	require.NoError(t, err)
	require.NoError(t, s.watch(s.entries[1]))
	require.ErrorContains(t, s.check(), "both own shard")
}

// An entry whose lease ran out must apply the moves of shards before it works
// again.
func TestLeaseCheckerCatchesResumeOnOldShards(t *testing.T) {
	for _, broken := range []bool{false, true} {
		s := newLeaseSim(t, 2)
		if broken {
			for _, state := range s.states {
				state.guards.resume = func(*tx, *entryPutCommand, api.EntryInfo) error { return nil }
			}
		}
		s.join(t, s.entries[0])
		s.advance(time.Millisecond)
		s.join(t, s.entries[0])
		s.advance(DefaultLeaseDuration)
		s.join(t, s.entries[1])
		s.advance(DefaultDriftMargin + time.Millisecond)
		require.NoError(t, s.watch(s.entries[1]))
		s.send(s.entries[0])
		s.receive(s.entries[0])
		if broken {
			require.ErrorContains(t, s.check(), "both own shard")
			continue
		}
		require.NoError(t, s.check())
		s.join(t, s.entries[0])
	}
}

// A leader that freezes after it observed the end of a lease, is replaced and
// leads again must not commit its earlier decision.
func TestLeaseCheckerCatchesExpiryOfAnOlderTerm(t *testing.T) {
	for _, broken := range []bool{false, true} {
		s := newLeaseSim(t, 2)
		if broken {
			for _, state := range s.states {
				state.guards.term = func(*tx, uint64) error { return nil }
			}
		}
		s.join(t, s.entries[0])
		s.advance(time.Millisecond)
		s.join(t, s.entries[0])
		frozen := s.service()
		lead := frozen.leading.Load()
		row, _ := s.state().entries.get("e1")
		s.elect(1)
		s.join(t, s.entries[0])
		s.join(t, s.entries[1])
		s.elect(0)
		_, err := frozen.lead(ctx)
		require.NoError(t, err)
		err = frozen.expireEntry(ctx, lead, row, false)
		require.Equal(t, !broken, err != nil)
		s.advance(time.Millisecond)
		require.NoError(t, s.watch(s.entries[1]))
		require.Equal(t, broken, s.check() != nil)
	}
}
