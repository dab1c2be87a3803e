//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// leastPrefill and mostPrefill bound the time to the first event of a run, longEvents is
	// the number of events.
	leastPrefill = 250 * time.Millisecond
	mostPrefill  = 700 * time.Millisecond
	longEvents   = 40
	// leastSilence and mostSilence bound how long a sound server falls silent.
	leastSilence = 800 * time.Millisecond
	mostSilence  = 1300 * time.Millisecond
	silences     = 24
)

// silentHeads lets heads fall silent as a whole and go on.
type silentHeads struct {
	mu    sync.Mutex
	until map[string]time.Time
	runs  int
}

// pause waits while a server is silent.
func (p *silentHeads) pause(id string) {
	for {
		p.mu.Lock()
		left := time.Until(p.until[id])
		p.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (p *silentHeads) silence(id string, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until[id] = time.Now().Add(length)
}

// run streams the events of one run. Each event names its run and the event that the run
// goes on after.
func (p *silentHeads) run(s *server, w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	g := s.group
	open := g != nil && g.Rank == 0 && g.State == "open"
	s.mu.Unlock()
	if !s.engine || !open {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(headerID)
	after, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	p.mu.Lock()
	p.runs++
	name := fmt.Sprintf("%s/%d after %d", s.id, p.runs, after)
	p.mu.Unlock()
	s.begin(id, r.Header)
	w.Header().Set(headerID, id)
	w.Header().Set(headerSeal, "sealed-by-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(leastPrefill + rand.N(mostPrefill-leastPrefill))
	for i := after + 1; i <= longEvents; i++ {
		time.Sleep(eventPause)
		p.pause(s.id)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, name); err != nil {
			return true
		}
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return true
		}
	}
	s.sys.rec.log("%s: run %s of %s is complete", s.id, name, id)
	return true
}

// event is one event as a client got it.
type event struct {
	id    int
	run   string
	after int
}

func eventsOf(body string) (events []event, err error) {
	var e event
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			if e.id, err = strconv.Atoi(line[4:]); err != nil {
				return nil, err
			}
		case strings.HasPrefix(line, "data: "):
			run, after, found := strings.Cut(line[6:], " after ")
			if !found {
				return nil, fmt.Errorf("bad event %q", line)
			}
			e.run = run
			if e.after, err = strconv.Atoi(after); err != nil {
				return nil, err
			}
		case line == "":
			events = append(events, e)
		}
	}
	return events, nil
}

// checkOrder checks the rule ORDER on a complete stream: every event comes once, and where
// another run follows, it goes on behind the last event of the one before.
func checkOrder(rec *record, a answer) {
	events, err := eventsOf(a.body)
	if err != nil {
		rec.violation("ORDER: %s: %v", a.id, err)
		return
	}
	for i, e := range events {
		switch {
		case e.id != i+1:
			rec.violation("ORDER: %s: event %d comes as number %d", a.id, e.id, i+1)
			return
		case i > 0 && e.run != events[i-1].run && e.after != events[i-1].id:
			rec.violation("ORDER: %s: event %d of run %s is followed by event %d of run %s, which went on at %d: pieces of two runs are joined",
				a.id, events[i-1].id, events[i-1].run, e.id, e.run, e.after)
			return
		}
	}
	if len(events) != longEvents {
		rec.violation("ORDER: %s ends as complete after %d of %d events", a.id, len(events), longEvents)
	}
}

// silence: sound heads fall silent for a second or so and go on, while streams run on them.
func silence(rec *record, trouble bool) error {
	s, err := newSystem(rec, 2)
	if err != nil {
		return err
	}
	defer s.stop()
	f := s.fleet
	go f.watch()
	heads := &silentHeads{until: make(map[string]time.Time)}
	for i := range 9 {
		e, err := f.add(fmt.Sprintf("i-7f3a91%02d", i), "assistant", "muscat-b", "d1", true, engineSlots)
		if err != nil {
			return err
		}
		e.handler = func(w http.ResponseWriter, r *http.Request) bool { return heads.run(e, w, r) }
	}
	if _, err := f.add("i-appa0001", "crew-app", "muscat-b", "", false, 6); err != nil {
		return err
	}
	if err := s.startAll(document); err != nil {
		return err
	}
	if err := s.awaitServed(30 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	end := time.Now().Add(silences * 3500 * time.Millisecond)
	served := 0
	var mu sync.Mutex
	for i := range 18 {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 110 * time.Millisecond)
			for time.Now().Before(end) {
				a := s.sendStream(s.entries[i%2], fmt.Sprintf("/plan/%d", i))
				if a.err == nil && a.status == http.StatusOK {
					checkOrder(rec, a)
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		})
	}
	for time.Now().Before(end) {
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		var open []string
		for _, e := range f.sorted() {
			if e.group != nil && e.group.State == "open" {
				open = append(open, e.id)
			}
		}
		f.mu.Unlock()
		if !trouble || len(open) == 0 {
			continue
		}
		id, length := open[rand.IntN(len(open))], leastSilence+rand.N(mostSilence-leastSilence)
		rec.log("%s falls silent for %s", id, length)
		heads.silence(id, length)
		time.Sleep(length)
	}
	clients.Wait()
	rec.log("%d streams were served complete", served)
	if served < 50 {
		return fmt.Errorf("only %d streams were served", served)
	}
	return nil
}
