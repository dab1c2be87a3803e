package group_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/bench"
	"github.com/crocusway/crocusway/internal/group"
	"github.com/crocusway/crocusway/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

const tick = 200 * time.Millisecond

// rig drives one Reconciler against a simulated fleet on a logical clock.
type rig struct {
	t     *testing.T
	model *bench.FleetModel
	store *bench.FleetStore
	rec   *group.Reconciler
	check *checker
}

func testPolicy() group.Policy {
	p := group.DefaultPolicy()
	p.LoadRate = 0
	return p
}

func newRig(t *testing.T, p group.Policy, sgs ...api.ServingGroup) *rig {
	store := bench.NewFleetStore(sgs...)
	times := bench.FleetTimes{Load: 10 * time.Second, Cold: 5 * time.Second, Announce: time.Second}
	r := &rig{t: t, store: store, model: bench.NewFleetModel(store, times, p.DetectionBound)}
	r.rec = r.leader(p, nil)
	r.check = newChecker(r.model, store, p)
	return r
}

func (r *rig) leader(p group.Policy, planner group.Planner) *group.Reconciler {
	return group.New(group.Config{Policy: p, Sender: r.model, Clock: r.model.Clock, Go: r.model.Go, Planner: planner})
}

// add starts n hosts "F-00", "F-01", ... of fabric domain F in a failure domain.
func (r *rig) add(fabric, domain string, n int, checks bool) {
	for i := range n {
		r.model.Add(&bench.FleetHost{
			ID:            api.HostID(fmt.Sprintf("%s-%02d", fabric, i)),
			Fabric:        api.FabricDomain(fabric),
			Domain:        api.FailureDomain(domain),
			ChecksFencing: checks,
		})
	}
}

// step runs the fleet for a duration and requires that the checker finds no violation.
func (r *rig) step(d time.Duration) {
	r.run(d)
	require.NoError(r.t, r.check.err)
}

// resume resumes a host and runs the checker, since the host may be paused again
// before the next step.
func (r *rig) resume(h *bench.FleetHost) {
	r.model.Resume(h)
	r.check.observe()
}

// run is step without this requirement.
func (r *rig) run(d time.Duration) {
	for end := r.model.Clock.Now().Add(d); r.model.Clock.Now().Before(end); {
		r.model.Advance(tick)
		require.NoError(r.t, r.rec.Reconcile(context.Background(), r.model.View(), r.store))
		r.model.RunQueue()
		r.check.observe()
	}
}

func (r *rig) host(id string) *bench.FleetHost { return r.model.Host(api.HostID(id)) }

// ready counts the ready groups.
func (r *rig) ready() int {
	n := 0
	for _, g := range r.store.Groups() {
		if g.Phase == api.GroupReady {
			n++
		}
	}
	return n
}

// only returns the one group of the store.
func (r *rig) only() api.Group {
	groups := r.store.Groups()
	require.Len(r.t, groups, 1)
	return groups[0]
}

func scribe(replicas, hosts int) api.ServingGroup {
	return api.ServingGroup{
		Name: "scribe", Model: "scribe-70b", Replicas: replicas, HostsPerReplica: hosts,
		ChecksFencing: true, LoadBytes: 1 << 30,
	}
}
