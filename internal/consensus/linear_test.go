package consensus_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/errs"
)

// registerInput is a read, or a write that returns the number of writes so far.
type registerInput struct {
	write bool
	value string
}

type registerOutput struct {
	value   string
	writes  int
	unknown bool
}

type registerState struct {
	value  string
	writes int
}

var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		st, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		if !in.write {
			return out.value == st.value, st
		}
		next := registerState{in.value, st.writes + 1}
		return out.unknown || out.writes == next.writes, next
	},
}

// client issues one operation at a time and records its history.
type client struct {
	id     int
	rand   *rand.Rand
	target api.VoterID
	ops    int
	age    int
	cancel context.CancelFunc
	done   chan porcupine.Operation
}

// history collects the operations of all clients on one logical time line.
type history struct {
	time atomic.Int64
	ops  []porcupine.Operation
}

// opTimeout is the number of ticks after which a client gives up.
const opTimeout = 60

// start issues the next operation against the client's current target.
func (h *history) start(c *cluster, cl *client, barrier bool) {
	ctx, cancel := context.WithCancel(context.Background())
	cl.cancel = cancel
	cl.done = make(chan porcupine.Operation, 1)
	cl.age = 0
	cl.ops++
	in := registerInput{write: cl.rand.IntN(2) == 0, value: fmt.Sprintf("%d-%d", cl.id, cl.ops)}
	n, ok := c.nodes[cl.target]
	if !ok {
		cl.done <- porcupine.Operation{ClientId: -1}
		return
	}
	done := cl.done
	go func() { done <- h.execute(ctx, n, cl.id, in, barrier) }()
}

// execute runs one operation. A failed read and a write that definitely did not
// happen have client -1; a write of unknown outcome never returns in the
// history.
func (h *history) execute(ctx context.Context, n *node, id int, in registerInput, barrier bool) porcupine.Operation {
	op := porcupine.Operation{ClientId: id, Input: in, Call: h.time.Add(1)}
	var out registerOutput
	var err error
	if in.write {
		var result any
		result, err = n.server.Propose(ctx, []byte(in.value))
		out.writes, _ = result.(int)
	} else {
		if barrier {
			err = n.server.ReadBarrier(ctx)
		}
		out.value = n.sm.value()
	}
	op.Return = h.time.Add(1)
	switch {
	case err == nil:
	case in.write && errs.Is(err, errs.Timeout):
		out.unknown = true
		op.Return = math.MaxInt64
	default:
		op.ClientId = -1
	}
	op.Output = out
	return op
}

func (r *register) value() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Commands) == 0 {
		return ""
	}
	return r.Commands[len(r.Commands)-1]
}

// poll collects a finished operation and reports whether the client is idle.
func (h *history) poll(c *cluster, cl *client) bool {
	if cl.done == nil {
		return true
	}
	if cl.age++; cl.age > opTimeout {
		cl.cancel()
	}
	select {
	case op := <-cl.done:
		cl.cancel()
		cl.done = nil
		if op.ClientId >= 0 {
			h.ops = append(h.ops, op)
		}
		if op.ClientId < 0 || op.Return == math.MaxInt64 {
			cl.target = c.members.Members[cl.rand.IntN(len(c.members.Members))].ID
		}
		return true
	default:
		return false
	}
}

// injectFault isolates, heals or restarts a member, or empties its data folder.
func (c *cluster) injectFault(r *rand.Rand) {
	c.injectedFaults++
	id := c.members.Members[r.IntN(len(c.members.Members))].ID
	switch r.IntN(5) {
	case 0:
		c.net.setIsolated(id, true)
	case 1:
		c.restart(id)
	case 2:
		if c.allMembersIntact() {
			c.lostDisks[id] = c.nodes[id].store.Identity().Incarnation
			c.stop(id)
			c.start(id, c.t.TempDir(), r.IntN(2) == 0)
		}
	default:
		for _, m := range c.members.Members {
			c.net.setIsolated(m.ID, false)
		}
	}
}

