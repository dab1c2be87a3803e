//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// beatDelay is how much later than usual a heartbeat arrives.
	beatDelay = 1500 * time.Millisecond
	// leaveTime is the time from the leave of a member to the end of the load of the added engine.
	leaveTime = 4200 * time.Millisecond
	// downTime is how long the killed daemon is down.
	downTime = 3500 * time.Millisecond
	// headSilence is how long a sound head falls silent.
	headSilence = 1300 * time.Millisecond
)

// lateBeat: the leader of control is killed. A heartbeat that an engine sent before it joined
// its group reaches the next leader before its newer ones do, while the head of the group
// falls silent for a second.
func lateBeat(rec *record, trouble bool) error {
	s, err := newSystem(rec, 2)
	if err != nil {
		return err
	}
	defer s.stop()
	f := s.fleet
	go f.watch()
	add := func(i int, domain string) (*server, error) {
		return f.add(fmt.Sprintf("i-7f3a91%02d", i), "assistant", "muscat-a", domain, true, engineSlots)
	}
	for i := range 8 {
		domain := "d0"
		if i >= 5 {
			domain = "d1"
		}
		if _, err := add(i, domain); err != nil {
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
	late := f.servers["i-7f3a9103"]
	// The spares hold the weights.
	if err := f.await(40*time.Second, "two spares with weights", func() bool {
		return late.staged != "" && f.servers["i-7f3a9104"].staged != "" && late.group == nil
	}); err != nil {
		return err
	}
	added, err := add(8, "d0")
	if err != nil {
		return err
	}
	if err := f.await(10*time.Second, "an added engine that loads weights", func() bool { return !added.stagedAt.IsZero() }); err != nil {
		return err
	}
	// A member leaves in order, so that the spare takes its place shortly before the added
	// engine holds the weights.
	time.Sleep(time.Until(added.stagedAt.Add(-leaveTime)))
	f.mu.Lock()
	leaving := f.servers["i-7f3a9102"]
	leaving.state = "draining"
	f.mu.Unlock()
	rec.log("%s leaves", leaving.id)
	leaving.report()
	time.Sleep(drainTime)
	old := late.heartbeat()
	rec.log("%s sends a heartbeat, which is held up: %s", late.id, old)
	if err := f.await(30*time.Second, "a group with the spare", func() bool {
		return late.group != nil && late.group.State == "ready" && f.servers[late.group.members[0]].group != nil &&
			f.servers[late.group.members[0]].group.State == "open"
	}); err != nil {
		return err
	}
	f.mu.Lock()
	leaving.dead = true
	head := f.servers[late.group.members[0]]
	f.mu.Unlock()
	if err := f.await(20*time.Second, "a second spare with weights again", func() bool { return added.staged != "" }); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := s.killLeader(late, head, old); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	if a := s.send(s.entries[0], http.MethodGet, "/read/x", "", 1500*time.Millisecond, nil); a.status == 0 {
		return fmt.Errorf("nothing is served at the end")
	}
	return nil
}

// killLeader kills the leader of control, and delivers a held-up heartbeat to the next one.
func (s *system) killLeader(late, head *server, old []byte) error {
	leader, err := s.leader()
	if err != nil {
		return err
	}
	late.report()
	time.Sleep(100 * time.Millisecond)
	f := s.fleet
	f.mu.Lock()
	late.mute = time.Now().Add(heartbeatInterval + beatDelay)
	f.mu.Unlock()
	s.rec.log("%s, the leader, is killed", leader.name)
	_ = leader.cmd.Process.Kill()
	<-leader.done
	var next *daemon
	for until := time.Now().Add(5 * time.Second); next == nil && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, c := range s.controls {
			if c == leader {
				continue
			}
			if status, _, err := call(http.MethodGet, c.address(portControl), "/Config.Get", nil, 300*time.Millisecond); err == nil && status == http.StatusOK {
				next = c
			}
		}
	}
	if next == nil {
		return fmt.Errorf("no new leader")
	}
	f.mu.Lock()
	head.silentUntil = time.Now().Add(headSilence)
	f.mu.Unlock()
	s.rec.log("%s falls silent for %s", head.id, headSilence)
	status, _, err := call(http.MethodPost, next.address(portControl), "/Instances.Heartbeat/"+late.id, old, time.Second)
	s.rec.log("%s: the held-up heartbeat arrives: %d %v", late.id, status, err)
	time.Sleep(downTime)
	return s.start(leader)
}
