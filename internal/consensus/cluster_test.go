package consensus_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/storage"
)

// register is a state machine that stores the applied commands.
type register struct {
	mu       sync.Mutex
	Commands []string
	// blocked receives a channel whose close lets the next encoding continue.
	blocked chan chan struct{}
}

// blockNextEncoding makes the next snapshot wait before it is encoded.
func (r *register) blockNextEncoding() <-chan chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = make(chan chan struct{})
	return r.blocked
}

// Freeze implements consensus.Freezer.
func (r *register) Freeze() (encode func() ([]byte, error), err error) {
	data, err := r.Snapshot()
	r.mu.Lock()
	defer r.mu.Unlock()
	blocked := r.blocked
	r.blocked = nil
	return func() ([]byte, error) {
		if blocked != nil {
			resume := make(chan struct{})
			blocked <- resume
			<-resume
		}
		return data, nil
	}, err
}

func (r *register) Apply(_ uint64, command []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Commands = append(r.Commands, string(command))
	return len(r.Commands)
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.Commands)
}

func (r *register) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Commands = nil
	return json.Unmarshal(data, &r.Commands)
}

func (r *register) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.Commands...)
}

// network delivers messages between the servers of one test.
type network struct {
	mu       sync.Mutex
	servers  map[api.VoterID]*consensus.Server
	isolated map[api.VoterID]bool
}

type networkTransport struct {
	net  *network
	from api.VoterID
}

func (p networkTransport) Send(to consensus.Member, msgs []consensus.Message) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	target := p.net.servers[to.ID]
	if target == nil || p.net.isolated[p.from] || p.net.isolated[to.ID] {
		return
	}
	payload, err := consensus.EncodeMessages(msgs)
	if err != nil {
		panic(err)
	}
	decoded, err := consensus.DecodeMessages(payload)
	if err != nil {
		panic(err)
	}
	target.Receive(decoded)
}

func (n *network) setIsolated(id api.VoterID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = isolated
}

// node is one member with its data folder.
type node struct {
	id     api.VoterID
	dir    string
	store  *storage.Store
	sm     *register
	server *consensus.Server
	ticks  chan time.Time
}

// cluster runs members on one logical clock.
type cluster struct {
	t               testing.TB
	clock           *clock.Manual
	net             *network
	nodes           map[api.VoterID]*node
	members         consensus.Membership
	snapshotEntries uint64
	snapshotBytes   int
	// disks overrides the file system of a member.
	disks map[api.VoterID]storage.FS
	// injectedFaults counts the calls of injectFault.
	injectedFaults int
	// lostDisks holds the incarnation that a member had when it lost its disk.
	lostDisks map[api.VoterID]api.Incarnation
}

func newCluster(t testing.TB, size int) *cluster {
	return newClusterWithDisks(t, size, nil)
}

// newClusterWithDisks starts a cluster some of whose members have their own
// file system.
func newClusterWithDisks(t testing.TB, size int, disks map[api.VoterID]storage.FS) *cluster {
	c := &cluster{
		t:               t,
		clock:           clock.NewManual(time.Unix(0, 0)),
		net:             &network{servers: map[api.VoterID]*consensus.Server{}, isolated: map[api.VoterID]bool{}},
		nodes:           map[api.VoterID]*node{},
		snapshotEntries: 50,
		lostDisks:       map[api.VoterID]api.Incarnation{},
		disks:           disks,
	}
	for i := range size {
		id := api.VoterID(fmt.Sprintf("v%d", i+1))
		c.members.Members = append(c.members.Members, consensus.Member{
			ID: id, Address: "addr-" + string(id), Incarnation: consensus.BootstrapIncarnation,
		})
	}
	for _, m := range c.members.Members {
		c.start(m.ID, t.TempDir(), true)
	}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.stop(id)
		}
	})
	return c
}

func (c *cluster) disk(id api.VoterID) storage.FS {
	if disk, ok := c.disks[id]; ok {
		return disk
	}
	return storage.OS{}
}

func (c *cluster) start(id api.VoterID, dir string, bootstrap bool) *node {
	store, err := storage.Open(dir, storage.Options{
		Voter: id, Bootstrap: bootstrap, SegmentBytes: 4096, FS: c.disk(id),
	})
	require.NoError(c.t, err)
	n := &node{id: id, dir: dir, store: store, sm: &register{}, ticks: make(chan time.Time)}
	cfg := consensus.ServerConfig{
		ID: id, Incarnation: store.Identity().Incarnation, Address: "addr-" + string(id),
		Store: store, Transport: networkTransport{c.net, id}, StateMachine: n.sm, Clock: c.clock, Ticks: n.ticks,
		Seed: uint64(len(c.nodes) + 1), SnapshotEntries: c.snapshotEntries, SnapshotBytes: c.snapshotBytes,
	}
	cfg.Core.TrailingEntries = 10
	cfg.Core.ChunkBytes = 100
	if bootstrap {
		cfg.Bootstrap = c.members
	}
	n.server, err = consensus.NewServer(cfg)
	require.NoError(c.t, err)
	c.nodes[id] = n
	c.net.mu.Lock()
	c.net.servers[id] = n.server
	c.net.mu.Unlock()
	n.server.Start()
	return n
}

func (c *cluster) stop(id api.VoterID) {
	n, ok := c.nodes[id]
	if !ok {
		return
	}
	c.net.mu.Lock()
	delete(c.net.servers, id)
	c.net.mu.Unlock()
	n.server.Stop()
	require.NoError(c.t, n.store.Close())
	delete(c.nodes, id)
}

func (c *cluster) restart(id api.VoterID) {
	dir := c.nodes[id].dir
	c.stop(id)
	c.start(id, dir, false)
}

// advance advances the clock by one tick on every member.
func (c *cluster) advance() {
	c.clock.Advance(consensus.DefaultTick)
	for _, n := range c.nodes {
		select {
		case n.ticks <- time.Time{}:
		case <-n.server.Done():
		}
	}
}

// advanceUntil advances the clock until the condition holds.
func (c *cluster) advanceUntil(what string, cond func() bool) {
	c.t.Helper()
	for range 20000 {
		if cond() {
			return
		}
		c.advance()
	}
	c.t.Fatalf("condition not reached: %s", what)
}

func (c *cluster) leader() *node {
	var found *node
	c.advanceUntil("a leader", func() bool {
		for _, n := range c.nodes {
			if n.server.Status().Leading {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

// propose commits a command while the clock advances.
func (c *cluster) propose(command string) {
	c.t.Helper()
	for range 100 {
		n := c.leader()
		done := make(chan error, 1)
		go func() {
			_, err := n.server.Propose(context.Background(), []byte(command))
			done <- err
		}()
		var err error
		c.advanceUntil("an answer", func() bool {
			select {
			case err = <-done:
				return true
			default:
				return false
			}
		})
		if err == nil {
			return
		}
	}
	c.t.Fatalf("not committed: %s", command)
}

func (c *cluster) requireConverged(want []string) {
	c.t.Helper()
	c.advanceUntil("every member has applied the expected commands", func() bool {
		for _, n := range c.nodes {
			if fmt.Sprint(n.sm.list()) != fmt.Sprint(want) {
				return false
			}
		}
		return true
	})
}