// allMembersIntact reports whether every member votes under its current
// incarnation, so that one more disk may be lost.
func (c *cluster) allMembersIntact() bool {
	for _, n := range c.nodes {
		if !n.server.Status().Leading {
			continue
		}
		return !slices.ContainsFunc(n.server.Members(), func(m consensus.MemberStatus) bool {
			current := c.nodes[m.ID].store.Identity().Incarnation
			return m.Learner || m.Incarnation != current || current == c.lostDisks[m.ID]
		})
	}
	return false
}

func TestRegisterIsLinearizable(t *testing.T) {
	lost := 0
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			c := newCluster(t, 3)
			h := &history{}
			r := rand.New(rand.NewPCG(seed, 1))
			clients := make([]*client, 0, 4)
			for i := range cap(clients) {
				clients = append(clients, &client{id: i, rand: rand.New(rand.NewPCG(seed, uint64(i+2))), target: c.leader().id})
			}
			for step := 0; len(h.ops) < 600 && step < 20000; step++ {
				for _, cl := range clients {
					if h.poll(c, cl) {
						h.start(c, cl, true)
					}
				}
				if step%12 == 11 {
					c.injectFault(r)
				}
				c.advance()
			}
			for _, cl := range clients {
				c.advanceUntil("the last operation ends", func() bool { return h.poll(c, cl) })
			}
			require.GreaterOrEqual(t, len(h.ops), 600)
			require.Greater(t, c.injectedFaults, 10)
			lost += len(c.lostDisks)
			h.settle(t, c.finalLog())
			require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, h.ops, time.Minute))
		})
	}
	require.Positive(t, lost)
}

// finalLog returns the commands in the log once all members reach each other.
func (c *cluster) finalLog() []string {
	for _, m := range c.members.Members {
		c.net.setIsolated(m.ID, false)
	}
	c.propose("end of the history")
	sm := c.leader().sm
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return slices.Clone(sm.Commands)
}

// settle replaces each unknown outcome by what the final log shows. With unknown ones left,
// the time of the check is exponential in their number.
func (h *history) settle(t *testing.T, log []string) {
	t.Helper()
	position := make(map[string]int, len(log))
	for i, value := range log {
		position[value] = i + 1
	}
	require.Len(t, position, len(log), "a write is in the log twice")
	h.ops = slices.DeleteFunc(h.ops, func(op porcupine.Operation) bool {
		return op.Output.(registerOutput).unknown && position[op.Input.(registerInput).value] == 0
	})
	for i := range h.ops {
		if op := &h.ops[i]; op.Output.(registerOutput).unknown {
			op.Output = registerOutput{writes: position[op.Input.(registerInput).value]}
		}
	}
}

// TestCheckerDetectsStaleRead verifies that the check above rejects a read
// without a barrier on an isolated member.
func TestCheckerDetectsStaleRead(t *testing.T) {
	for _, barrier := range []bool{true, false} {
		c := newCluster(t, 3)
		h := &history{}
		old := c.leader()
		c.propose("first")
		h.record(0, registerInput{write: true, value: "first"}, registerOutput{writes: 1})
		c.net.setIsolated(old.id, true)
		c.advanceUntil("the old leader steps down", func() bool { return old.server.Status().Leader != old.id })
		c.propose("second")
		h.record(0, registerInput{write: true, value: "second"}, registerOutput{writes: 2})
		op := h.execute(context.Background(), old, 1, registerInput{}, barrier)
		if op.ClientId >= 0 {
			h.ops = append(h.ops, op)
		}
		require.Equal(t, barrier, porcupine.CheckOperations(registerModel, h.ops))
	}
}

// record adds an operation that has just completed.
func (h *history) record(id int, in registerInput, out registerOutput) {
	op := porcupine.Operation{ClientId: id, Input: in, Output: out, Call: h.time.Add(1), Return: h.time.Add(1)}
	h.ops = append(h.ops, op)
}
