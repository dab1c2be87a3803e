package bench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
)

// Settings of relay.
const (
	// relayProcs is the number of processors of the entry; stand-ins and callers
	// have the rest of the machine.
	relayProcs = 2
	// relayWarmLoad is the number of requests that one replica runs at once.
	relayWarmLoad = 1200
	// relayTokens is the length of a stream: the planned tokens a second over the
	// planned requests a second.
	relayTokens = plannedTokenRate / 980
	// plannedTokenRate is the planned peak, in tokens a second.
	plannedTokenRate = 330_000
	// relaySettle is the time between the start of a step and its window.
	relaySettle = 1500 * time.Millisecond
	// relayStagger is the time over which the streams of a step begin.
	relayStagger = time.Second
	// relayRetryDelay is the pause of a caller after an incomplete stream.
	relayRetryDelay = 100 * time.Millisecond
	// relayWindowShare is the window of a step, as a fraction of the duration
	// of a run.
	relayWindowShare = 0.4
	// relayGrowth is the minimum factor over the best rate that counts as
	// growth.
	relayGrowth = 1.05
	// relayDirect is the number of streams that call the stand-ins directly.
	relayDirect = 20
	// relayPerClient is the number of streams that share a caller's client.
	relayPerClient = 200
)

// relaySteps are the numbers of concurrent streams.
var relaySteps = []int{500, 1000, 1500, 2000, 2500, 3000, 4000, 5000, 6000}

// relay finds the token rate that one entry can relay. The entry and one
// control daemon are separate processes; stand-ins and callers run in the
// process of the experiment and are not measured.
func relay() Experiment {
	return Experiment{
		Name:    "relay",
		Summary: "Tokens a second through one entry on 2 processors, with more and more streams until it is saturated.",
		Run:     runRelay,
		Targets: []Target{
			{Figure: "wrong", Relation: "<=", Bound: 0},
			{Figure: "failed", Relation: "<=", Bound: 0},
		},
	}
}

// runRelay has no baseline policy: each step has direct calls beside it.
func runRelay(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	if policy == PolicyBaseline {
		return nil, nil
	}
	rig, err := startRelayRig(ctx, o.Preset)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	var figures []Figure
	best, total := relayStep{}, relayStep{}
	window := time.Duration(relayWindowShare * float64(o.Duration))
	for _, streams := range relaySteps {
		step, err := rig.step(ctx, streams, window, seed)
		if err != nil {
			return nil, err
		}
		figures = append(figures, step.figures()...)
		total.wrong += step.wrong
		total.failed += step.failed
		grown := step.rate() >= relayGrowth*best.rate()
		if step.rate() > best.rate() && step.meetsGapTarget() {
			best = step
		}
		if !grown || !step.meetsGapTarget() {
			break
		}
	}
	figures = append(figures, best.summary()...)
	return append(figures,
		Figure{Name: "wrong", Unit: "streams", Value: float64(total.wrong)},
		Figure{Name: "failed", Unit: "streams", Value: float64(total.failed)},
	), nil
}

// relayRig is the two daemons with their backend servers.
type relayRig struct {
	pair   *processPair
	fleet  *standin.Fleet
	direct []*caller.Client
}

