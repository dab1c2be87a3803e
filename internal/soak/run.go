package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
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
	// Streams selects the mode with long answers around planned work instead of that of the
	// seed, Parts the parts of it that are switched on, all if empty.
	Streams bool
	Parts   []Part
	// Busy is the number of processes that use a processor each all the while.
	Busy int
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
	// Cuts holds the shares of requests that were cut, by what surrounded them.
	Cuts []string
	// Calm is the share of the requests that were served after the faults had ended.
	Calm float64
	Dir  string
}

// Run plays one seed. It fails if the system can't be started.
func Run(ctx context.Context, cfg Config) (Result, error) {
	s := &system{cfg: cfg, mode: modeOf(cfg.Seed), oracle: newOracle(), network: newNetwork()}
	if cfg.Streams {
		s.mode = modeStreams
	}
	defer s.network.close()
	if err := s.build(); err != nil {
		return Result{}, err
	}
	s.fleet = newFleet(s.oracle, s.seeds)
	s.fleet.planned = s.mode == modePlanned
	s.fleet.silences = s.plays(PartSilences)
	s.fleet.entries = make(map[string]*daemon)
	for _, d := range s.entries() {
		s.fleet.entries[d.ip] = d
	}
	defer s.fleet.close()
	defer s.stopAll()
	if err := s.startAll(); err != nil {
		return Result{}, err
	}
	stopBusy, err := startBusy(cfg.Busy)
	if err != nil {
		return Result{}, err
	}
	defer stopBusy()
	calm, err := s.play(ctx)
	var cuts []string
	if s.mode == modeStreams {
		cuts = s.oracle.judgeCuts()
	}
	findings, counts := s.oracle.result()
	return Result{Seed: cfg.Seed, Mode: string(s.mode), Findings: findings, Counts: counts, Cuts: cuts, Calm: calm, Dir: cfg.Dir}, err
}

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
	if s.mode == modeStreams {
		callers.Go(func() { s.oracle.watchStalls(ctx) })
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
