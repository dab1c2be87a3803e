package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutScene is one request of an entry that ends while planned work or a disruption surrounds
// it. Times count from the begin of the scene.
type cutScene struct {
	o     *oracle
	begin time.Time
}

func (s *cutScene) at(d time.Duration) time.Time { return s.begin.Add(d) }

func (s *cutScene) signal(k syscall.Signal, d time.Duration) {
	s.o.signaled("entry-1", roleEntry, k, s.at(d))
}

// version sends a version whose routes have a time-out, and acknowledges it.
func (s *cutScene) version(number uint64, timeout, sent time.Duration) {
	s.o.versionTimeouts(number, map[kind]time.Duration{kindStream: timeout})
	s.o.mu.Lock()
	defer s.o.mu.Unlock()
	s.o.versionSent(number, s.at(sent))
	s.o.versionAcknowledged(number, s.at(sent+10*time.Millisecond))
}

// request plays a stream that has run, with an end at entry-1.
func (s *cutScene) request(id string, sent, ended time.Duration, err error) *request {
	s.o.sending(id, request{kind: kindStream, path: "/stream/x", runs: 1, requestTimes: requestTimes{deadline: 9 * time.Second}})
	r := s.o.requests[id]
	r.sent = s.at(sent)
	s.o.ended(ending{id: id, entry: "entry-1", at: s.at(ended), answered: true, err: err})
	return r
}

func TestCutsAroundPlannedWorkAreLost(t *testing.T) {
	const second = time.Second
	cut := io.ErrUnexpectedEOF
	// lastSixth is the begin of the last sixth of the grace.
	lastSixth := grace * 5 / 6
	for name, c := range map[string]struct {
		play  func(s *cutScene)
		found string
	}{
		"stream around a SIGTERM": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, second)
			s.request("r", 0, 3*second, cut)
		}, "LOST: request r "},
		"whole answer": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, second)
			s.request("r", 0, 3*second, nil)
		}, ""},
		"before the SIGTERM": {func(s *cutScene) {
			s.request("r", 0, 3*second, cut)
			s.signal(syscall.SIGTERM, 4*second)
		}, ""},
		"SIGTERM of another entry": {func(s *cutScene) {
			s.o.signaled("entry-2", roleEntry, syscall.SIGTERM, s.at(second))
			s.request("r", 0, 3*second, cut)
		}, ""},
		"right after the grace": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, 0)
			s.request("r", 4*second, grace+second/2, cut)
		}, "LOST: request r "},
		"long after the grace": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, 0)
			s.request("r", 4*second, grace+graceAfter+second, cut)
		}, ""},
		"silent server": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, second)
			s.request("r", 0, 3*second, cut).silent = true
		}, "LOST: request r "},
		"server broke off": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, second)
			s.request("r", 0, 3*second, cut).brokenOff = true
		}, ""},
		"deadline": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, second)
			s.request("r", 0, 3*second, cut).deadline = 3 * second
		}, ""},
		"before the deadline": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, second)
			s.request("r", 0, 3*second, cut).deadline = 3*second + time.Millisecond
		}, "LOST: request r "},
		"time-out": {func(s *cutScene) {
			s.version(1, 3*second, -10*second)
			s.signal(syscall.SIGTERM, second)
			s.request("r", 0, 3*second, cut)
		}, ""},
		"time-out of a former version": {func(s *cutScene) {
			s.version(1, 3*second, -10*second)
			s.version(2, 8*second, -9*second)
			s.signal(syscall.SIGTERM, second)
			s.request("r", 0, 3*second, cut)
		}, "LOST: request r "},
		"time-out of a later version": {func(s *cutScene) {
			s.version(1, 8*second, -10*second)
			s.version(2, 2*second, second)
			s.signal(syscall.SIGTERM, second)
			s.request("r", 0, 3*second, cut)
		}, "LOST: request r "},
		"time-out of a version that comes before the body is complete": {func(s *cutScene) {
			s.version(1, 8*second, -10*second)
			s.version(2, 2*second, second)
			s.signal(syscall.SIGTERM, second)
			r := s.request("r", 0, 3*second, cut)
			r.chunked, r.lastByte = true, s.at(second)
		}, ""},
		"at work in the last sixth": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, 0)
			s.request("r", 3*second, lastSixth, cut)
		}, ""},
		"before the last sixth": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, 0)
			s.request("r", 3*second, lastSixth-time.Millisecond, cut)
		}, "LOST: request r "},
		"in the last sixth, sent late": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, 0)
			s.request("r", 3*second+time.Millisecond, lastSixth, cut)
		}, "LOST: request r "},
		"in the last sixth, server finished before": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, 0)
			s.request("r", 3*second, lastSixth, cut).finished = s.at(lastSixth - time.Millisecond)
		}, "LOST: request r "},
		"not passed on, soon after its last byte": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, 0)
			s.request("r", second, second+lossSlack, cut).runs = 0
		}, ""},
		"not passed on, later": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, 0)
			s.request("r", second, second+lossSlack+time.Millisecond, cut).runs = 0
		}, "LOST: request r "},
		"not passed on, body incomplete": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, 0)
			r := s.request("r", second, 3*second, cut)
			r.runs, r.chunked = 0, true
		}, ""},
		"SIGHUP": {func(s *cutScene) {
			s.signal(syscall.SIGHUP, 0)
			s.request("r", configApply, configApply+second, cut)
		}, "LOST: request r "},
		"sent long after a SIGHUP": {func(s *cutScene) {
			s.signal(syscall.SIGHUP, 0)
			s.request("r", configApply+time.Millisecond, configApply+second, cut)
		}, ""},
		"pause": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, second)
			s.signal(syscall.SIGSTOP, -stableTime)
			s.signal(syscall.SIGCONT, -stableTime+second)
			s.request("r", 0, 3*second, cut)
		}, ""},
		"long after a pause": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, second)
			s.signal(syscall.SIGSTOP, -2*stableTime)
			s.signal(syscall.SIGCONT, -stableTime)
			s.request("r", 0, 3*second, cut)
		}, "LOST: request r "},
		"leader out of reach": {func(s *cutScene) {
			s.signal(syscall.SIGTERM, second)
			s.o.disrupted(workUnreachable, s.at(0))
			s.request("r", 0, 3*second, cut)
		}, ""},
		"stream beside a version": {func(s *cutScene) {
			s.version(1, 8*second, second)
			s.request("r", 0, 3*second, cut)
			s.request("other", 10*second, 12*second, nil)
		}, "LOST: request r "},
		"as often at other times": {func(s *cutScene) {
			s.version(1, 8*second, second)
			s.request("r", 0, 3*second, cut)
			s.request("beside", 0, 3*second, nil)
			s.request("other", 10*second, 12*second, cut)
			for i := range 5 {
				s.request(fmt.Sprint(i), 10*second, 12*second, nil)
			}
		}, ""},
		"over three times as often": {func(s *cutScene) {
			s.version(1, 8*second, second)
			s.request("r", 0, 3*second, cut)
			s.request("beside", 0, 3*second, nil)
			s.request("other", 10*second, 12*second, cut)
			for i := range 6 {
				s.request(fmt.Sprint(i), 10*second, 12*second, nil)
			}
		}, "LOST: request r "},
		"seven tenths of its time beside a version": {func(s *cutScene) {
			s.version(1, 10*second, second)
			s.request("r", 0, 7*second, cut).deadline = 10 * second
		}, ""},
		"long after a version": {func(s *cutScene) {
			s.version(1, 8*second, -10*second)
			s.request("r", 0, 3*second, cut)
		}, ""},
		"kept connections without an answer": {func(s *cutScene) {
			for i := range keptCuts + 1 {
				s.request(fmt.Sprint(i), 0, 3*second, cut)
				e := &s.o.endings[i]
				e.reused, e.answered = true, false
			}
		}, "LOST: request 3 "},
		"few kept connections without an answer": {func(s *cutScene) {
			for i := range keptCuts {
				s.request(fmt.Sprint(i), 0, 3*second, cut)
				e := &s.o.endings[i]
				e.reused, e.answered = true, false
			}
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := &cutScene{o: newOracle(), begin: time.Now()}
			c.play(s)
			s.o.judgeCuts()
			findings, _ := s.o.result()
			if c.found == "" {
				require.Empty(t, findings)
				return
			}
			require.Len(t, findings, 1)
			require.Contains(t, findings[0], c.found)
		})
	}
}

