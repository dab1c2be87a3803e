package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Slots and work of a server, as in the small deployments.
const (
	serverSlots = 6
	serverWork  = 30 * time.Millisecond
)

// begin starts a small deployment with one server in each zone and its configuration.
func (w *world) begin(entryZones []string) (controls, entries []*daemon, servers []*server, c *clients, err error) {
	if controls, entries, err = w.startSystem(entryZones); err != nil {
		return
	}
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		s, err := w.addServer(fmt.Sprintf("i-%04d", i+1), zone, 80+i, serverSlots, serverWork, func() []string { return controlAddresses(controls) })
		if err != nil {
			return nil, nil, nil, nil, err
		}
		servers = append(servers, s)
	}
	o := &operator{w: w}
	if _, ok := o.order(controlAddresses(controls), "/Config.Replace", document(1), 20*time.Second); !ok {
		return nil, nil, nil, nil, fmt.Errorf("the first configuration is not acknowledged")
	}
	c = newClients(w)
	return controls, entries, servers, c, c.awaitService(entries, 20*time.Second)
}

// coreReplacement replaces two of the three machines of the core one after the other, each
// by a new machine that has run for longer than catchUp, and reads the configuration
// afterwards.
func coreReplacement(w *world, trouble bool) (bool, error) {
	controls, entries, _, c, err := w.begin([]string{"z-a", "z-b"})
	if err != nil {
		return false, err
	}
	for _, e := range entries {
		c.run(e, 10)
	}
	time.Sleep(8 * time.Second)
	addresses := controlAddresses(controls)
	if trouble {
		first := w.addDaemon("control", "z-c", 13, addresses, false)
		if err := first.start(); err != nil {
			return false, err
		}
		time.Sleep(2500 * time.Millisecond)
		second := w.addDaemon("control", "z-b", 14, addresses, false)
		if err := second.start(); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		w.record("%s has run for %v, longer than catchUpS: %s is stopped for good", first.name, 4500*time.Millisecond, controls[2].name)
		controls[2].terminate()
		time.Sleep(2500 * time.Millisecond)
		w.record("%s has run for over %v, longer than catchUpS: %s is stopped for good", second.name, 4500*time.Millisecond, controls[1].name)
		controls[1].terminate()
		addresses = controlAddresses([]*daemon{controls[0], first, second})
	} else {
		time.Sleep(9 * time.Second)
	}
	o := &operator{w: w}
	_, acknowledged := o.order(addresses, "/Config.Replace", document(5), 30*time.Second)
	read := readBack(w, o, addresses, 25*time.Second)
	c.end()
	w.record("acknowledged: %t, read back: %t, %d of %d requests of clients served", acknowledged, read, c.count(isServed), len(c.answers))
	return !read, nil
}

