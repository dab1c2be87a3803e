package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/clock"
)

const (
	callerHost    = "soak.example"
	callerKey     = "soak-key"
	callerAccount = "shop"
	// callerPause is the mean pause between two requests of a caller.
	callerPause     = 60 * time.Millisecond
	streamDeadline  = 6 * time.Second
	callDeadline    = 1500 * time.Millisecond
	directoryWait   = time.Second
	maxAnswerBytes  = 1 << 20
	headerTimeoutMs = 3000
)

// Paths of the routes that every configuration has.
var pathOf = map[kind]string{kindStream: "/stream/", kindOnce: "/once/", kindSafe: "/read/"}

// caller sends requests one after the other. It keeps its connection to an entry until
// the connection ends, also while the entry shuts down.
type caller struct {
	system *system
	name   string
	rand   *rand.Rand
	sent   int
	// served is set once the current request is.
	served bool
	// entry is the address in use, conn its connection.
	entry string
	http  *http.Client
	conns *countedDialer
}

// countedDialer remembers whether a new connection was made since the last request.
type countedDialer struct {
	dialed bool
	// path returns the address to dial for that of an entry, from is the caller's own.
	path func(address string) string
	from net.Addr
}

func (d *countedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.dialed = true
	if d.path != nil {
		address = d.path(address)
	}
	return (&net.Dialer{Timeout: directoryWait, LocalAddr: d.from}).DialContext(ctx, network, address)
}

func newCaller(s *system, index int, seed uint64) *caller {
	c := &caller{system: s, name: fmt.Sprintf("s%d-c%d", seed, index), rand: rand.New(rand.NewPCG(seed, uint64(index)+1)), conns: &countedDialer{}}
	s.placeCaller(c.conns, index)
	c.http = &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1, DisableCompression: true, DialContext: c.conns.dial,
	}}
	return c
}

func (c *caller) run(ctx context.Context) {
	kinds := []kind{kindStream, kindStream, kindOnce, kindSafe}
	for ctx.Err() == nil {
		if c.entry == "" {
			c.entry = c.resolve(ctx)
		}
		if c.entry != "" {
			c.request(kinds[c.rand.IntN(len(kinds))])
		}
		clock.Sleep(ctx, time.Duration(c.rand.Int64N(int64(2*callerPause))))
	}
	c.http.CloseIdleConnections()
}

// resolve asks up to three entries for the addresses to use.
func (c *caller) resolve(ctx context.Context) string {
	client := &http.Client{Timeout: directoryWait, Transport: &http.Transport{DisableKeepAlives: true}}
	entries := c.system.entries()
	for range 3 {
		d := entries[c.rand.IntN(len(entries))]
		request, err := http.NewRequestWithContext(ctx, http.MethodGet,
			"http://"+d.address(portDirectory)+"/resolution?name="+callerHost+"&zone="+d.zone, nil)
		if err != nil {
			return ""
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			return body.Addresses[c.rand.IntN(len(body.Addresses))]
		}
	}
	c.system.oracle.count("no entry found")
	return ""
}

// request sends one request and checks its answer.
func (c *caller) request(k kind) {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	r := request{kind: k, path: pathOf[k] + c.shape(k) + fmt.Sprintf("x%d", c.rand.IntN(1000)), body: "body of " + id}
	method, deadline := http.MethodPost, callDeadline
	switch k {
	case kindStream:
		deadline = streamDeadline
	case kindSafe:
		method, r.body = http.MethodGet, ""
	}
	if c.system.mode == modeStreams {
		deadline = longDeadline
	}
	r.deadline = deadline
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	// Without GetBody the HTTP library never sends a request twice by itself.
	out, err := http.NewRequestWithContext(ctx, method, "http://"+c.entry+r.path, io.NopCloser(strings.NewReader(r.body)))
	if err != nil {
		panic(err)
	}
	out.ContentLength = int64(len(r.body))
	if r.body == "" {
		out.Body = http.NoBody
	}
	c.sendInChunks(ctx, out, id, &r)
	out.Host = callerHost
	for name, value := range map[string]string{
		headerID: id, headerKey: callerKey, headerDeadline: fmt.Sprint(deadline.Milliseconds()),
		headerModel: "m0", headerTokens: "40,84",
	} {
		out.Header.Set(name, value)
	}
	if k == kindStream {
		var prompt string
		prompt, r.poisoned = c.prompt(id)
		out.Header.Set(headerPrompt, prompt)
		part := c.system.fleet.currentPoison()
		defer func() { c.system.oracle.sound(part, id, c.served) }()
	}
	c.served = false
	c.conns.dialed = false
	c.system.oracle.sending(id, r)
	began := time.Now()
	response, err := c.http.Do(out)
	defer func() { c.ended(id, out.URL.Host, response, err) }()
	if err != nil {
		c.failed(ctx, id, began, err)
		return
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	_ = response.Body.Close()
	c.system.oracle.answered(id, response.StatusCode, response.Header.Get(headerSeal), string(body), err == nil)
	if err != nil {
		c.failed(ctx, id, began, err)
		return
	}
	c.served = response.StatusCode == http.StatusOK
	if response.Close {
		c.entry = ""
	}
}

// failed handles a request without a whole answer. During planned work alone, an entry
// must not end the connection of a request that it has read.
func (c *caller) failed(ctx context.Context, id string, began time.Time, err error) {
	o, entry := c.system.oracle, c.entry
	o.count("connection ended")
	c.entry = ""
	c.http.CloseIdleConnections()
	if ctx.Err() != nil {
		o.count("no answer in time")
		return
	}
	if c.system.mode != modePlanned || c.conns.dialed && time.Since(began) < lossSlack {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.requests[id]; !r.brokenOff && (r.runs > 0 || time.Since(began) > lossSlack) {
		o.report("LOST: request %s (%s, %d runs) at %s ends after %s without a whole answer: %v",
			id, r.kind, r.runs, entry, time.Since(began).Round(time.Millisecond), err)
	}
}
