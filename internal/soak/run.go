package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/clock"
)

// Config configures one run.
type Config struct {
	// Binary is the crocusway binary under test.
	Binary string
	Seed   uint64
	// Network selects the loopback network 127.x.y.0/24 of the run, 0 to 25,000.
	Network int
	// Controls and Entries are the numbers of daemons, Engines the number of stand-in
	// model engines, Callers the number of concurrent callers.
	Controls, Entries, Engines, Callers int
	// Length is how long faults are injected.
	Length time.Duration
	// Dir receives the logs and data folders of the daemons.
	Dir string
}

// Result is the outcome of one run.
type Result struct {
	Seed     uint64
	Mode     string
	Findings []string
	// Counts holds what callers, operators and backend servers saw, by name.
	Counts map[string]int
	// Calm is the share of the requests that were served after the faults had ended.
	Calm float64
	Dir  string
}

var zones = []string{"z1", "z2", "z3"}

// ledgerServers is the number of plain backend servers.
const ledgerServers = 3

// system is the system under test with all that surrounds it.
type system struct {
	cfg     Config
	mode    mode
	oracle  *oracle
	network *network
	fleet   *fleet
	daemons []*daemon
	seeds   []string
	nextID  int
	mu      sync.Mutex
}

// Run plays one seed. It fails if the system can't be started.
func Run(ctx context.Context, cfg Config) (Result, error) {
	s := &system{cfg: cfg, mode: modeOf(cfg.Seed), oracle: newOracle(), network: newNetwork()}
	defer s.network.close()
	if err := s.build(); err != nil {
		return Result{}, err
	}
	s.fleet = newFleet(s.oracle, s.seeds)
	s.fleet.planned = s.mode == modePlanned
	defer s.fleet.close()
	defer s.stopAll()
	if err := s.startAll(); err != nil {
		return Result{}, err
	}
	calm, err := s.play(ctx)
	findings, counts := s.oracle.result()
	return Result{Seed: cfg.Seed, Mode: string(s.mode), Findings: findings, Counts: counts, Calm: calm, Dir: cfg.Dir}, err
}

func (s *system) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+s.cfg.Network/250, s.cfg.Network%250, host)
}

// Hosts of the daemons and the stand-ins within the network.
const (
	hostServers  = 2
	hostControls = 10
	hostEntries  = 40
	maxEntries   = 200
)

