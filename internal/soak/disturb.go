package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/crocusway/crocusway/internal/clock"
)

// inject carries out the lanes of the seed beside each other.
func (s *system) inject(ctx context.Context, p *operator) {
	began := time.Now()
	var lanes sync.WaitGroup
	for _, l := range planOf(s.mode, s.cfg.Seed, s.cfg.Length) {
		if l.Part != "" && !s.plays(l.Part) {
			continue
		}
		lanes.Go(func() {
			for _, e := range l.Events {
				clock.Sleep(ctx, time.Until(began.Add(e.At)))
				if ctx.Err() != nil || time.Since(began) > s.cfg.Length {
					return
				}
				s.oracle.count("event " + string(e.Action))
				s.carryOut(ctx, p, l, e)
			}
		})
	}
	lanes.Wait()
}

func (s *system) carryOut(ctx context.Context, p *operator, l lane, e event) {
	r := rand.New(rand.NewPCG(e.Seed, 0))
	switch l.Name {
	case "changes":
		p.change(ctx, e)
	case "servers":
		s.disturbServer(ctx, r, e)
	case "links":
		s.disturbLinks(ctx, r, e)
	case "poison":
		s.poison(ctx, e)
	case "limits":
		s.limit(ctx, r, e)
	case "notices":
		s.notify(ctx, r, e)
	case "versions":
		p.storm(ctx, e)
	case "leader":
		s.isolateLeader(ctx, e)
	default:
		daemons := s.byRole(l.Role)
		s.disturbDaemon(ctx, daemons[r.IntN(len(daemons))], r, e)
	}
}

// disturbDaemon carries out an action on a daemon. Two lanes may pick the same one.
func (s *system) disturbDaemon(ctx context.Context, d *daemon, r *rand.Rand, e event) {
	switch e.Action {
	case actionTerm:
		d.terminate()
		s.restart(d)
	case actionKill:
		d.kill()
		clock.Sleep(ctx, time.Duration(r.Int64N(int64(e.Length))))
		s.restart(d)
	case actionPause:
		d.pause(ctx, e.Length)
	case actionHalt:
		d.pause(ctx, haltTime(e.Length))
	case actionSlow:
		d.slow(ctx, e.Length, 1.0/8)
	case actionHup:
		// A SIGHUP right after the start is a matter of the other modes.
		if s.mode == modeStreams && !d.accepts() {
			return
		}
		d.hangUp(ctx)
	case actionWipe:
		d.kill()
		if err := d.wipe(s.seeds); err != nil {
			s.oracle.violation("soak: wipe %s: %v", d.name, err)
		}
		s.restart(d)
		clock.Sleep(ctx, stableTime)
	case actionKillAll:
		var all sync.WaitGroup
		for _, c := range s.controls() {
			all.Go(c.kill)
		}
		all.Wait()
		for _, c := range s.controls() {
			s.restart(c)
		}
		clock.Sleep(ctx, e.Length)
	}
}

// restart starts a daemon that has ended, unless another lane has started it.
func (s *system) restart(d *daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.done:
	default:
		return
	}
	if err := d.startLocked(); err != nil {
		s.oracle.violation("soak: start %s: %v", d.name, err)
	}
}

// maxDelay bounds how slow a link is made.
const maxDelay = 150 * time.Millisecond

func (s *system) disturbLinks(ctx context.Context, r *rand.Rand, e event) {
	a, b := s.daemons[r.IntN(len(s.daemons))], s.controls()[r.IntN(s.cfg.Controls)]
	both := []direction{{a.ip, b.ip}, {b.ip, a.ip}}
	var directions []direction
	bad := rule{silent: true}
	switch e.Action {
	case actionCut:
		directions = both
	case actionOneWay:
		directions = both[r.IntN(2):][:1]
	case actionIsolate:
		directions = s.directionsOf(b)
	case actionDelay:
		directions, bad = s.directionsOf(b), rule{delay: time.Duration(r.Int64N(int64(maxDelay)))}
	case actionReset:
		s.network.resetLinks(b.ip)
	}
	for _, d := range directions {
		s.network.set(d, bad)
	}
	clock.Sleep(ctx, e.Length)
	for _, d := range directions {
		s.network.set(d, rule{})
	}
}

func (s *system) directionsOf(d *daemon) []direction {
	var out []direction
	for _, other := range s.daemons {
		if other != d {
			out = append(out, direction{d.ip, other.ip}, direction{other.ip, d.ip})
		}
	}
	return out
}

func (s *system) disturbServer(ctx context.Context, r *rand.Rand, e event) {
	b := s.fleet.pick(r)
	if b == nil {
		return
	}
	if e.Action == actionDrain {
		s.replaceServer(ctx, b)
		return
	}
	faults := []fault{faultClose, faultHang, faultGarble, faultLost, faultEndless, faultLate}
	k := faults[r.IntN(len(faults))]
	s.oracle.count("server fault " + string(k))
	b.setFault(k)
	clock.Sleep(ctx, e.Length)
	if k == faultClose || k == faultHang {
		b.restart()
		return
	}
	b.setFault(faultNone)
}

// replaceServer starts a new server, then lets the old one leave in order.
func (s *system) replaceServer(ctx context.Context, b *server) {
	if err := s.addServer(b.service, b.zone, b.engine); err != nil {
		s.oracle.violation("soak: add server: %v", err)
		return
	}
	clock.Sleep(ctx, heartbeatInterval)
	if !b.beginDraining() {
		return // Another lane replaces it.
	}
	clock.Sleep(context.WithoutCancel(ctx), drainTime+4*heartbeatInterval)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, control := range s.seeds {
		if b.post(client, control, "/Instances.Deregister/", nil) {
			break
		}
	}
	// It serves on for a while, as servers do that leave.
	clock.Sleep(context.WithoutCancel(ctx), drainTime)
	close(b.died)
	b.setFault(faultClose)
}

// beginDraining has the server say that it leaves. It reports whether it did not before.
func (s *server) beginDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := s.state == "ready"
	s.state = "draining"
	return ready
}

// heal ends every fault.
func (s *system) heal() {
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
		s.restart(d)
	}
	s.network.mu.Lock()
	directions := slices.Collect(maps.Keys(s.network.rules))
	s.network.mu.Unlock()
	for _, d := range directions {
		s.network.set(d, rule{})
	}
}