func startRelayRig(ctx context.Context, preset Preset) (*relayRig, error) {
	spec := newPathSpec(Options{Preset: preset})
	spec.engine.BatchFactor = negligibleBatch
	// Cold replicas perform as warm ones, so that no cold start is measured.
	spec.engine.WarmLoad, spec.engine.ColdLoad, spec.engine.ColdFactor = relayWarmLoad, relayWarmLoad, 1
	spec.accounts = append(spec.accounts[:0], pathAccount("counter", 5, spec.capacity()))
	pair, err := startPair(preset, relayProcs)
	if err != nil {
		return nil, err
	}
	r := &relayRig{pair: pair}
	if err = r.start(ctx, spec); err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *relayRig) start(ctx context.Context, spec pathSpec) error {
	ready, cancel := context.WithTimeout(ctx, pathStartTimeout)
	defer cancel()
	cfg := spec.fleet()
	cfg.Entries = []string{r.pair.entry.Callers}
	cfg.Token = processBackendToken
	cfg.Domains = pathDomains
	fleet, err := standin.Start(cfg)
	if err != nil {
		return err
	}
	r.fleet = fleet
	if err = r.pair.confirm(ready, spec.intent(), spec.replicas); err != nil {
		return err
	}
	for _, h := range fleet.Hosts() {
		if h.Serving() {
			r.direct = append(r.direct, caller.Pinned(processBackendToken, h.Address()))
		}
	}
	return nil
}

func (r *relayRig) close() {
	if r.fleet != nil {
		r.fleet.Close()
	}
	r.pair.stop()
}

func (r *relayRig) client() *caller.Client { return caller.Pinned("counter", r.pair.entry.Callers) }

// relayTally sums the results of the streams of one step within its window.
type relayTally struct {
	from, to time.Time

	mu         sync.Mutex
	tokens     int
	wrong      int
	failed     int
	firstToken *hdrhistogram.Histogram
	gaps       *hdrhistogram.Histogram
}

