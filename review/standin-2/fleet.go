//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the platform's protocol.
const (
	headerID          = "X-Crocusway-Request-Id"
	headerDeadline    = "X-Crocusway-Deadline-Ms"
	headerKey         = "X-Crocusway-Credential"
	headerModel       = "X-Crocusway-Model"
	headerTokens      = "X-Crocusway-Token-Counts"
	headerPrompt      = "X-Crocusway-Prompt-Prefix"
	headerInstance    = "X-Crocusway-Target-Instance"
	headerSeal        = "X-Crocusway-Response-Seal"
	headerNotExecuted = "X-Crocusway-Not-Executed"
	headerLastEvent   = "Last-Event-Id"
)

const (
	engineSlots = 26
	modelName   = "daka510000"
	modelSize   = 3
	loadTime    = 12 * time.Second
	warmTime    = 1100 * time.Millisecond
	rejoinTime  = 200 * time.Millisecond
	formTime    = 300 * time.Millisecond
	eventPause  = 40 * time.Millisecond
	// firstBeat is the time from the start of a server to its first heartbeat.
	firstBeat = 100 * time.Millisecond
)

// membership is an engine's place in a group.
type membership struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
	model   string
	// stillSince is when a member of an open head's group was lost.
	stillSince time.Time
}

func (m *membership) key() string {
	return fmt.Sprintf("%s/%d/%s", m.Name, m.Epoch, strings.Join(m.members, ","))
}

// order is an order of control.
type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Fence   uint64   `json:"fence"`
}

// fleet is all backend servers. Its lock guards their state.
type fleet struct {
	sys     *system
	mu      sync.Mutex
	servers map[string]*server
	order   []string
	stopped chan struct{}
	wg      sync.WaitGroup
	// ran counts the runs of each request.
	ran map[string]int
	// traffic is set once a request has run.
	traffic bool
	// late decides whether an order gets no answer and is carried out that much later.
	late func(s *server, o order) (time.Duration, bool)
	// onRun is called when a request begins to run on an engine or service.
	onRun        func(s *server, id string, h http.Header)
	ordersTotal  int
	ordersLate   int
	ordersAtTime []time.Time
}

// server is one backend server.
type server struct {
	*fleet
	id, service, zone, domain, ip string
	address                       string
	engine                        bool
	slots                         int
	http                          *http.Server

	born     int64
	sequence uint64
	state    string
	fence    uint64
	epoch    uint64
	group    *membership
	staged   string
	// stagedAt is when the load of a stage order ends.
	stagedAt time.Time
	// lastModel is the model of the last group since the start.
	lastModel string
	loading   *time.Timer
	// cut is set while the server and the control daemons don't reach each other.
	cut  bool
	beat chan struct{}
	// nextBeat is when the next periodic heartbeat is due.
	handler func(w http.ResponseWriter, r *http.Request) bool
	dead    bool
	// mute delays the heartbeats until then, silentUntil all that the server does.
	mute, silentUntil time.Time
}

func newFleet(s *system) *fleet {
	return &fleet{sys: s, servers: make(map[string]*server), stopped: make(chan struct{}), ran: make(map[string]int)}
}

func (f *fleet) add(id, service, zone, domain string, engine bool, slots int) (*server, error) {
	f.mu.Lock()
	n := len(f.servers)
	f.mu.Unlock()
	ip := f.sys.ip(3+n/200, n%200+1)
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(portServer)))
	if err != nil {
		return nil, err
	}
	s := &server{
		fleet: f, id: id, service: service, zone: zone, domain: domain, ip: ip, address: ln.Addr().String(), engine: engine, slots: slots,
		born: time.Now().UnixMilli(), state: "ready", beat: make(chan struct{}, 1),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	f.mu.Lock()
	f.servers[id] = s
	f.order = append(f.order, id)
	f.mu.Unlock()
	f.wg.Go(func() { _ = s.http.Serve(ln) })
	f.wg.Go(func() { s.heartbeats(n) })
	return s, nil
}

func (f *fleet) close() {
	close(f.stopped)
	f.mu.Lock()
	for _, s := range f.servers {
		_ = s.http.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *fleet) sorted() []*server {
	var out []*server
	for _, id := range f.order {
		out = append(out, f.servers[id])
	}
	return out
}

// report sends a heartbeat at once.
func (s *server) report() {
	select {
	case s.beat <- struct{}{}:
	default:
	}
}

func (s *server) heartbeats(n int) {
	next := n % 3
	timer := time.NewTimer(firstBeat)
	defer timer.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-s.beat:
		case <-timer.C:
		}
		timer.Reset(heartbeatInterval)
		s.mu.Lock()
		delay := max(time.Until(s.mute), time.Until(s.silentUntil))
		s.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		raw := s.heartbeat()
		if raw == nil {
			continue
		}
		for range s.sys.controls {
			status, _, err := call(http.MethodPost, s.sys.controls[next].address(portControl), "/Instances.Heartbeat/"+s.id, raw, time.Second)
			if err == nil && status == http.StatusOK {
				break
			}
			next = (next + 1) % len(s.sys.controls)
		}
	}
}

