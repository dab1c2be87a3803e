package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
)

// Settings of at-most-once.
const (
	onceService = "ledger"
	onceRate    = 30
	// onceMaxSends bounds the number of sends of one deposit.
	onceMaxSends       = 5
	onceResendInterval = 200 * time.Millisecond
	// onceTimeout is how long a caller waits for one answer.
	onceTimeout         = 3 * time.Second
	onceRunTime         = 30 * time.Millisecond
	onceFaultInterval   = 700 * time.Millisecond
	onceServiceDownTime = 300 * time.Millisecond
)

// atMostOnce sends deposits, and resends them when an answer is lost, while
// servers of the service crash, truncate and delay answers, and an entry fails.
func atMostOnce() Experiment {
	return Experiment{
		Name:    "at-most-once",
		Summary: "Callers resend deposits while service servers and an entry fail.",
		Run:     runAtMostOnce,
		Targets: []Target{{Figure: "keys_run_twice", Relation: "<=", Bound: 0}},
	}
}

// depositor sends a deposit once and reports whether its caller got an answer.
type depositor interface {
	deposit(ctx context.Context, key string, body []byte) bool
}

func runAtMostOnce(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	spec := newPathSpec(o)
	spec.replicas = 1
	spec.services = []standin.Service{{Name: onceService, PerDomain: 1, Time: onceRunTime}}
	rig, err := startRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	awaitPropagation(ctx)
	loadCtx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	var faults sync.WaitGroup
	crashed := make(chan error, 1)
	faults.Go(func() { injectServiceFaults(loadCtx, rig.fleet, seed) })
	faults.Go(func() { crashed <- crashEntryOf(loadCtx, rig, o.Duration) })
	count := depositAll(ctx, newDepositor(rig), o.Duration, seed)
	stop()
	faults.Wait()
	if err = <-crashed; err != nil {
		return nil, err
	}
	return count.figures(rig.fleet), nil
}

// awaitPropagation waits long enough for the servers of a service to reach
// every view.
func awaitPropagation(ctx context.Context) { sleepUntil(ctx, time.Now().Add(propagationTime)) }

// depositCount counts the deposits and their sends.
type depositCount struct {
	keys     int
	answered atomic.Int64
	sends    atomic.Int64
}

// depositAll sends deposits in an open loop and resends each until it is
// answered.
func depositAll(ctx context.Context, d depositor, duration time.Duration, seed int64) *depositCount {
	rng := rand.New(rand.NewPCG(uint64(seed), onceRate))
	count := &depositCount{}
	began := time.Now()
	at := time.Duration(0)
	var wg sync.WaitGroup
	for {
		at += time.Duration(rng.ExpFloat64() / onceRate * float64(time.Second))
		if at >= duration || !sleepUntil(ctx, began.Add(at)) {
			break
		}
		key := depositKey(count.keys)
		count.keys++
		wg.Go(func() { count.send(ctx, d, key) })
	}
	wg.Wait()
	return count
}

func depositKey(n int) string { return fmt.Sprintf("deposit-%05d", n) }

func (c *depositCount) send(ctx context.Context, d depositor, key string) {
	body := fmt.Appendf(nil, `{"order":%q,"amount":120}`, key)
	for range onceMaxSends {
		c.sends.Add(1)
		if d.deposit(ctx, key, body) {
			c.answered.Add(1)
			return
		}
		if !sleepUntil(ctx, time.Now().Add(onceResendInterval)) {
			return
		}
	}
}

func (c *depositCount) figures(f *standin.Fleet) []Figure {
	twice, most, once := 0, 0, 0
	for i := range c.keys {
		runs := f.RunsOfKey(onceService, depositKey(i))
		most = max(most, runs)
		if runs > 1 {
			twice++
		}
		if runs == 1 {
			once++
		}
	}
	return []Figure{
		{Name: "keys", Unit: "deposits", Value: float64(c.keys)},
		{Name: "sends", Unit: "requests", Value: float64(c.sends.Load())},
		{Name: "keys_run_twice", Unit: "deposits", Value: float64(twice)},
		{Name: "keys_run_once", Unit: "ratio", Value: float64(once) / float64(max(c.keys, 1))},
		{Name: "keys_answered", Unit: "ratio", Value: float64(c.answered.Load()) / float64(max(c.keys, 1))},
		{Name: "most_runs_of_a_key", Unit: "runs", Value: float64(most)},
	}
}

func newDepositor(rig *pathRig) depositor {
	if rig.system != nil {
		return &systemDepositor{rig.system}
	}
	d := &baselineDepositor{}
	for _, h := range rig.fleet.OfService(onceService) {
		d.clients = append(d.clients, caller.Pinned(rig.fleet.Token(), h.Address()))
	}
	return d
}

// systemDepositor sends deposits to the entries.
type systemDepositor struct{ system *pathSystem }

func (d *systemDepositor) deposit(ctx context.Context, key string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, onceTimeout)
	defer cancel()
	answer, err := d.system.client("counter").Service(ctx, http.MethodPost, onceService, "/deposits", key, body)
	return err == nil && answer.IsComplete()
}

// baselineDepositor sends deposits directly to the servers, in turn.
type baselineDepositor struct {
	clients    []*caller.Client
	nextClient atomic.Int64
}

func (d *baselineDepositor) deposit(ctx context.Context, key string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, onceTimeout)
	defer cancel()
	client := d.clients[int(d.nextClient.Add(1))%len(d.clients)]
	answer, err := client.Service(ctx, http.MethodPost, onceService, "/deposits", key, body)
	return err == nil && answer.Status == http.StatusOK
}

// injectServiceFaults makes the servers crash, truncate and delay answers, in
// turn.
func injectServiceFaults(ctx context.Context, f *standin.Fleet, seed int64) {
	rng := rand.New(rand.NewPCG(uint64(seed), 1))
	servers := f.OfService(onceService)
	for n := 0; sleepUntil(ctx, time.Now().Add(onceFaultInterval)); n++ {
		h := servers[rng.IntN(len(servers))]
		switch n % 3 {
		case 0:
			h.Kill()
			sleepUntil(ctx, time.Now().Add(onceServiceDownTime))
			_ = h.Restart()
		case 1:
			h.Inject(standin.Fault{Kind: standin.FaultTruncate, Count: 2})
		default:
			h.Inject(standin.Fault{Kind: standin.FaultLate, Count: 2, Delay: 2 * onceTimeout})
		}
	}
}

// crashEntryOf crashes an entry of the system; the baseline has none.
func crashEntryOf(ctx context.Context, rig *pathRig, d time.Duration) error {
	if rig.system == nil {
		return nil
	}
	return crashEntry(ctx, rig, d, lostEntry)
}