func (s *system) build() error {
	if s.cfg.Entries > maxEntries || s.cfg.Controls > hostEntries-hostControls {
		return errors.Newf("entries = %d, controls = %d: at most %d and %d", s.cfg.Entries, s.cfg.Controls, maxEntries, hostEntries-hostControls)
	}
	add := func(role string, index, host int) {
		name := fmt.Sprintf("%s-%d", role, index+1)
		d := &daemon{
			name: name, role: role, ip: s.ip(host), zone: zones[index%len(zones)], dir: filepath.Join(s.cfg.Dir, name),
			binary: s.cfg.Binary, oracle: s.oracle, bootstrap: true,
		}
		s.daemons = append(s.daemons, d)
	}
	for i := range s.cfg.Controls {
		add(roleControl, i, hostControls+i)
	}
	for _, d := range s.daemons[:min(3, len(s.daemons))] {
		s.seeds = append(s.seeds, d.address(portControl))
	}
	for i := range s.cfg.Entries {
		add(roleEntry, i, hostEntries+i)
	}
	for _, d := range s.daemons {
		if err := s.network.forward(d.address(portPeer), d.address(portListen)); err != nil {
			return err
		}
		if err := d.writeSettings(s.seeds); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) startAll() error {
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for i := range s.cfg.Engines {
		if err := s.addServer("engines", zones[i%len(zones)], true); err != nil {
			return err
		}
	}
	for i := range ledgerServers {
		if err := s.addServer("ledger", zones[i%len(zones)], false); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) addServer(service, zone string, engine bool) error {
	s.mu.Lock()
	s.nextID++
	id := fmt.Sprintf("i-%04d", s.nextID)
	s.mu.Unlock()
	_, err := s.fleet.add(id, service, zone, s.ip(hostServers), engine)
	return err
}

func (s *system) stopAll() {
	var all sync.WaitGroup
	for _, role := range []string{roleEntry, roleControl} {
		for _, d := range s.daemons {
			if d.role == role && d.cmd != nil {
				all.Go(func() {
					d.signal(syscall.SIGCONT)
					d.terminate()
				})
			}
		}
		all.Wait()
	}
}

func (s *system) byRole(role string) []*daemon {
	var out []*daemon
	for _, d := range s.daemons {
		if d.role == role {
			out = append(out, d)
		}
	}
	return out
}

func (s *system) controls() []*daemon { return s.byRole(roleControl) }
func (s *system) entries() []*daemon  { return s.byRole(roleEntry) }

const (
	startTime  = 40 * time.Second
	stableTime = 4 * time.Second
	calmTime   = 3 * time.Second
)

// play runs the callers, the operator and the lanes, then checks that the system has
// recovered. It returns the share of requests served in the calm at the end.
func (s *system) play(ctx context.Context) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	p := newOperator(s)
	r := rand.New(rand.NewPCG(s.cfg.Seed, 7))
	version, text := p.document(r, 0)
	if !p.publish(ctx, r, version, text, time.Now().Add(startTime)) {
		return 0, errors.Newf("the first configuration was not acknowledged within %s", startTime)
	}
	if !s.awaitServing(ctx) {
		return 0, errors.Newf("requests were not served within %s of the start", startTime)
	}
	for i := range s.cfg.Callers {
		callers.Go(func() { newCaller(s, i, s.cfg.Seed).run(ctx) })
	}
	for i := range 2 {
		callers.Go(func() { p.readLoop(ctx, s.cfg.Seed+uint64(i)) })
	}
	s.inject(ctx, p)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	s.heal()
	healed := time.Now()
	clock.Sleep(ctx, stableTime)
	s.checkChange(ctx, p, r)
	clock.Sleep(ctx, time.Until(healed.Add(recovery)))
	before := s.totals()
	clock.Sleep(ctx, calmTime)
	after := s.totals()
	sent, served := after[0]-before[0], after[1]-before[1]
	if 4*served < sent {
		s.oracle.violation("RECOVER: %d of %d requests are served %s after the last fault", served, sent, recovery)
	}
	return float64(served) / float64(max(1, sent)), nil
}

// totals returns the numbers of requests sent and served.
func (s *system) totals() [2]int {
	_, counts := s.oracle.result()
	var out [2]int
	for name, n := range counts {
		if strings.HasPrefix(name, "sent ") {
			out[0] += n
		}
		if strings.HasPrefix(name, "served ") {
			out[1] += n
		}
	}
	return out
}

// awaitServing waits until every kind of request is served.
func (s *system) awaitServing(ctx context.Context) bool {
	c := newCaller(s, -1, s.cfg.Seed)
	for until := time.Now().Add(startTime); time.Now().Before(until) && ctx.Err() == nil; {
		if c.entry = c.resolve(ctx); c.entry != "" {
			for _, k := range []kind{kindStream, kindOnce, kindSafe} {
				if c.entry != "" {
					c.request(k)
				}
			}
		}
		_, counts := s.oracle.result()
		if counts["served streaming"] > 0 && counts["served unsafe"] > 0 && counts["served safe"] > 0 {
			return true
		}
		clock.Sleep(ctx, 100*time.Millisecond)
	}
	return false
}

// inject carries out the lanes of the seed beside each other.
func (s *system) inject(ctx context.Context, p *operator) {
	began := time.Now()
	var lanes sync.WaitGroup
	for _, l := range planOf(s.cfg.Seed, s.cfg.Length) {
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
	case actionSlow:
		d.slow(ctx, e.Length, 1.0/8)
	case actionHup:
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
	done := d.done
	d.mu.Unlock()
	select {
	case <-done:
	default:
		return
	}
	if err := d.start(); err != nil {
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
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
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

// checkChange publishes one more configuration in the calm. It must be acknowledged in
// time, in force at every entry soon after, and be read back.
func (s *system) checkChange(ctx context.Context, p *operator, r *rand.Rand) {
	version, text := p.document(r, 0)
	sent := time.Now()
	if !p.publish(ctx, r, version, text, sent.Add(ackTime)) {
		s.oracle.violation("ACK: version %d, sent %s after the last fault, has no acknowledgement after %s", version, stableTime, ackTime)
		return
	}
	clock.Sleep(ctx, configApply)
	var all sync.WaitGroup
	for _, d := range s.entries() {
		all.Go(func() {
			if status := s.probe(ctx, d, versionPath(version)); status == http.StatusNotFound || status == 0 {
				s.oracle.violation("CONFIG: %s answers %d on a route of version %d, %s after its acknowledgement", d.name, status, version, configApply)
			}
		})
	}
	all.Wait()
	for until := time.Now().Add(ackTime); time.Now().Before(until); clock.Sleep(ctx, 100*time.Millisecond) {
		if p.read(ctx, r) == version {
			return
		}
	}
	s.oracle.violation("CONFIG: version %d is not read back within %s", version, ackTime)
}

// probe sends one request to an entry and returns the status of its answer, 0 without one.
func (s *system) probe(ctx context.Context, d *daemon, path string) int {
	id := "probe-" + d.name
	s.oracle.sending(id, request{kind: kindSafe, path: path + "x"})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address(portFront)+path+"x", nil)
	if err != nil {
		return 0
	}
	request.Host = callerHost
	request.Header.Set(headerID, id)
	request.Header.Set(headerKey, callerKey)
	request.Header.Set(headerDeadline, "1500")
	client := &http.Client{Timeout: callDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// RemoveLogs removes what a run without findings left behind.
func (r Result) RemoveLogs() error {
	if len(r.Findings) > 0 {
		return nil
	}
	return os.RemoveAll(r.Dir)
}
