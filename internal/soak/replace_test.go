package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// catchUp is the time from the start of a successor after which the control daemon that it
// replaces no longer counts as lost.
const catchUp = 4 * time.Second

// newControls returns three control daemons that are not started yet.
func newControls(t *testing.T, binary string, network int) (*system, *operator) {
	t.Helper()
	dir := t.TempDir()
	s := &system{
		cfg:    Config{Binary: binary, Network: testNetwork + 250 + 250*network + os.Getpid()%250, Controls: 3, Dir: dir},
		oracle: newOracle(), network: newNetwork(),
	}
	t.Cleanup(s.network.close)
	require.NoError(t, s.build())
	t.Cleanup(func() {
		for _, d := range s.daemons {
			if t.Failed() {
				raw, _ := os.ReadFile(filepath.Join(d.dir, "log"))
				t.Logf("log of %s:\n%s", d.name, raw)
			}
			if d.cmd != nil {
				d.kill()
			}
		}
	})
	return s, newOperator(s)
}

// startControls starts three control daemons with a first configuration.
func startControls(t *testing.T, binary string, network int) (*system, *operator) {
	t.Helper()
	s, o := newControls(t, binary, network)
	for _, d := range s.daemons {
		require.NoError(t, d.start())
	}
	s.requireChange(t, o, startTime)
	return s, o
}

// requireChange publishes a configuration that has to be acknowledged in time.
func (s *system) requireChange(t *testing.T, o *operator, limit time.Duration) {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 1))
	version, text := o.document(r, 0)
	require.True(t, o.publish(context.Background(), r, version, text, time.Now().Add(limit)),
		"version %d was not acknowledged within %s", version, limit)
	require.Eventually(t, func() bool { return o.read(context.Background(), r) == version }, limit, 10*time.Millisecond)
}

// successor starts an empty control daemon on a new address.
func (s *system) successor(t *testing.T, zone string) *daemon {
	t.Helper()
	n := len(s.daemons)
	name := fmt.Sprintf("%s-%d", roleControl, n+1)
	d := &daemon{
		name: name, role: roleControl, ip: s.ip(hostControls + n), zone: zone, dir: filepath.Join(s.cfg.Dir, name),
		binary: s.cfg.Binary, oracle: s.oracle,
	}
	require.NoError(t, s.network.forward(d.address(portPeer), d.address(portListen)))
	require.NoError(t, d.writeSettings(s.seeds))
	require.NoError(t, d.start())
	s.daemons = append(s.daemons, d)
	return d
}

// A control daemon that was replaced still counted as a voter, so that one more loss
// stopped control for good.
func TestControlBearsALossOnceAVoterIsReplaced(t *testing.T) {
	binary := buildBinary(t)
	for i, c := range []struct {
		name string
		// planned starts the successor first and then stops the old daemon by SIGTERM;
		// otherwise the old one is killed first.
		planned bool
		// leader replaces the leader, otherwise a follower.
		leader bool
		// next selects which of the two others is lost then.
		next int
	}{
		{"planned, leader, first", true, true, 0},
		{"planned, leader, second", true, true, 1},
		{"planned, follower, first", true, false, 0},
		{"planned, follower, second", true, false, 1},
		{"unplanned, leader, first", false, true, 0},
		{"unplanned, leader, second", false, true, 1},
		{"unplanned, follower, first", false, false, 0},
		{"unplanned, follower, second", false, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s, o := startControls(t, binary, i)
			require.Eventually(t, func() bool { return s.leader() != nil }, startTime, 10*time.Millisecond)
			old := s.leader()
			if !c.leader {
				old = s.without(old)[0]
			}
			others := s.without(old)
			if c.planned {
				s.successor(t, old.zone)
				time.Sleep(catchUp)
				old.signal(syscall.SIGTERM)
				<-old.ended()
			} else {
				old.kill()
				s.successor(t, old.zone)
				time.Sleep(catchUp)
			}
			others[c.next].kill()
			s.requireChange(t, o, recovery)
			requireNoFindings(t, s.oracle)
		})
	}
}

// without returns the control daemons except one.
func (s *system) without(d *daemon) []*daemon {
	return slices.DeleteFunc(slices.Clone(s.daemons), func(other *daemon) bool { return other == d })
}

// A first start of which one control daemon was lost for good never came to an end.
func TestFirstStartBearsALoss(t *testing.T) {
	binary := buildBinary(t)
	for i, after := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			s, o := newControls(t, binary, 10+i)
			for _, d := range s.daemons {
				require.NoError(t, d.start())
			}
			time.Sleep(after)
			lost := s.daemons[2]
			lost.kill()
			time.Sleep(time.Second)
			successor := s.successor(t, lost.zone)
			s.requireChange(t, o, recovery)
			time.Sleep(time.Until(successor.started.Add(catchUp)))
			s.daemons[1].kill()
			s.requireChange(t, o, recovery)
			requireNoFindings(t, s.oracle)
		})
	}
}

// A voter that was put out while it was only paused must not be missing at the next loss.
func TestPausedVoterTakesTheNextSeat(t *testing.T) {
	s, o := startControls(t, buildBinary(t), 8)
	require.Eventually(t, func() bool { return s.leader() != nil }, startTime, 10*time.Millisecond)
	others := s.without(s.leader())
	paused, next := others[0], others[1]
	successor := s.successor(t, paused.zone)
	time.Sleep(catchUp)
	paused.pause(context.Background(), 2*time.Second)
	// Back for as long as it may take to catch up, it takes the place of a voter that is lost.
	time.Sleep(catchUp)
	next.kill()
	time.Sleep(catchUp)
	successor.kill()
	s.requireChange(t, o, recovery)
	requireNoFindings(t, s.oracle)
}

// A voter that was replaced and starts again on its data folder must not be missing at the
// next loss, nor disturb the members.
func TestReplacedVoterReturnsWithItsDisk(t *testing.T) {
	s, o := startControls(t, buildBinary(t), 9)
	require.Eventually(t, func() bool { return s.leader() != nil }, startTime, 10*time.Millisecond)
	old := s.leader()
	others := s.without(old)
	s.successor(t, old.zone)
	time.Sleep(catchUp)
	old.terminate()
	s.requireChange(t, o, recovery)
	require.NoError(t, old.start())
	time.Sleep(catchUp)
	for _, d := range others {
		d.kill()
		time.Sleep(catchUp)
		s.requireChange(t, o, recovery)
	}
	requireNoFindings(t, s.oracle)
}
