package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Names of the platform's protocol.
const (
	headerID          = "X-Crocusway-Request-Id"
	headerDeadline    = "X-Crocusway-Deadline-Ms"
	headerKey         = "X-Crocusway-Credential"
	headerModel       = "X-Crocusway-Model"
	headerTokens      = "X-Crocusway-Token-Counts"
	headerInstance    = "X-Crocusway-Target-Instance"
	headerAccount     = "X-Crocusway-Tenant"
	headerSeal        = "X-Crocusway-Response-Seal"
	headerNotExecuted = "X-Crocusway-Not-Executed"
	headerLastEvent   = "Last-Event-Id"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	drainTime         = 1500 * time.Millisecond
	// joinTime is how long a server joins a group, eventPause the time between events.
	joinTime   = 60 * time.Millisecond
	eventPause = 15 * time.Millisecond
	// stallTime is how long a replica with a lost member stands still before it breaks.
	stallTime    = 2 * time.Second
	streamEvents = 12
	serverSlots  = 16
	engineHosts  = 2
)

// fault is how a server treats requests.
type fault string

const (
	faultNone    fault = ""
	faultClose   fault = "close"   // closes every connection
	faultHang    fault = "hang"    // accepts and never answers, as a dead host
	faultGarble  fault = "garble"  // breaks off some answers
	faultLost    fault = "lost"    // runs some requests and sends no answer
	faultEndless fault = "endless" // sends bytes that are no answer without end
	faultLate    fault = "late"    // carries out orders late, without an answer
)

// membership is a server's place in a group.
type membership struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
}

// key identifies a membership with its list of members.
func (m *membership) key() string {
	return fmt.Sprintf("%s/%d/%s", m.Name, m.Epoch, strings.Join(m.members, ","))
}

// fleet is all backend servers. Its lock guards their groups.
type fleet struct {
	oracle *oracle
	// planned is set if there is planned work only, so that every daemon stays in touch.
	planned bool
	// silences is set if sound servers fall silent in the middle of streams.
	silences bool
	// entries are the entry daemons by IP.
	entries  map[string]*daemon
	mu       sync.Mutex
	servers  map[string]*server
	controls []string
	// everReady holds the memberships under which each server was ever ready.
	everReady map[string]map[string]bool
	// poison is the part of prompts that crashes servers, empty without one.
	poison string
	wg     sync.WaitGroup
	stop   chan struct{}
}

// server is one stand-in backend server.
type server struct {
	*fleet
	id, service, zone string
	address           string
	engine            bool
	http              *fasthttp.Server
	died              chan struct{}

	// The fields below are guarded by fleet.mu.
	born     int64
	sequence uint64
	state    string
	fault    fault
	fence    uint64
	epoch    uint64
	group    *membership
	// streams is the number of streams that the server has begun.
	streams int
	// named is the limit that the server names, nil without one.
	named *namedLimit
	// notices is what the server tells the entries in its answers.
	notices notices
	// brokenAt is when the replica of this head breaks, zero while it is whole.
	brokenAt time.Time
	// drainAcknowledged is when a daemon acknowledged that the server leaves.
	drainAcknowledged time.Time
}

func newFleet(o *oracle, controls []string) *fleet {
	return &fleet{
		oracle: o, servers: make(map[string]*server), controls: controls, everReady: make(map[string]map[string]bool), stop: make(chan struct{}),
	}
}

// add starts a server.
func (f *fleet) add(id, service, zone, ip string, engine bool) (*server, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &server{
		fleet: f, id: id, service: service, zone: zone, address: ln.Addr().String(), engine: engine,
		born: time.Now().UnixMilli(), state: "ready", died: make(chan struct{}),
	}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: discardLogger{}}
	f.mu.Lock()
	f.servers[id] = s
	f.mu.Unlock()
	f.wg.Go(func() { _ = s.http.Serve(ln) })
	f.wg.Go(s.heartbeats)
	return s, nil
}

// discardLogger drops the HTTP library's messages: servers close connections on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// close stops every server.
func (f *fleet) close() {
	close(f.stop)
	f.mu.Lock()
	servers := make([]*server, 0, len(f.servers))
	for _, s := range f.servers {
		servers = append(servers, s)
	}
	f.mu.Unlock()
	for _, s := range servers {
		_ = s.http.Shutdown()
	}
	f.wg.Wait()
}

// pick returns a random server that has no fault and does not leave.
func (f *fleet) pick(r *rand.Rand) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, s := range f.servers {
		if s.fault == faultNone && s.state == "ready" && !s.notices.leaving {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return f.servers[ids[r.IntN(len(ids))]]
}

func (s *server) setFault(k fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = k
}

// restart begins a new incarnation under the same id, which holds and knows nothing.
func (s *server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born, s.sequence = max(s.born+1, time.Now().UnixMilli()), 0
	s.group, s.fence, s.epoch, s.fault = nil, 0, 0, faultNone
	s.notices = notices{}
}

// heartbeats reports the server until it dies, at once after a change.
func (s *server) heartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	next := rand.IntN(len(s.controls))
	for {
		if raw := s.heartbeat(); raw != nil {
			for range s.controls {
				if s.post(client, s.controls[next], "/Instances.Heartbeat/", raw) {
					break
				}
				next = (next + 1) % len(s.controls)
			}
		}
		select {
		case <-s.stop:
			return
		case <-s.died:
			return
		case <-ticker.C:
		}
	}
}

// post makes one call to a control daemon and reports whether it was acknowledged.
func (s *server) post(client *http.Client, control, path string, raw []byte) bool {
	response, err := client.Post("http://"+control+path+s.id, "application/json", bytes.NewReader(raw))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "draining" && s.drainAcknowledged.IsZero() {
		s.drainAcknowledged = time.Now()
	}
	return true
}

// heartbeat returns the body of a heartbeat, nil from a dead server.
func (s *server) heartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == faultHang || s.fault == faultClose {
		return nil
	}
	s.sequence++
	body := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": s.state,
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.engine {
		body["stage"], body["domain"], body["staged"] = "colocated", s.zone+"-d0", []string{"m0"}
		if s.group != nil {
			s.breakIfIncomplete()
			body["group"] = s.group
		}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return raw
}

func (s *server) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	k := s.fault
	s.mu.Unlock()
	switch {
	case k == faultHang:
		s.waitForCaller(ctx)
	case k == faultClose:
		s.oracle.brokeOff(string(ctx.Request.Header.Peek(headerID)))
		_ = ctx.Conn().Close()
	case string(ctx.Path()) == "/health":
		ctx.Response.Header.Set("X-Crocusway-Instance-Id", s.id)
	case string(ctx.Request.Header.Peek(headerInstance)) != s.id:
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	case string(ctx.Path()) == "/order":
		s.order(ctx, k)
	default:
		s.serve(ctx, k)
	}
}

// waitForCaller holds a connection until the caller closes it or the server restarts.
func (s *server) waitForCaller(ctx *fasthttp.RequestCtx) {
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(2 * stallTime))
	_, _ = ctx.Conn().Read(make([]byte, 1))
	_ = ctx.Conn().Close()
}
