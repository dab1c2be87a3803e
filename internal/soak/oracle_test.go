package soak

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// TestOracleDetectsBrokenPromises plays what callers and servers would see of a system
// that breaks a promise, and of one that keeps them.
func TestOracleDetectsBrokenPromises(t *testing.T) {
	const path, body = "/once/x1", "body"
	send := func(o *oracle, k kind) { o.sending("r", request{kind: k, path: path, body: body}) }
	run := func(o *oracle) { o.running("i-1", "r", path, body, callerAccount, "") }
	stream := answerOf(kindStream, path, body)
	half, _, _ := strings.Cut(stream, "id: 5")
	cases := []struct {
		name  string
		play  func(o *oracle)
		found string
	}{
		{"kept", func(o *oracle) {
			send(o, kindOnce)
			run(o)
			o.answered("r", 200, "seal", answerOf(kindOnce, path, body), true)
		}, ""},
		{"failed after a run", func(o *oracle) { send(o, kindOnce); run(o); o.answered("r", 502, "", "", true) }, ""},
		{"stream cut between events", func(o *oracle) { send(o, kindStream); run(o); o.answered("r", 200, "seal", half, false) }, ""},
		{"unknown request", run, "UNASKED"},
		{"another body", func(o *oracle) { send(o, kindSafe); o.running("i-1", "r", path, "other", callerAccount, "") }, "UNASKED"},
		{"another account", func(o *oracle) { send(o, kindSafe); o.running("i-1", "r", path, body, "other", "") }, "UNASKED"},
		{"key passed on", func(o *oracle) { send(o, kindSafe); o.running("i-1", "r", path, body, callerAccount, "k") }, "UNASKED"},
		{"run twice", func(o *oracle) { send(o, kindOnce); run(o); run(o) }, "TWICE"},
		{"refused after a run", func(o *oracle) { send(o, kindOnce); run(o); o.answered("r", 503, "", "", true) }, "REFUSED"},
		{"run after a refusal", func(o *oracle) { send(o, kindOnce); o.answered("r", 429, "", "", true); run(o) }, "REFUSED"},
		{"denied", func(o *oracle) { send(o, kindSafe); o.answered("r", 404, "", "", true) }, "DENIED"},
		{"no seal", func(o *oracle) {
			send(o, kindSafe)
			run(o)
			o.answered("r", 200, "", answerOf(kindSafe, path, body), true)
		}, "MIXED"},
		{"another answer", func(o *oracle) { send(o, kindSafe); run(o); o.answered("r", 200, "seal", "x", true) }, "MIXED"},
		{"success without a run", func(o *oracle) {
			send(o, kindSafe)
			o.answered("r", 200, "seal", answerOf(kindSafe, path, body), true)
		}, "MIXED"},
		{"stream looks complete", func(o *oracle) { send(o, kindStream); run(o); o.answered("r", 200, "seal", half, true) }, "MIXED"},
		{"stream with a gap", func(o *oracle) {
			send(o, kindStream)
			run(o)
			o.answered("r", 200, "seal", strings.Replace(half, "id: 2", "id: 3", 1), false)
		}, "ORDER"},
		{"stream that another server goes on with", func(o *oracle) {
			send(o, kindStream)
			run(o)
			o.answered("r", 200, "seal", marked(stream, 3, 3), true)
		}, ""},
		{"joined runs", func(o *oracle) { send(o, kindStream); run(o); o.answered("r", 200, "seal", marked(stream, 4, 3), true) }, "ORDER"},
		{"joined runs of a cut stream", func(o *oracle) { send(o, kindStream); run(o); o.answered("r", 200, "seal", marked(half, 3, 2), false) }, "ORDER"},
		{"part that crashes servers", func(o *oracle) {
			for range crashesAllowed {
				o.reached("p", "r", true)
				o.crashed("p")
			}
			o.poison["p"].fifth = time.Now().Add(-2 * stableTime)
			for range lateAllowed + 1 {
				o.reached("p", "r", true)
			}
		}, "BUDGET"},
		{"sound requests beside such a part", func(o *oracle) {
			o.reached("p", "r", true)
			for range crashesAllowed {
				o.crashed("p")
			}
			o.poison["p"].fifth = time.Now().Add(-3 * stableTime)
			for i := range minSound {
				send(o, kindStream)
				o.sound("p", "r", i < minSound/2-1)
			}
			o.checkSound("p")
		}, "LOST"},
		{"few requests with such a part", func(o *oracle) {
			for range crashesAllowed {
				o.reached("p", "r", true)
				o.crashed("p")
			}
			o.poison["p"].fifth = time.Now().Add(-2 * stableTime)
			for range lateAllowed {
				o.reached("p", "r", true)
			}
		}, ""},
		{"configuration reverts", func(o *oracle) { o.publishing(3, "a"); o.acknowledge(7); o.readBack("d", 3, "a", o.newest()) }, "CONFIG"},
		{"configuration replaced", func(o *oracle) { o.publishing(3, "a"); o.readBack("d", 3, "b", 0) }, "CONFIG"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle()
			c.play(o)
			findings, _ := o.result()
			if c.found == "" {
				require.Empty(t, findings)
				return
			}
			require.NotEmpty(t, findings)
			require.Contains(t, findings[0], c.found)
		})
	}
}

