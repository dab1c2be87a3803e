package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
)

// Host is one simulated backend server. Its methods are safe for concurrent use.
type Host struct {
	fleet   *Fleet
	id      api.HostID
	kind    api.BackendKind
	fabric  api.FabricDomain
	domain  api.FailureDomain
	service Service
	// entryIndex selects the entry that the host announces to. Only the worker
	// that sends the announcement uses it.
	entryIndex int

	mu          sync.Mutex
	ln          net.Listener
	address     string
	conns       map[*hostConn]struct{}
	up          bool
	incarnation api.Incarnation
	sequence    uint64
	leavingAt   time.Time
	// resumed is closed while the host is not paused.
	resumed chan struct{}
	faults  []Fault
	member  membership
	load    loadHistory
	engine  batch
	calls   serviceLoad
	// previous is the request that arrived last.
	previous api.RequestID
	// claimsWarmUntil is the end of the time in which announcements conceal a
	// cold start.
	claimsWarmUntil time.Time
	// due is the time of the next announcement; announcing is set while one is
	// in progress.
	due        time.Time
	announcing bool

	// paused reports, without locking mu, whether resumed is open.
	paused atomic.Bool
	// slowdown holds the bits of the slowdown factor, 0 for none.
	slowdown atomic.Uint64
}

// membership is the place of a host in a group, as set by the orders that it
// accepted.
type membership struct {
	group   api.GroupID
	fencing api.Fencing
	rank    int
	members []api.HostID
	// hosts are the members that belong to this fleet.
	hosts   []*Host
	model   string
	readyAt time.Time
	// highestFencing is the highest fencing number that this incarnation has
	// accepted.
	highestFencing api.Fencing
}

func newHost(f *Fleet, id api.HostID, domain api.FailureDomain) *Host {
	open := make(chan struct{})
	close(open)
	return &Host{
		fleet:   f,
		id:      id,
		domain:  domain,
		conns:   make(map[*hostConn]struct{}),
		resumed: open,
	}
}

// ID returns the id of the host.
func (h *Host) ID() api.HostID { return h.id }

// Domain returns the failure domain of the host.
func (h *Host) Domain() api.FailureDomain { return h.domain }

// Fabric returns the fabric domain of the host, empty for a service.
func (h *Host) Fabric() api.FabricDomain { return h.fabric }

// Address returns the "ip:port" of the host.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Incarnation returns the current incarnation.
func (h *Host) Incarnation() api.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// Up reports whether the host is running, paused or not.
func (h *Host) Up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

// LeavingSince returns the time of the call to Leave, or the zero time.
func (h *Host) LeavingSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leavingAt
}

// Membership returns the group and fencing number that the host holds.
func (h *Host) Membership() (api.GroupID, api.Fencing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.member.group, h.member.fencing
}

// Serving reports whether the host is rank 0 of a complete and loaded replica.
func (h *Host) Serving() bool { return h.groupComplete() }

// start starts a new incarnation without a membership, at the address of the
// previous one if there was one.
func (h *Host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up || h.fleet.ctx.Err() != nil {
		return nil
	}
	address := h.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "start host %s", h.id)
	}
	h.ln = ln
	h.address = ln.Addr().String()
	h.up = true
	h.incarnation++
	h.sequence = 0
	h.leavingAt = time.Time{}
	h.member = membership{}
	h.load = loadHistory{}
	h.previous = ""
	h.claimsWarmUntil = time.Time{}
	h.engine = newBatch(h.fleet.cfg.Engine)
	h.calls = serviceLoad{}
	h.due = h.fleet.cfg.Clock.Now()
	h.fleet.tasks.Go(func() { h.fleet.listener.serve(ln, h) })
	return nil
}

// Kill stops the host: it closes its connections and announces nothing until
// Restart.
func (h *Host) Kill() {
	group, fencing, members, ok := h.stop()
	if !ok || len(members) == 0 || members[0] == h.id {
		return
	}
	// A replica cannot run without one of its members: rank 0 aborts its requests.
	if first := h.fleet.Host(members[0]); first != nil {
		first.abortGeneration(group, fencing)
	}
}

func (h *Host) stop() (api.GroupID, api.Fencing, []api.HostID, bool) {
	h.mu.Lock()
	if !h.up {
		h.mu.Unlock()
		return "", 0, nil, false
	}
	h.up = false
	ln := h.ln
	m := h.member
	conns := h.openConns()
	h.engine.abort()
	h.mu.Unlock()
	_ = ln.Close()
	closeAll(conns)
	return m.group, m.fencing, m.members, true
}

// openConns returns the open connections. The caller holds h.mu.
func (h *Host) openConns() []*hostConn {
	conns := make([]*hostConn, 0, len(h.conns))
	for c := range h.conns {
		conns = append(conns, c)
	}
	return conns
}

func closeAll(conns []*hostConn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// abortGeneration aborts the host's requests and closes its connections if it is
// still in the given generation of a group.
func (h *Host) abortGeneration(group api.GroupID, fencing api.Fencing) {
	h.mu.Lock()
	if h.member.group != group || h.member.fencing != fencing {
		h.mu.Unlock()
		return
	}
	conns := h.openConns()
	h.engine.abort()
	h.mu.Unlock()
	closeAll(conns)
}

// Restart starts a killed host as a new incarnation.
func (h *Host) Restart() error { return h.start() }

// crash kills the host and starts it again after the restart time.
func (h *Host) crash() {
	h.fleet.record.addCrash()
	h.Kill()
	h.fleet.after(h.fleet.cfg.Engine.RestartTime, func() { _ = h.start() })
}

// resumedChan returns a channel that is closed while the host is not paused.
func (h *Host) resumedChan() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resumed
}

func (h *Host) addConn(c *hostConn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up {
		return false
	}
	h.conns[c] = struct{}{}
	return true
}

func (h *Host) removeConn(c *hostConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// isWarm reports whether the host's cold start is over.
func (h *Host) isWarm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine.warm
}
