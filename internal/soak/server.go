package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
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

// answerOf returns the answer to a request, which every server gives alike.
func answerOf(k kind, path, body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, path+"\n"+body)
	word := strconv.FormatUint(h.Sum64(), 36)
	if k != kindStream {
		return word + strings.Repeat("-", 200)
	}
	var b strings.Builder
	for i := range streamEvents {
		b.WriteString(eventOf(word, i+1))
	}
	return b.String()
}

func eventOf(word string, i int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, word, i) }

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
	planned  bool
	mu       sync.Mutex
	servers  map[string]*server
	controls []string
	// everReady holds the memberships under which each server was ever ready.
	everReady map[string]map[string]bool
	wg        sync.WaitGroup
	stop      chan struct{}
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
		if s.fault == faultNone && s.state == "ready" {
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

// order is an order of control to an engine.
type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Fence   uint64   `json:"fence"`
}

func (s *server) order(ctx *fasthttp.RequestCtx, k fault) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if k == faultLate {
		s.mu.Lock()
		born := s.born
		s.mu.Unlock()
		time.AfterFunc(time.Duration(1+rand.IntN(4))*time.Second, func() { s.applyLate(o, born) })
		s.waitForCaller(ctx)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx.SetStatusCode(s.apply(o))
}

// applyLate carries out an order after newer ones, unless the server has restarted.
func (s *server) applyLate(o order, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.born == born {
		s.oracle.count("orders applied late")
		s.apply(o)
	}
}

// apply carries out an order and returns the status. fleet.mu is held.
func (s *server) apply(o order) int {
	if o.Fence < s.fence {
		return fasthttp.StatusPreconditionFailed
	}
	s.fence = o.Fence
	fits := s.group != nil && s.group.Name == o.Group && s.group.Epoch == o.Epoch
	switch o.Op {
	case "stage":
		return fasthttp.StatusOK
	case "join":
		return s.join(o, fits)
	case "open", "leave", "close":
		if !fits {
			return fasthttp.StatusConflict
		}
	default:
		return fasthttp.StatusBadRequest
	}
	switch {
	case o.Op == "leave":
		s.group = nil
	case s.group.State == "joining" || s.group.State == "broken":
		return fasthttp.StatusConflict
	case o.Op == "close":
		s.group.State = "ready"
	case s.group.Rank == 0:
		s.group.State = "open"
	}
	return fasthttp.StatusAccepted
}

// join takes the server into a group. fleet.mu is held.
func (s *server) join(o order, fits bool) int {
	g := &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, s.id), State: "joining", members: o.Members}
	switch {
	case fits && s.group.key() == g.key():
		return fasthttp.StatusOK
	case fits || o.Epoch < s.epoch:
		return fasthttp.StatusPreconditionFailed
	case g.Rank < 0:
		return fasthttp.StatusBadRequest
	}
	if old := s.group; old != nil {
		head := s.servers[old.members[0]]
		if head != nil && head != s && head.group != nil && head.group.key() == old.key() && head.group.State == "open" &&
			head.fault != faultHang && head.fault != faultClose {
			s.oracle.violation("TWO: %s joins %s while the head of its group %s is open", s.id, g.key(), old.key())
		}
	}
	s.group, s.epoch, s.brokenAt = g, o.Epoch, time.Time{}
	time.AfterFunc(joinTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.group != g {
			return
		}
		s.becomeReady(g)
	})
	return fasthttp.StatusAccepted
}

// becomeReady ends the join of a group. fleet.mu is held.
func (s *server) becomeReady(g *membership) {
	g.State = "ready"
	if s.everReady[s.id] == nil {
		s.everReady[s.id] = make(map[string]bool)
	}
	s.everReady[s.id][g.key()] = true
}

// isWhole reports whether each member of a head's group is in it. fleet.mu is held.
func (s *server) isWhole() bool {
	for _, id := range s.group.members {
		m := s.servers[id]
		if m == nil || m.group == nil || m.group.key() != s.group.key() || m.fault == faultHang || m.fault == faultClose {
			return false
		}
	}
	return true
}

// breakIfIncomplete breaks the replica of a head whose member has been lost for
// stallTime. It reports whether the replica makes progress. fleet.mu is held.
func (s *server) breakIfIncomplete() bool {
	if s.group.Rank != 0 || s.group.State != "open" {
		return false
	}
	if s.isWhole() {
		s.brokenAt = time.Time{}
		return true
	}
	if s.brokenAt.IsZero() {
		s.brokenAt = time.Now().Add(stallTime)
	}
	if time.Now().After(s.brokenAt) {
		s.group.State = "broken"
	}
	return false
}

func refuse(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Header.Set(headerNotExecuted, "1")
	ctx.SetStatusCode(status)
}

