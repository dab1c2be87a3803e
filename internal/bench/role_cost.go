package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/local"
	"github.com/crocusway/crocusway/internal/standin"
)

const (
	roleVoters = 3
	// roleTimeout bounds the whole experiment.
	roleTimeout = 235 * time.Second
	// roleSettle is the pause after the start that keeps the cost of joining
	// out of the measurement.
	roleSettle = 4 * time.Second
	// roleFabrics is the number of fabric domains of the announcing hosts.
	roleFabrics = 5
	// roleAnnounceInterval is the interval of a host's first announcements.
	roleAnnounceInterval = 2 * time.Second
)

// Roles of a region whose costs are reported separately.
const (
	roleLeader   = "leader"
	roleFollower = "follower"
	roleEntry    = "entry"
)

// roleSize is the size of one region.
type roleSize struct {
	entries int
	hosts   int
}

// roleSizes are measured unless the options choose others.
var roleSizes = []roleSize{{4, 0}, {16, 0}, {32, 0}, {83, 0}, {4, 600}, {83, 600}, {83, 4000}}

// roleLoad is a rate of configuration changes.
type roleLoad struct {
	name string
	// changes is the number of changes a second; once makes a single change in
	// the window instead.
	changes float64
	once    bool
}

// roleLoads are an idle region, one change in a window of seconds, which is more
// than the planned 540 a day, and a busy region.
var roleLoads = []roleLoad{{name: "idle"}, {name: "one change", once: true}, {name: "1 change/s", changes: 1}}

func (s roleSize) name(load roleLoad, role, what string) string {
	return fmt.Sprintf("%d entries, %d hosts, %s: %s, %s", s.entries, s.hosts, load.name, role, what)
}

// Figures of each role.
const (
	figureLinks  = "link bytes"
	figureCPU    = "processor"
	figureMemory = "memory"
)

// roleCost returns the experiment that measures what control costs each role in
// separate processes.
func roleCost() Experiment {
	e := Experiment{
		Name:    "role-cost",
		Summary: "bytes, processor time and memory of leader, follower and entry in separate processes; sizes by --entries and --hosts",
		Run:     runRoleCost,
	}
	for _, size := range allRoleSizes() {
		for _, load := range roleLoads {
			for _, role := range []string{roleLeader, roleFollower, roleEntry} {
				e.Targets = append(e.Targets,
					Target{Figure: size.name(load, role, figureLinks), Relation: "<=", Bound: budgetBytes},
					Target{Figure: size.name(load, role, figureCPU), Relation: "<=", Bound: budgetCorePercent},
					Target{Figure: size.name(load, role, figureMemory), Relation: "<=", Bound: budgetMegabytes},
				)
			}
		}
	}
	return e
}

// Sizes that the options may select.
var (
	roleEntries = []int{4, 16, 32, 83}
	roleHosts   = []int{0, 600, 4000}
)

func allRoleSizes() []roleSize { return crossSizes(roleEntries, roleHosts) }

func crossSizes(entries, hosts []int) []roleSize {
	out := make([]roleSize, 0, len(entries)*len(hosts))
	for _, h := range hosts {
		for _, e := range entries {
			out = append(out, roleSize{entries: e, hosts: h})
		}
	}
	return out
}

// sizes returns the sizes that the options select.
func (o Options) sizes() []roleSize {
	if len(o.Entries) == 0 && len(o.Hosts) == 0 {
		return roleSizes
	}
	entries, hosts := o.Entries, o.Hosts
	if len(entries) == 0 {
		entries = roleEntries
	}
	if len(hosts) == 0 {
		hosts = []int{0}
	}
	return crossSizes(entries, hosts)
}

func runRoleCost(ctx context.Context, o Options, policy Policy, _ int64) ([]Figure, error) {
	if policy == PolicyBaseline {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, roleTimeout)
	defer cancel()
	var figures []Figure
	for _, size := range o.sizes() {
		measured, err := size.measure(ctx, o.Duration)
		if err != nil {
			return nil, errors.Wrapf(err, "%d entries, %d hosts", size.entries, size.hosts)
		}
		figures = append(figures, measured...)
	}
	return figures, nil
}

// measure starts a region and measures it under each load for d.
func (s roleSize) measure(ctx context.Context, d time.Duration) ([]Figure, error) {
	region, err := startProcesses(roleVoters, s.entries)
	if err != nil {
		return nil, err
	}
	defer region.close()
	fleet, err := s.startFleet(region)
	if err != nil {
		return nil, err
	}
	if fleet != nil {
		defer fleet.Close()
	}
	if err := s.await(ctx, region); err != nil {
		return nil, err
	}
	var figures []Figure
	for _, load := range roleLoads {
		measured, err := s.measureLoad(ctx, region, load, d)
		if err != nil {
			return nil, err
		}
		figures = append(figures, measured...)
	}
	return figures, nil
}

