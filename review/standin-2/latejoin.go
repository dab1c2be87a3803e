//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// lateness is within the 2 to 12 s after which an unanswered order is carried out, and
	// lateFor how long orders go unanswered.
	lateness = 9 * time.Second
	lateFor  = 5500 * time.Millisecond
	// cutFor is how long the head is partitioned.
	cutFor = 9 * time.Second
	// detection is how long control takes to release the replica of a silent server.
	detection = 3250 * time.Millisecond
)

// lateJoin: engines are added and form a group, while a part of the orders gets no answer and
// is carried out seconds later. Then the head of that group is partitioned from control. Its
// members are told to leave, shortly before their late join orders are carried out.
func lateJoin(rec *record, trouble bool) error {
	s, err := newSystem(rec, 2)
	if err != nil {
		return err
	}
	defer s.stop()
	f := s.fleet
	go f.watch()
	for i := range 6 {
		if _, err := f.add(fmt.Sprintf("i-7f3a91%02d", i), "assistant", "muscat-b", "d1", true, engineSlots); err != nil {
			return err
		}
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
	joins := &firstJoins{trouble: trouble, seen: make(map[string]bool)}
	f.mu.Lock()
	f.late = joins.late
	f.mu.Unlock()
	rec.log("six engines are added")
	var added []*server
	for i := range 6 {
		e, err := f.add(fmt.Sprintf("i-02d9e6%02d", i), "assistant", "muscat-a", "d0", true, engineSlots)
		if err != nil {
			return err
		}
		added = append(added, e)
	}
	head, err := awaitOpen(f, added, 60*time.Second)
	if err != nil {
		return err
	}
	// The members are told to leave shortly before their late orders are due.
	time.Sleep(time.Until(joins.at().Add(lateness - detection - 800*time.Millisecond)))
	if trouble {
		head.report()
		time.Sleep(50 * time.Millisecond)
		f.setCut(head, true)
	}
	time.Sleep(cutFor)
	f.setCut(head, false)
	f.mu.Lock()
	rec.log("orders since the start: %d, of which %d got no answer", f.ordersTotal, f.ordersLate)
	f.mu.Unlock()
	time.Sleep(3 * time.Second)
	if a := s.send(s.entries[0], http.MethodGet, "/read/x", "", 1500*time.Millisecond, nil); a.status == 0 {
		return fmt.Errorf("nothing is served at the end")
	}
	return nil
}

// firstJoins lets the first join of each member but the head go unanswered: a third of the
// orders in that time.
type firstJoins struct {
	trouble bool
	mu      sync.Mutex
	first   time.Time
	seen    map[string]bool
}

func (j *firstJoins) late(e *server, o order) (time.Duration, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if o.Op != "join" {
		return 0, false
	}
	if j.first.IsZero() {
		j.first = time.Now()
	}
	if !j.trouble || o.Members[0] == e.id || j.seen[e.id] || time.Since(j.first) > lateFor {
		return 0, false
	}
	j.seen[e.id] = true
	return lateness, true
}

func (j *firstJoins) at() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.first
}

// awaitOpen waits until one of the given engines is an open head.
func awaitOpen(f *fleet, engines []*server, limit time.Duration) (*server, error) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		for _, e := range engines {
			if e.group != nil && e.group.State == "open" {
				f.mu.Unlock()
				return e, nil
			}
		}
		f.mu.Unlock()
	}
	return nil, fmt.Errorf("the added engines form no group within %s", limit)
}

// setCut partitions a server from the control daemons, or ends that.
func (f *fleet) setCut(e *server, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.cut != cut {
		f.sys.rec.log("%s is partitioned from control: %t", e.id, cut)
	}
	e.cut = cut
}
