package bench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/local"
	"github.com/crocusway/crocusway/internal/standin"
)

// Budget for the control work of one daemon at the planned size.
const (
	budgetCorePercent = 3.5
	budgetBytes       = 24 << 10
	budgetMegabytes   = 256
	bytesPerMegabyte  = 1 << 20
	// plannedRenewal is the renewal interval at the planned size, where a
	// change may take 16 s.
	plannedRenewal = 3 * time.Second
	leaseRenewals  = 3
)

// costPoint is one size at which the cost of control is measured.
type costPoint struct {
	daemons int
	// hosts is the number of announcing backend servers.
	hosts int
	// changes is the number of configuration changes a second.
	changes float64
	// renewal is the time between two renewals of a work lease, which lasts
	// three times as long; 0 stands for the default.
	renewal time.Duration
}

func (p costPoint) name(what string) string {
	name := fmt.Sprintf("%s, %d daemons, %d hosts, %g changes/s", what, p.daemons, p.hosts, p.changes)
	if p.renewal > 0 {
		name += fmt.Sprintf(", renewal %s", p.renewal)
	}
	return name
}

func (p costPoint) adjust(s *config.Serve) {
	if p.renewal > 0 {
		s.RenewInterval = p.renewal
		s.WorkLease = leaseRenewals * p.renewal
	}
}

// costPoints returns sizes that vary one at a time, so that slopes can be
// derived.
func costPoints() []costPoint {
	return []costPoint{
		{daemons: 4},
		{daemons: 16},
		{daemons: 32},
		{daemons: 4, renewal: plannedRenewal},
		{daemons: 16, renewal: plannedRenewal},
		{daemons: 32, renewal: plannedRenewal},
		{daemons: 4, changes: 5},
		{daemons: 16, changes: 5},
		{daemons: 32, changes: 5},
		{daemons: 4, hosts: 150},
		{daemons: 4, hosts: 600},
	}
}

// controlCost returns the experiment that measures what control costs daemons:
// bytes on their links, processor time and memory. Processor time and memory
// are those of the whole process, stand-ins included, divided by the number of
// daemons, and so an upper bound.
func controlCost() Experiment {
	e := Experiment{
		Name:    "control-cost",
		Summary: "bytes, processor time and memory that control costs a daemon, by daemons, hosts and changes",
		Run:     runControlCost,
	}
	for _, p := range costPoints() {
		e.Targets = append(e.Targets,
			Target{Figure: p.name("link bytes of an entry"), Relation: "<=", Bound: budgetBytes},
			Target{Figure: p.name("link bytes of the leader"), Relation: "<=", Bound: budgetBytes},
			Target{Figure: p.name("processor"), Relation: "<=", Bound: budgetCorePercent},
			Target{Figure: p.name("heap"), Relation: "<=", Bound: budgetMegabytes},
		)
	}
	return e
}

func runControlCost(ctx context.Context, o Options, policy Policy, _ int64) ([]Figure, error) {
	if policy == PolicyBaseline {
		return nil, nil
	}
	var figures []Figure
	for _, p := range costPoints() {
		measured, err := p.measure(ctx, o.Duration)
		if err != nil {
			return nil, errors.Wrap(err, p.name("cost"))
		}
		figures = append(figures, measured...)
	}
	return figures, nil
}

func (p costPoint) measure(ctx context.Context, d time.Duration) ([]Figure, error) {
	system, err := p.start(ctx)
	if err != nil {
		return nil, err
	}
	defer system.Close()
	status, err := system.Client.Status()
	if err != nil {
		return nil, err
	}
	leader := system.Index(string(status.Leader))
	before := readCost(system)
	if err := p.drive(ctx, system, d); err != nil {
		return nil, err
	}
	spent := readCost(system).since(before)
	return p.figures(spent, leader), nil
}

func (p costPoint) start(ctx context.Context) (*local.System, error) {
	const fabrics = 3
	system, err := local.Start(local.Config{
		Daemons: p.daemons,
		Voters:  3,
		Domains: threeDomains,
		Adjust:  p.adjust,
		Fleet:   standin.Config{Fabrics: fabrics, HostsPerFabric: p.hosts / fabrics},
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	_, err = system.Await(ctx, "entries and hosts", func(s api.StatusResponse) bool {
		return local.LiveEntries(s) == p.daemons && len(s.Hosts) >= p.hosts
	})
	if err != nil {
		system.Close()
		return nil, err
	}
	return system, nil
}

// drive makes changes at the configured rate for d.
func (p costPoint) drive(ctx context.Context, system *local.System, d time.Duration) error {
	end := time.Now().Add(d)
	if p.changes == 0 {
		return pauseUntil(ctx, end)
	}
	interval := time.Duration(float64(time.Second) / p.changes)
	for i := 0; time.Now().Before(end); i++ {
		next := time.Now().Add(interval)
		if _, _, err := system.Confirm(ctx, accountIntent(i)); err != nil {
			return err
		}
		if err := pauseUntil(ctx, next); err != nil {
			return err
		}
	}
	return nil
}

// cost holds the resources that the daemons have used up to one moment.
type cost struct {
	at    time.Time
	cpu   time.Duration
	heap  uint64
	bytes []int64
}

func readCost(system *local.System) cost {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	c := cost{
		at:   time.Now(),
		cpu:  time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		heap: mem.HeapAlloc,
	}
	for _, links := range system.LinkStats() {
		c.bytes = append(c.bytes, links.SentBytes+links.ReceivedBytes)
	}
	return c
}

// since returns the use per second since an earlier reading, and the current
// heap.
func (c cost) since(before cost) cost {
	spent := cost{at: c.at, cpu: c.cpu - before.cpu, heap: c.heap}
	seconds := c.at.Sub(before.at).Seconds()
	spent.cpu = time.Duration(float64(spent.cpu) / seconds)
	for i := range c.bytes {
		spent.bytes = append(spent.bytes, int64(float64(c.bytes[i]-before.bytes[i])/seconds))
	}
	return spent
}

// figures converts a cost per second into figures for one daemon.
func (p costPoint) figures(spent cost, leader int) []Figure {
	var entries int64
	for i, n := range spent.bytes {
		if i >= 3 {
			entries = max(entries, n)
		}
	}
	perDaemon := float64(p.daemons)
	return []Figure{
		{p.name("link bytes of an entry"), "bytes/s", float64(entries)},
		{p.name("link bytes of the leader"), "bytes/s", float64(spent.bytes[leader])},
		{p.name("processor"), "% of a core", 100 * spent.cpu.Seconds() / perDaemon},
		{p.name("heap"), "MB", float64(spent.heap) / bytesPerMegabyte / perDaemon},
	}
}

func pauseUntil(ctx context.Context, end time.Time) error {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