// startFleet lets stand-in hosts announce themselves from this process. They
// belong to no group, so that the cost of control alone is measured.
func (s roleSize) startFleet(region *processes) (*standin.Fleet, error) {
	if s.hosts == 0 {
		return nil, nil
	}
	return standin.Start(standin.Config{
		Entries:          callerAddresses(region.entries),
		Token:            processBackendToken,
		Domains:          threeDomains,
		Fabrics:          roleFabrics,
		HostsPerFabric:   s.hosts / roleFabrics,
		AnnounceInterval: roleAnnounceInterval,
	})
}

// await returns once every entry has a work lease and every host has announced
// itself.
func (s roleSize) await(ctx context.Context, region *processes) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		status, ok := region.status()
		if ok && local.LiveEntries(status) == s.entries && len(status.Hosts) >= s.hosts {
			break
		}
		if err := pauseUntil(ctx, time.Now().Add(time.Second/2)); err != nil {
			return errors.Wrapf(err, "await entries and hosts: %d and %d known", local.LiveEntries(status), len(status.Hosts))
		}
	}
	return pauseUntil(ctx, time.Now().Add(roleSettle))
}

// measureLoad measures one load for d.
func (s roleSize) measureLoad(ctx context.Context, region *processes, load roleLoad, d time.Duration) ([]Figure, error) {
	before, err := region.readCosts()
	if err != nil {
		return nil, err
	}
	if err := load.drive(ctx, region, d); err != nil {
		return nil, err
	}
	after, err := region.readCosts()
	if err != nil {
		return nil, err
	}
	spent, err := spentByRole(before, after, len(region.voters))
	if err != nil {
		return nil, err
	}
	var figures []Figure
	for _, role := range []string{roleLeader, roleFollower, roleEntry} {
		figures = append(figures,
			Figure{s.name(load, role, figureLinks), "bytes/s", spent[role].links},
			Figure{s.name(load, role, figureCPU), "% of a core", spent[role].cpu},
			Figure{s.name(load, role, figureMemory), "MB", spent[role].memory},
		)
	}
	return figures, nil
}

// drive makes the changes of a load during d.
func (l roleLoad) drive(ctx context.Context, region *processes, d time.Duration) error {
	end := time.Now().Add(d)
	interval := d
	if l.changes > 0 {
		interval = time.Duration(float64(time.Second) / l.changes)
	}
	for i := 1; (l.once || l.changes > 0) && time.Now().Before(end); i++ {
		next := time.Now().Add(interval)
		if err := region.change(int(time.Now().Unix()%maxShare) + i); err != nil {
			return err
		}
		if err := pauseUntil(ctx, next); err != nil {
			return err
		}
	}
	return pauseUntil(ctx, end)
}

// maxShare bounds the part of an account's share that comes from the clock.
const maxShare = 1000

// change plans and confirms one change.
func (p *processes) change(share int) error {
	plan, err := p.client.Plan(accountIntent(share))
	if err != nil {
		return err
	}
	_, err = p.client.Decide(plan.ID, true, startTimeout)
	return err
}

// readCosts reads every daemon, voters first.
func (p *processes) readCosts() ([]processCost, error) {
	var out []processCost
	for _, d := range p.all() {
		cost, err := p.readCost(d)
		if err != nil {
			return nil, err
		}
		out = append(out, cost)
	}
	return out, nil
}

// roleMaxCost is the largest use of each resource by a daemon of one role.
type roleMaxCost struct {
	// links is in bytes/s, cpu in % of a core, memory in MB.
	links, cpu, memory float64
}

// errLeaderChanged is returned when the leader changed during a window.
var errLeaderChanged = errors.New("the leader changed while costs were measured")

// spentByRole returns the largest costs of each role.
func spentByRole(before, after []processCost, voters int) (map[string]roleMaxCost, error) {
	out := make(map[string]roleMaxCost)
	leaders := 0
	for i, now := range after {
		role := roleEntry
		switch {
		case now.leading != before[i].leading:
			return nil, errLeaderChanged
		case now.leading:
			role = roleLeader
			leaders++
		case i < voters:
			role = roleFollower
		}
		out[role] = out[role].max(before[i], now)
	}
	if leaders != 1 {
		return nil, errLeaderChanged
	}
	return out, nil
}

func (s roleMaxCost) max(before, now processCost) roleMaxCost {
	seconds := now.at.Sub(before.at).Seconds()
	return roleMaxCost{
		links:  max(s.links, float64(now.links-before.links)/seconds),
		cpu:    max(s.cpu, 100*(now.usage.CPUSeconds-before.usage.CPUSeconds)/seconds),
		memory: max(s.memory, float64(now.usage.MemoryBytes)/bytesPerMegabyte),
	}
}
