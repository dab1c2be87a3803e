package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a replica of the plain service.
type server struct {
	w                 *world
	id, zone, address string
	slots             int
	work              time.Duration
	born              int64
	http              *http.Server

	mu       sync.Mutex
	sequence int
	running  int
	// arrivals are the times at which requests reached the server.
	arrivals []arrival
}

type arrival struct {
	at      time.Time
	request string
}

// addServer starts a replica that announces itself to the control daemons.
func (w *world) addServer(id, zone string, host, slots int, work time.Duration, controls func() []string) (*server, error) {
	l, err := net.Listen("tcp", w.address(host, 0))
	if err != nil {
		return nil, err
	}
	s := &server{
		w: w, id: id, zone: zone, address: l.Addr().String(), slots: slots, work: work, born: time.Now().UnixMilli(),
	}
	s.http = &http.Server{Handler: s}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	go func() { _ = s.http.Serve(l) }()
	go s.announce(controls)
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

// ServeHTTP runs a request.
func (s *server) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/health" {
		out.Header().Set("X-Crocusway-Instance-Id", s.id)
		return
	}
	id := in.Header.Get("X-Crocusway-Request-Id")
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	out.Header().Set("X-Crocusway-Request-Id", id)
	if target := in.Header.Get("X-Crocusway-Target-Instance"); target != "" && target != s.id {
		out.Header().Set("X-Crocusway-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.begin(id) {
		out.Header().Set("X-Crocusway-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	s.w.record("server %s runs %s %s%s for %s", s.id, in.Method, id, in.URL.Path, in.RemoteAddr)
	time.Sleep(s.work)
	out.Header().Set("X-Crocusway-Response-Seal", "seal."+s.id+"."+id)
	fmt.Fprintf(out, "%s %s %d", id, in.URL.Path, len(body))
}

// begin takes a slot, or a place in a short queue.
func (s *server) begin(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), request})
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// reached counts the requests that reached the server within a time, and returns the first.
func (s *server) reached(from, to time.Time) (n int, first arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(from) && a.at.Before(to) {
			if n == 0 {
				first = a
			}
			n++
		}
	}
	return n, first
}

// announce sends heartbeats, each to the next daemon until one acknowledges it.
func (s *server) announce(controls func() []string) {
	o := &operator{w: s.w}
	next := 0
	for !s.w.isClosed() {
		s.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": "ledger", "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
			"state": "ready", "coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
		})
		addresses := controls()
		for range addresses {
			address := addresses[next%len(addresses)]
			status, answer, err := o.call(http.MethodPost, address, "/Instances.Heartbeat/"+s.id, body)
			if err == nil && status/100 == 2 {
				var named struct {
					URL string `json:"heartbeatUrl"`
				}
				_ = json.Unmarshal(answer, &named)
				if named.URL != "" {
					s.w.record("server %s is told the address %s, which it does not use", s.id, strings.TrimSpace(named.URL))
				}
				break
			}
			next++
		}
		select {
		case <-s.w.stopped:
		case <-time.After(heartbeatInterval):
		}
	}
}