func newRelayTally(from, to time.Time) *relayTally {
	return &relayTally{
		from:       from,
		to:         to,
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		gaps:       hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// add counts one stream, which may have been broken off at the end of the step.
func (t *relayTally) add(began time.Time, a caller.Answer, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Text() != standin.AnswerText(a.Request, len(a.Tokens)) {
		t.wrong++
	}
	if !complete && time.Now().Before(t.to) {
		t.failed++
	}
	if len(a.Tokens) == 0 {
		return
	}
	at := began.Add(a.FirstToken)
	if t.within(at) {
		t.tokens++
		record(t.firstToken, a.FirstToken)
	}
	for _, gap := range a.Gaps {
		at = at.Add(gap)
		if t.within(at) {
			t.tokens++
			record(t.gaps, gap)
		}
	}
}

func (t *relayTally) within(at time.Time) bool { return !at.Before(t.from) && at.Before(t.to) }

// relayStep is the outcome of one number of streams.
type relayStep struct {
	streams int
	window  time.Duration
	used    usage
	tokens  int
	wrong   int
	failed  int
	// entry and direct are the results of the streams through the entry and of
	// those sent directly to the stand-ins.
	entry, direct *relayTally
}

func (r *relayRig) step(ctx context.Context, streams int, window time.Duration, seed int64) (relayStep, error) {
	from := time.Now().Add(relaySettle)
	to := from.Add(window)
	step := relayStep{streams: streams, window: window, entry: newRelayTally(from, to), direct: newRelayTally(from, to)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(uint64(seed), uint64(streams)))
	var client *caller.Client
	for i := range streams {
		if i%relayPerClient == 0 {
			client = r.client()
		}
		first := 1 + rng.IntN(relayTokens)
		at := time.Now().Add(time.Duration(rng.Int64N(int64(relayStagger))))
		wg.Go(func() {
			sleepUntil(ctx, at)
			streamUntilEnd(ctx, client, step.entry, i, first)
		})
	}
	for i := range relayDirect {
		wg.Go(func() { streamUntilEnd(ctx, r.direct[i%len(r.direct)], step.direct, i, relayTokens) })
	}
	used, err := r.usageBetween(ctx, from, to)
	cancel()
	wg.Wait()
	step.used = used
	step.tokens = step.entry.tokens
	step.wrong = step.entry.wrong + step.direct.wrong
	step.failed = step.entry.failed
	return step, err
}

// usageBetween returns the resources that the entry used between two moments.
func (r *relayRig) usageBetween(ctx context.Context, from, to time.Time) (usage, error) {
	pid := r.pair.entry.PID()
	sleepUntil(ctx, from)
	before, err := readUsage(pid)
	if err != nil {
		return usage{}, err
	}
	sleepUntil(ctx, to)
	after, err := readUsage(pid)
	return after.since(before), err
}

// streamUntilEnd runs one stream after another until ctx ends. The first is
// shorter, so that the streams of a step are not synchronized.
func streamUntilEnd(ctx context.Context, c *caller.Client, t *relayTally, id, first int) {
	tokens := first
	for n := 0; ctx.Err() == nil; n++ {
		began := time.Now()
		answer, err := c.Chat(ctx, pathModel, fmt.Sprintf("stream %d of caller %d", n, id), tokens)
		complete := err == nil && answer.Terminated && len(answer.Tokens) == tokens
		t.add(began, answer, complete)
		tokens = relayTokens
		if !complete {
			sleepUntil(ctx, time.Now().Add(relayRetryDelay))
		}
	}
}

// rate returns the tokens a second.
func (s relayStep) rate() float64 {
	if s.window == 0 {
		return 0
	}
	return float64(s.tokens) / s.window.Seconds()
}

// meetsGapTarget reports whether the 95th percentile of the token gaps is
// within tokenGapBound.
func (s relayStep) meetsGapTarget() bool { return millis(s.entry.gaps, 95) <= tokenGapBound }

// perToken divides a sum by the tokens of the step.
func (s relayStep) perToken(sum float64) float64 { return sum / math.Max(float64(s.tokens), 1) }

func (s relayStep) figures() []Figure {
	name := func(what string) string { return "streams_" + strconv.Itoa(s.streams) + "_" + what }
	return []Figure{
		{Name: name("rate"), Unit: "tokens/s", Value: s.rate()},
		{Name: name("entry_cores"), Unit: "cores", Value: s.used.cpu.Seconds() / s.window.Seconds()},
		{Name: name("cpu_per_token"), Unit: "us", Value: s.perToken(float64(s.used.cpu.Microseconds()))},
		{Name: name("writes_per_token"), Unit: "calls", Value: s.perToken(float64(s.used.writes))},
		{Name: name("first_token_p50"), Unit: "ms", Value: millis(s.entry.firstToken, 50)},
		{Name: name("first_token_p95"), Unit: "ms", Value: millis(s.entry.firstToken, 95)},
		{Name: name("token_gap_p50"), Unit: "ms", Value: millis(s.entry.gaps, 50)},
		{Name: name("token_gap_p95"), Unit: "ms", Value: millis(s.entry.gaps, 95)},
		{Name: name("token_gap_p99"), Unit: "ms", Value: millis(s.entry.gaps, 99)},
		{Name: name("direct_token_gap_p95"), Unit: "ms", Value: millis(s.direct.gaps, 95)},
	}
}

// summary returns the figures of the entry at its best step.
func (s relayStep) summary() []Figure {
	if s.tokens == 0 {
		return nil
	}
	return []Figure{
		{Name: "saturation_rate", Unit: "tokens/s", Value: s.rate()},
		{Name: "saturation_streams", Unit: "streams", Value: float64(s.streams)},
		{Name: "cpu_per_token", Unit: "us", Value: s.perToken(float64(s.used.cpu.Microseconds()))},
		{Name: "bytes_in_per_token", Unit: "B", Value: s.perToken(float64(s.used.read))},
		{Name: "bytes_out_per_token", Unit: "B", Value: s.perToken(float64(s.used.written))},
		{Name: "reads_per_token", Unit: "calls", Value: s.perToken(float64(s.used.reads))},
		{Name: "writes_per_token", Unit: "calls", Value: s.perToken(float64(s.used.writes))},
		{Name: "entries_for_planned_rate", Unit: "entries", Value: math.Ceil(plannedTokenRate / s.rate())},
		{Name: "cores_for_planned_rate", Unit: "cores", Value: plannedTokenRate * s.used.cpu.Seconds() / float64(s.tokens)},
	}
}