// readBack asks for the configuration, at one daemon after the other, until one answers.
func readBack(w *world, o *operator, addresses []string, limit time.Duration) bool {
	began := time.Now()
	for i := 0; time.Since(began) < limit; i++ {
		address := addresses[i%len(addresses)]
		status, text, err := o.call(http.MethodGet, address, "/Config.Get", nil)
		w.record("operator: GET /Config.Get at %s: %s, %d bytes", address, outcome(status, err), len(text))
		if err == nil && status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// frozenFor is how long the control daemon stands still.
const frozenFor = 6900 * time.Millisecond

// lateEvacuation takes a zone out, back, and out again while one control daemon stands still.
func lateEvacuation(w *world, trouble bool) (bool, error) {
	controls, entries, servers, c, err := w.begin([]string{"z-a", "z-b", "z-c"})
	if err != nil {
		return false, err
	}
	for _, e := range entries {
		c.run(e, 15)
	}
	o := &operator{w: w}
	time.Sleep(3 * time.Second)
	frozen := controls[1]
	others := controlAddresses([]*daemon{controls[0], controls[2]})
	if _, ok := o.order(others, "/Evacuation.Start/z-c", nil, ackTime); !ok {
		return false, fmt.Errorf("the first evacuation is not acknowledged")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	stoppedAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	if _, ok := o.order(append([]string{frozen.control()}, others...), "/Evacuation.Finish/z-c", nil, ackTime); !ok {
		return false, fmt.Errorf("the end of the evacuation is not acknowledged")
	}
	time.Sleep(time.Second)
	acknowledged, ok := o.order(others, "/Evacuation.Start/z-c", nil, ackTime)
	if !ok {
		return false, fmt.Errorf("the second evacuation is not acknowledged")
	}
	time.Sleep(time.Until(stoppedAt.Add(frozenFor)))
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	// The entries are in touch once the core is stable, and the bound is stretched by outerMs.
	from := time.Now().Add(stableWindow)
	if bound := acknowledged.Add(evacuateTime + outerTime); bound.After(from) {
		from = bound
	}
	to := from.Add(8 * time.Second)
	time.Sleep(time.Until(to))
	c.end()
	n, first := servers[2].reached(from, to)
	w.record("%d requests reached the server in z-c later than %v after its evacuation was acknowledged", n, from.Sub(acknowledged).Round(time.Millisecond))
	if n > 0 {
		w.record("the first one is %s, %v after the acknowledgement", first.request, first.at.Sub(acknowledged).Round(time.Millisecond))
	}
	return n > 0, nil
}

// firstStart starts a system of which one machine of the core is lost for good right after
// its start, and replaced by another one.
func firstStart(w *world, trouble bool) (bool, error) {
	controls, entries, err := w.startSystem([]string{"z-a", "z-b"})
	if err != nil {
		return false, err
	}
	addresses := controlAddresses(controls)
	if trouble {
		time.Sleep(lostAfter)
		lost := controls[2]
		lost.signal(syscall.SIGKILL)
		lost.await(time.Second)
		time.Sleep(time.Second)
		successor := w.addDaemon("control", lost.zone, 13, addresses, false)
		if err := successor.start(); err != nil {
			return false, err
		}
		addresses = controlAddresses([]*daemon{controls[0], controls[1], successor})
	}
	servers := func() []string { return addresses }
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		if _, err := w.addServer(fmt.Sprintf("i-%04d", i+1), zone, 80+i, serverSlots, serverWork, servers); err != nil {
			return false, err
		}
	}
	o := &operator{w: w}
	_, acknowledged := o.order(addresses, "/Config.Replace", document(1), 45*time.Second)
	read := readBack(w, o, addresses, 15*time.Second)
	c := newClients(w)
	served := c.awaitService(entries, 5*time.Second) == nil
	w.record("acknowledged: %t, read back: %t, requests of clients served: %t", acknowledged, read, served)
	return !read, nil
}

// lostAfter is the time from the start of the last machine to the loss.
const lostAfter = 50 * time.Millisecond

// lateJoinAfter is how late the held join order of the member is carried out, inside the 2 to
// 12 s of the pages.
const lateJoinAfter = 9 * time.Second

// joinedTwice loses a member of an open replica, which starts again under its id, while its
// first join order is still on its way and the head is partitioned from the core.
func joinedTwice(w *world, trouble bool) (bool, error) {
	controls, _, err := w.startSystem([]string{"z-a"})
	if err != nil {
		return false, err
	}
	addresses := func() []string { return controlAddresses(controls) }
	o := &operator{w: w}
	if _, ok := o.order(addresses(), "/Config.Replace", engineDocument(), 20*time.Second); !ok {
		return false, fmt.Errorf("the first configuration is not acknowledged")
	}
	var engines []*engine
	for i := range engineSize {
		engines = append(engines, w.addEngine(fmt.Sprintf("i-%04d", i+1), 80+i, addresses))
	}
	head, member := engines[0], engines[1]
	held := make(chan time.Time, 1)
	if trouble {
		first := true
		member.holds = func(ord order) (time.Duration, bool) {
			if !first || ord.Op != "join" {
				return 0, false
			}
			first = false
			held <- time.Now()
			return lateJoinAfter, true
		}
	}
	broken := false
	lostAt := time.Time{}
	member.onJoin = func(e *engine, ord order) {
		group, epoch, state := head.stateOf()
		w.record("engine %s, in %q/%d, takes a join of %s/%d; the head %s of %q/%d is %q", e.id, e.group, e.epoch, ord.Group, ord.Epoch, head.id, group, epoch, state)
		if e.group == "" || group != e.group || epoch != e.epoch || state != "open" {
			return
		}
		// The head stands still once its member is lost, and is broken engineStall later.
		if lost := time.Since(lostAt); lost < engineStall {
			w.record("the head has lost its member %v ago: it is not broken yet", lost.Round(time.Millisecond))
			broken = true
		}
	}
	for _, e := range engines {
		if err := e.start(); err != nil {
			return false, err
		}
	}
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		if _, _, state := head.stateOf(); state == "open" {
			break
		}
		if time.Since(began) > 20*time.Second {
			return false, fmt.Errorf("no replica is open")
		}
	}
	w.record("the replica is open")
	if trouble {
		late := (<-held).Add(lateJoinAfter)
		time.Sleep(time.Until(late.Add(-1500 * time.Millisecond)))
		head.setCut(true)
		lostAt = time.Now()
		member.crash()
		time.Sleep(500 * time.Millisecond)
		if err := member.start(); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
	} else {
		time.Sleep(7 * time.Second)
	}
	fourth := w.addEngine("i-0004", 83, addresses)
	if err := fourth.start(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	return broken, nil
}