// serve runs a request of a caller.
func (s *server) serve(ctx *fasthttp.RequestCtx, k fault) {
	h := &ctx.Request.Header
	id, path, body := string(h.Peek(headerID)), string(ctx.Path()), string(ctx.PostBody())
	// Taken before the first byte of an answer can reach the caller.
	s.mu.Lock()
	status, late := s.admit()
	s.mu.Unlock()
	if status != 0 {
		refuse(ctx, status)
		return
	}
	if late && s.planned {
		s.oracle.violation("DRAIN: %s receives request %s over %s after its departure was acknowledged", s.id, id, drainTime)
	}
	s.oracle.running(s.id, id, path, body, string(h.Peek(headerAccount)), string(h.Peek(headerKey)))
	misbehave := rand.IntN(4) == 0
	switch {
	case k == faultEndless:
		s.sendEndlessly(ctx)
		return
	case k == faultLost && misbehave:
		_ = ctx.Conn().Close()
		return
	}
	ctx.Response.Header.Set(headerSeal, "sealed-by-"+s.id)
	ctx.Response.Header.Set(headerID, id)
	if s.engine {
		s.stream(ctx, answerOf(kindStream, path, body), k == faultGarble && misbehave)
		return
	}
	answer := answerOf(kindSafe, path, body)
	if k == faultGarble && misbehave {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sealed-by-%s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSeal, s.id, len(answer), answer[:20])
		})
		return
	}
	ctx.SetBodyString(answer)
}

// admit returns the status with which the server refuses a request, or 0, and whether
// the request comes too late for a server that leaves. fleet.mu is held.
func (s *server) admit() (status int, late bool) {
	late = !s.drainAcknowledged.IsZero() && time.Since(s.drainAcknowledged) > drainTime+drainSlack
	if !s.engine {
		return 0, late
	}
	g := s.group
	switch {
	case g == nil || g.State != "open" && g.Rank == 0:
		return fasthttp.StatusServiceUnavailable, false
	case g.Rank != 0:
		return fasthttp.StatusMisdirectedRequest, false
	}
	s.checkWhole(g)
	return 0, late
}

// drainSlack allows for requests that were on their way.
const drainSlack = 500 * time.Millisecond

// checkWhole checks that every member of a group was ready in it. fleet.mu is held.
func (s *server) checkWhole(g *membership) {
	if len(g.members) != engineHosts {
		s.oracle.violation("PARTIAL: a request runs in %s of %d members", g.key(), len(g.members))
	}
	for _, id := range g.members {
		if !s.everReady[id][g.key()] {
			s.oracle.violation("PARTIAL: a request runs in %s, whose member %s was never ready", g.key(), id)
		}
	}
}

// sendEndlessly sends bytes that are no answer until the caller closes the connection.
func (s *server) sendEndlessly(ctx *fasthttp.RequestCtx) {
	garbage := bytes.Repeat([]byte("no answer\r\n"), 100)
	if rand.IntN(2) == 0 {
		garbage = bytes.Repeat([]byte("HTTP/1.1 100 Continue\r\n\r\n"), 50)
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		for {
			if _, err := c.Write(garbage); err != nil {
				return
			}
		}
	})
}

// stream writes the events after the caller's last one. It stands still while a member of
// the replica is lost, and breaks off with it.
func (s *server) stream(ctx *fasthttp.RequestCtx, answer string, cut bool) {
	ctx.SetContentType("text/event-stream")
	after, _ := strconv.Atoi(string(ctx.Request.Header.Peek(headerLastEvent)))
	events := strings.SplitAfter(answer, "\n\n")[:streamEvents]
	conn := ctx.Conn()
	s.mu.Lock()
	group := s.group
	s.mu.Unlock()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := after; i < len(events); i++ {
			if cut && i == len(events)/2 {
				_, _ = w.WriteString(events[i][:4])
				_ = w.Flush()
				_ = conn.Close()
				return
			}
			time.Sleep(eventPause)
			if !s.awaitProgress(group) {
				_ = conn.Close()
				return
			}
			_, _ = w.WriteString(events[i])
			if w.Flush() != nil {
				return
			}
		}
	})
}

// awaitProgress waits while a member of the replica is lost. It returns false once the
// replica is broken, has another group, or is dead.
func (s *server) awaitProgress(g *membership) bool {
	for {
		s.mu.Lock()
		gone := s.group != g || g.State != "open" || s.fault == faultHang || s.fault == faultClose
		progress := !gone && s.breakIfIncomplete()
		s.mu.Unlock()
		switch {
		case progress:
			return true
		case gone:
			return false
		}
		select {
		case <-s.stop:
			return false
		case <-time.After(eventPause):
		}
	}
}