func TestStallsOfTheSoakAreMeasured(t *testing.T) {
	o := newOracle()
	begin := time.Now().Add(-10 * time.Second)
	require.Zero(t, o.stalledSince(begin))
	for _, at := range []time.Duration{0, maxStall, 2 * time.Second, 4 * time.Second} {
		o.checkStall(begin.Add(at))
	}
	o.ranAt = time.Now()
	require.Equal(t, 3*time.Second-maxStall/2, o.stalledSince(begin.Add(maxStall/2+time.Second)).Round(time.Millisecond))
}

func TestSharesOfCutsNameWhatSurroundedThem(t *testing.T) {
	s := &cutScene{o: newOracle(), begin: time.Now()}
	s.signal(syscall.SIGTERM, 0)
	s.request("a", 0, 2*time.Second, io.ErrUnexpectedEOF).silent = true
	s.request("b", 0, 2*time.Second, nil)
	shares := strings.Join(s.o.judgeCuts(), "\n")
	require.Regexp(t, `(?m)^SIGTERM +1 of +2, 50.00 per hundred$`, shares)
	require.Regexp(t, `(?m)^silent server +1 of +1, 100.00 per hundred$`, shares)
}

// The seeds of the other modes play the plans and documents with which they were recorded.
func TestRecordedSeedsKeepTheirPlans(t *testing.T) {
	h := fnv.New64a()
	for seed := range uint64(400) {
		for _, l := range planOf(modeOf(seed), seed, 12*time.Second) {
			_, _ = fmt.Fprintln(h, l.Name, l.Role)
			for _, e := range l.Events {
				_, _ = fmt.Fprintln(h, int64(e.At), e.Action, int64(e.Length), e.Seed)
			}
		}
	}
	require.Equal(t, uint64(0x694826f8e133415f), h.Sum64())
	h = fnv.New64a()
	_, _ = io.WriteString(h, documentOf(9, 3, usualVariant()))
	require.Equal(t, uint64(0xd007fd2538c690e5), h.Sum64())
}

func TestShapesFollowFromThePath(t *testing.T) {
	s := shape{events: 40, pause: 60 * time.Millisecond, bytes: 300, wait: time.Second}
	require.Equal(t, s, shapeOf(pathOf[kindStream]+s.segment()+"x12"))
	require.Equal(t, shape{events: streamEvents, pause: eventPause}, shapeOf(pathOf[kindStream]+"x12"))
}
