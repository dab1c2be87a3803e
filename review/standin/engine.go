package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of the engines, from the configuration and the pages.
const (
	engineLoad  = 1200 * time.Millisecond // loadS 12; a tenth of it before the first request
	engineWarm  = 1100 * time.Millisecond
	engineJoin  = 200 * time.Millisecond
	engineOpen  = 300 * time.Millisecond
	engineStall = 4 * time.Second
	engineModel = "daka510000"
	engineSize  = 3
)

// order is the body of POST /order.
type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Fence   uint64   `json:"fence"`
}

// engine is a replica of the model service. restart gives it a new life under its id.
type engine struct {
	w        *world
	id       string
	host     int
	controls func() []string
	// holds decides which orders get no answer, and how long later they are carried out.
	holds func(o order) (time.Duration, bool)
	// onJoin is called before a join replaces a membership.
	onJoin func(e *engine, o order)

	mu       sync.Mutex
	address  string
	http     *http.Server
	life     int
	born     int64
	sequence int
	cut      bool
	staged   []string
	fence    uint64
	highest  uint64
	lastUse  string
	group    string
	epoch    uint64
	members  []string
	state    string
	changed  chan struct{}
}

func (w *world) addEngine(id string, host int, controls func() []string) *engine {
	return &engine{w: w, id: id, host: host, controls: controls, changed: make(chan struct{}, 1)}
}

// start begins a life at the engine's address.
func (e *engine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = e.w.address(e.host, 0)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.http = &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.life++
	e.born, e.sequence = time.Now().UnixMilli(), 0
	e.fence, e.highest, e.lastUse = 0, 0, ""
	e.group, e.epoch, e.members, e.state = "", 0, nil, ""
	server := e.http
	go func() { _ = server.Serve(l) }()
	go e.announce(e.life)
	e.w.record("engine %s starts, life %d", e.id, e.life)
	return nil
}

// crash ends a life without a word.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life++
	_ = e.http.Close()
	e.w.record("engine %s crashes", e.id)
}

func (e *engine) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
	e.w.record("engine %s is partitioned from the core: %t", e.id, cut)
}

func (e *engine) serve(out http.ResponseWriter, in *http.Request) {
	e.mu.Lock()
	cut := e.cut
	e.mu.Unlock()
	if cut {
		<-in.Context().Done()
		return
	}
	if target := in.Header.Get("X-Crocusway-Target-Instance"); target != "" && target != e.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if in.URL.Path != "/order" {
		out.Header().Set("X-Crocusway-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var o order
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.holds != nil {
		if delay, held := e.holds(o); held {
			e.w.record("engine %s leaves the order %s %s/%d unanswered, it comes %v later", e.id, o.Op, o.Group, o.Epoch, delay)
			time.AfterFunc(delay, func() {
				e.w.record("engine %s carries out the late order %s %s/%d: %d", e.id, o.Op, o.Group, o.Epoch, e.carryOut(o))
			})
			<-in.Context().Done()
			return
		}
	}
	status := e.carryOut(o)
	e.w.record("engine %s gets %s %s/%d %v, fencing token %d: %d", e.id, o.Op, o.Group, o.Epoch, o.Members, o.Fence, status)
	out.WriteHeader(status)
}

// carryOut executes an order and returns its status.
func (e *engine) carryOut(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	same := e.group == o.Group && e.epoch == o.Epoch
	switch o.Op {
	case "stage":
		e.after(engineLoad, func() { e.staged = []string{o.Model} })
		return http.StatusAccepted
	case "join":
		return e.join(o, same)
	case "open":
		switch {
		case same && e.state == "open":
			return http.StatusOK
		case !same || e.state != "ready":
			return http.StatusConflict
		}
		e.after(engineOpen, func() { e.state = "open" })
		return http.StatusAccepted
	case "leave":
		if !same || e.group == "" {
			return http.StatusConflict
		}
		e.group, e.epoch, e.members, e.state = "", 0, nil, ""
		e.wake()
		return http.StatusOK
	}
	return http.StatusBadRequest
}

func (e *engine) join(o order, same bool) int {
	if o.Epoch < e.highest || same && !slices.Equal(e.members, o.Members) {
		return http.StatusPreconditionFailed
	}
	if same {
		return http.StatusOK
	}
	if e.onJoin != nil {
		e.onJoin(e, o)
	}
	wait := engineLoad
	switch {
	case e.lastUse == o.Model:
		wait = engineJoin
	case slices.Contains(e.staged, o.Model):
		wait = engineWarm
	}
	e.highest, e.lastUse = o.Epoch, o.Model
	e.group, e.epoch, e.members, e.state = o.Group, o.Epoch, o.Members, "joining"
	e.after(wait, func() { e.state, e.staged = "ready", []string{o.Model} })
	e.wake()
	return http.StatusAccepted
}

// after changes the state of the present membership later. The lock is held.
func (e *engine) after(d time.Duration, change func()) {
	life, group, epoch := e.life, e.group, e.epoch
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life == life && e.group == group && e.epoch == epoch {
			change()
			e.wake()
		}
	})
}

func (e *engine) wake() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// stateOf returns the membership and its state.
func (e *engine) stateOf() (group string, epoch uint64, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group, e.epoch, e.state
}

// heartbeat returns the body of the next heartbeat, and false if it can't be sent.
func (e *engine) heartbeat(life int) (body []byte, goesOn, sends bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != life {
		return nil, false, false
	}
	e.sequence++
	b := map[string]any{
		"service": "scribe", "address": e.address, "zone": "z-a", "version": "v1", "slots": 26, "state": "ready", "coldRemainingMs": 0,
		"sequence": e.sequence, "born": e.born, "stage": "colocated", "domain": "d1", "staged": e.staged,
		"models": []any{},
	}
	if e.group != "" {
		b["group"] = map[string]any{"name": e.group, "epoch": e.epoch, "rank": slices.Index(e.members, e.id), "state": e.state}
		b["models"] = []any{map[string]any{"name": engineModel, "version": 1, "adapters": []any{}}}
	}
	body, _ = json.Marshal(b)
	return body, true, !e.cut
}

func (e *engine) announce(life int) {
	o := &operator{w: e.w}
	next := 0
	for !e.w.isClosed() {
		body, goesOn, sends := e.heartbeat(life)
		if !goesOn {
			return
		}
		addresses := e.controls()
		for i := 0; sends && i < len(addresses); i++ {
			status, _, err := o.call(http.MethodPost, addresses[next%len(addresses)], "/Instances.Heartbeat/"+e.id, body)
			if err == nil && status/100 == 2 {
				break
			}
			next++
		}
		select {
		case <-e.w.stopped:
		case <-e.changed:
		case <-time.After(heartbeatInterval):
		}
	}
}

// engineDocument is a configuration with one model service.
func engineDocument() []byte {
	return []byte(fmt.Sprintf(`{"version":1,"routes":[`+
		`{"name":"r-draft","host":"shop.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":300,"priority":1,"service":"scribe","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":300}],`+
		`"services":[{"name":"scribe","healthPath":"/health","maxConns":474,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":38.0,"engine":{"slots":26,"kvCapacity":1590000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":7,`+
		`"models":[{"name":"%s","size":%d,"share":1.0,"pace":1.0,"loadS":12.0,"warmS":1.1}],"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":4.5,"loads_at_once":6,"delays":[],"usual":{"prompt":1115,"answer":178},"keeps":1,"far_x":2.5,"formMs":300.0}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"shop","apiKeys":["%s"],"priority":1}]}`, engineModel, engineSize, apiKey))
}