// heartbeat returns the body of a heartbeat, nil while none gets through.
func (s *server) heartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut || s.dead {
		return nil
	}
	s.sequence++
	body := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.engine {
		staged := []string{}
		if s.staged != "" {
			staged = append(staged, s.staged)
		}
		body["stage"], body["domain"], body["staged"] = "colocated", s.domain, staged
		body["models"] = []any{}
		if g := s.group; g != nil {
			s.settle()
			body["group"] = g
			if g.State != "joining" {
				body["models"] = []any{map[string]any{"name": g.model, "version": 1, "adapters": []string{}}}
			}
		}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return raw
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	cut := s.cut && r.URL.Path == "/order"
	h := s.handler
	dead := s.dead
	silent := time.Until(s.silentUntil)
	s.mu.Unlock()
	if silent > 0 {
		time.Sleep(silent)
	}
	switch {
	case cut || dead:
		// The caller gets no answer until it gives up.
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-s.stopped:
		}
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/health":
		w.Header().Set("X-Crocusway-Instance-Id", s.id)
	case r.Header.Get(headerInstance) != "" && r.Header.Get(headerInstance) != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/order":
		s.handleOrder(w, r)
	case h != nil && h(w, r):
	default:
		s.serve(w, r)
	}
}

func (s *server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.ordersTotal++
	late := s.late
	s.mu.Unlock()
	if late != nil {
		if d, ok := late(s, o); ok {
			s.mu.Lock()
			s.ordersLate++
			born := s.born
			s.mu.Unlock()
			s.sys.rec.log("%s: order %s %s epoch %d gets no answer, carried out %s later", s.id, o.Op, o.Group, o.Epoch, d)
			time.AfterFunc(d, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.born != born || s.dead {
					return
				}
				s.sys.rec.log("%s: late order %s %s epoch %d is carried out: %d", s.id, o.Op, o.Group, o.Epoch, s.apply(o))
			})
			select {
			case <-r.Context().Done():
			case <-s.stopped:
			}
			panic(http.ErrAbortHandler)
		}
	}
	s.mu.Lock()
	status := s.apply(o)
	s.mu.Unlock()
	s.sys.rec.log("%s: order %s %s epoch %d: %d", s.id, o.Op, o.Group, o.Epoch, status)
	w.WriteHeader(status)
}

// apply carries out an order and returns the status. fleet.mu is held.
func (s *server) apply(o order) int {
	if o.Fence < s.fence {
		return http.StatusPreconditionFailed
	}
	s.fence = o.Fence
	s.settle()
	fits := s.group != nil && s.group.Name == o.Group && s.group.Epoch == o.Epoch
	switch o.Op {
	case "stage":
		if s.staged == o.Model {
			return http.StatusOK
		}
		s.stagedAt = time.Now().Add(s.loadLength())
		s.later(s.loadLength(), func() { s.staged = o.Model })
		return http.StatusAccepted
	case "join":
		return s.join(o, fits)
	case "open", "leave", "close":
		if !fits {
			return http.StatusConflict
		}
	default:
		return http.StatusBadRequest
	}
	g := s.group
	switch {
	case o.Op == "leave":
		s.group = nil
	case o.Op == "close":
		g.State = "ready"
	case g.Rank != 0 || g.State == "joining" || g.State == "broken":
		return http.StatusConflict
	case g.State == "open":
		return http.StatusOK
	default:
		s.later(formTime, func() {
			if s.group == g && g.State == "ready" {
				g.State = "open"
				s.sys.rec.log("%s: head of %s is open", s.id, g.key())
			}
		})
		return http.StatusAccepted
	}
	s.report()
	return http.StatusAccepted
}

// later runs f with the lock held unless the server has started again, and reports.
func (s *server) later(d time.Duration, f func()) {
	born := s.born
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.born != born {
			return
		}
		f()
		s.report()
	})
}

func (s *server) loadLength() time.Duration {
	if s.traffic {
		return loadTime
	}
	return loadTime / 10
}