func TestServersDetectRequestsBeyondTheirLimit(t *testing.T) {
	o := newOracle()
	f := newFleet(o, nil)
	f.planned = true
	begin := time.Now()
	s := &server{fleet: f, id: "i-1", named: &namedLimit{rate: 2, since: begin.Add(-stableTime - limitWindow)}}
	for range s.named.allowed() {
		s.nameLimit(&fasthttp.RequestCtx{}, begin)
	}
	s.nameLimit(&fasthttp.RequestCtx{}, begin.Add(limitWindow))
	findings, _ := o.result()
	require.Empty(t, findings)
	for range s.named.allowed() {
		s.nameLimit(&fasthttp.RequestCtx{}, begin.Add(limitWindow))
	}
	findings, _ = o.result()
	require.Len(t, findings, 1)
	require.Contains(t, findings[0], "LIMIT")
}

// TestServersDetectBrokenGroups sends orders that a correct leader never sends.
func TestServersDetectBrokenGroups(t *testing.T) {
	join := func(epoch uint64, members ...string) order {
		return order{Op: "join", Group: "g", Epoch: epoch, Members: members, Fence: 1}
	}
	open := order{Op: "open", Group: "g", Epoch: 1, Fence: 1}
	cases := []struct {
		name  string
		play  func(f *fleet, apply func(id string, o order))
		found string
	}{
		{"whole group", func(_ *fleet, apply func(string, order)) {
			apply("a", join(1, "a", "b"))
			apply("b", join(1, "a", "b"))
			apply("a", open)
		}, ""},
		{"member never ready", func(_ *fleet, apply func(string, order)) { apply("a", join(1, "a", "b")); apply("a", open) }, "PARTIAL"},
		{"member of another epoch", func(_ *fleet, apply func(string, order)) {
			apply("a", join(1, "a", "b"))
			apply("b", join(2, "a", "b"))
			apply("a", open)
		}, "PARTIAL"},
		{"too small", func(_ *fleet, apply func(string, order)) { apply("a", join(1, "a")); apply("a", open) }, "PARTIAL"},
		{"taken from an open group", func(_ *fleet, apply func(string, order)) {
			apply("a", join(1, "a", "b"))
			apply("b", join(1, "a", "b"))
			apply("a", open)
			apply("b", join(2, "b", "c"))
		}, "TWO"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(newOracle(), nil)
			for _, id := range []string{"a", "b", "c"} {
				f.servers[id] = &server{fleet: f, id: id, engine: true, state: "ready"}
			}
			c.play(f, func(id string, o order) {
				f.mu.Lock()
				defer f.mu.Unlock()
				s := f.servers[id]
				s.apply(o)
				if o.Op == "join" && s.group != nil {
					s.becomeReady(s.group)
				}
			})
			f.mu.Lock()
			defer f.mu.Unlock()
			if s := f.servers["a"]; s.group != nil {
				_, _ = s.admit()
			}
			findings, _ := f.oracle.result()
			if c.found == "" {
				require.Empty(t, findings)
				return
			}
			require.NotEmpty(t, findings)
			require.Contains(t, findings[0], c.found)
		})
	}
}

func TestPlanFollowsFromTheSeed(t *testing.T) {
	actions := make(map[action]bool)
	for seed := range uint64(40) {
		plan := planOf(modeOf(seed), seed, 12*time.Second)
		require.Equal(t, plan, planOf(modeOf(seed), seed, 12*time.Second))
		for _, l := range plan {
			for _, e := range l.Events {
				actions[e.Action] = true
			}
		}
	}
	for _, k := range laneKinds(modeAll) {
		for _, a := range k.actions {
			require.Contains(t, actions, a)
		}
	}
}

// TestNetworkSilencesOneDirection holds bytes back one way, then lets them pass.
func TestNetworkSilencesOneDirection(t *testing.T) {
	const ip = "127.0.0.1"
	back, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = back.Close() })
	front, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	advertised := front.Addr().String()
	require.NoError(t, front.Close())
	n := newNetwork()
	t.Cleanup(n.close)
	require.NoError(t, n.forward(advertised, back.Addr().String()))
	dialer, err := net.Dial("tcp", advertised)
	require.NoError(t, err)
	acceptor, err := back.Accept()
	require.NoError(t, err)
	receive := func(wait time.Duration) error {
		require.NoError(t, acceptor.SetReadDeadline(time.Now().Add(wait)))
		_, err := io.ReadFull(acceptor, make([]byte, 1))
		return err
	}
	n.set(direction{ip, ip}, rule{silent: true})
	_, err = dialer.Write([]byte("x"))
	require.NoError(t, err)
	require.Error(t, receive(50*time.Millisecond))
	n.set(direction{ip, ip}, rule{})
	require.NoError(t, receive(5*time.Second))
	n.resetLinks(ip)
	require.Error(t, receive(5*time.Second))
}

// marked returns a stream whose first events are of one run, and the others of one that goes on
// behind an event.
func marked(stream string, first, after int) string {
	var b strings.Builder
	n := 0
	for event := range strings.SplitAfterSeq(stream, "\n\n") {
		switch {
		case event == "":
		case n < first:
			b.WriteString(runMark("i-1/1", 0))
		default:
			b.WriteString(runMark("i-2/1", after))
		}
		b.WriteString(event)
		n++
	}
	return b.String()
}