// join takes the server into a group, and checks the rule TWO. fleet.mu is held.
func (s *server) join(o order, fits bool) int {
	g := &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, s.id), State: "joining", members: o.Members, model: o.Model}
	switch {
	case fits && s.group.key() == g.key():
		return http.StatusOK
	case fits || o.Epoch < s.epoch:
		return http.StatusPreconditionFailed
	case g.Rank < 0:
		return http.StatusBadRequest
	}
	s.checkTwo(g)
	length := s.loadLength()
	switch {
	case s.lastModel == o.Model:
		length = rejoinTime
	case s.staged == o.Model:
		length = warmTime
	}
	s.group, s.epoch = g, o.Epoch
	s.later(length, func() {
		if s.group != g {
			return
		}
		s.staged, s.lastModel, g.State = o.Model, o.Model, "ready"
	})
	return http.StatusAccepted
}

// checkTwo records a break of the rule TWO if this server, which joins g, is a member of
// another group whose head is open or closing, or stands still and is not broken yet.
func (s *server) checkTwo(g *membership) {
	old := s.group
	if old == nil || old.Name == g.Name {
		return
	}
	head := s.servers[old.members[0]]
	if head == nil || head == s || head.dead || head.group == nil || head.group.key() != old.key() {
		return
	}
	head.settle()
	if st := head.group.State; st == "open" || st == "closing" {
		still := "serves"
		if !head.group.stillSince.IsZero() {
			still = fmt.Sprintf("stands still for %s of %s", time.Since(head.group.stillSince).Round(time.Millisecond), stallTime)
		}
		s.sys.rec.violation("TWO: %s takes the join of %s while it is a member of %s (%s), whose head %s is %s and %s",
			s.id, g.key(), old.key(), old.State, head.id, st, still)
	}
}

// settle brings the state of an open head up to date. fleet.mu is held.
func (s *server) settle() {
	g := s.group
	if g == nil || g.Rank != 0 || g.State != "open" {
		return
	}
	whole := true
	for _, id := range g.members {
		m := s.servers[id]
		whole = whole && m != nil && !m.dead && m.group != nil && m.group.key() == g.key() && m.group.State != "joining"
	}
	switch {
	case whole:
		g.stillSince = time.Time{}
	case g.stillSince.IsZero():
		g.stillSince = time.Now()
	case time.Since(g.stillSince) > stallTime:
		g.State = "broken"
		s.sys.rec.log("%s: head of %s is broken", s.id, g.key())
	}
}

// await waits until a condition on the servers holds.
func (f *fleet) await(limit time.Duration, what string, done func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		ok := done()
		f.mu.Unlock()
		if ok {
			f.sys.rec.log("there is %s", what)
			return nil
		}
	}
	return fmt.Errorf("there is no %s within %s", what, limit)
}

// watch settles the heads often, so that a loss is noticed when it happens.
func (f *fleet) watch() {
	for {
		select {
		case <-f.stopped:
			return
		case <-time.After(10 * time.Millisecond):
		}
		f.mu.Lock()
		for _, s := range f.servers {
			s.settle()
		}
		f.mu.Unlock()
	}
}

// refuse turns a request away that has not run.
func refuse(w http.ResponseWriter, id string, status int) {
	w.Header().Set(headerID, id)
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

// serve runs a request.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.engine {
		s.mu.Lock()
		s.settle()
		g := s.group
		switch {
		case g != nil && g.Rank != 0:
			s.mu.Unlock()
			refuse(w, id, http.StatusMisdirectedRequest)
			return
		case g == nil || g.State != "open":
			s.mu.Unlock()
			refuse(w, id, http.StatusServiceUnavailable)
			return
		}
		s.mu.Unlock()
	}
	s.begin(id, r.Header)
	w.Header().Set(headerID, id)
	w.Header().Set(headerSeal, "sealed-by-"+s.id)
	if !s.engine {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, answerOf(r.URL.Path, string(body)))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	for i := after + 1; i <= streamEvents; i++ {
		time.Sleep(eventPause)
		if _, err := io.WriteString(w, eventOf(r.URL.Path, i)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

const streamEvents = 12

// begin records that a request begins to run.
func (s *server) begin(id string, h http.Header) {
	s.mu.Lock()
	s.ran[id]++
	s.traffic = true
	on := s.onRun
	s.mu.Unlock()
	s.sys.rec.log("%s: request %s begins to run", s.id, id)
	if on != nil {
		on(s, id, h)
	}
}

func eventOf(path string, i int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, path, i) }

func answerOf(path, body string) string { return "answer to " + path + " " + body }
