package control

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	measureWindow  = time.Hour
	measureBuckets = 60
	measureBucket  = measureWindow / measureBuckets
	// measureGap bounds the time that one sample stands for.
	measureGap = 5 * time.Second
)

// measures integrates group downtime and stranded hosts over the last hour of
// one leadership, in buckets of a minute.
type measures struct {
	mu      sync.Mutex
	began   time.Time
	sampled time.Time
	buckets [measureBuckets]measureSum
}

// measureSum is the content of one bucket.
type measureSum struct {
	// number counts buckets since the leadership began.
	number   int64
	downtime float64
	stranded float64
}

func newMeasures(now time.Time) *measures { return &measures{began: now, sampled: now} }

// sample adds the time since the last sample. It returns what was added, in
// replica-seconds and host-seconds.
func (m *measures) sample(now time.Time, down, stranded int) (downtime, strandedTime float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := min(now.Sub(m.sampled), measureGap).Seconds()
	m.sampled = now
	downtime = seconds * float64(down)
	strandedTime = seconds * float64(stranded)
	number := m.number(now)
	bucket := &m.buckets[number%measureBuckets]
	if bucket.number != number {
		*bucket = measureSum{number: number}
	}
	bucket.downtime += downtime
	bucket.stranded += strandedTime
	return downtime, strandedTime
}

func (m *measures) number(now time.Time) int64 { return int64(now.Sub(m.began) / measureBucket) }

// status sums the last hour.
func (m *measures) status(now time.Time) api.MeasureStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out api.MeasureStatus
	oldest := m.number(now) - measureBuckets
	for _, bucket := range m.buckets {
		if bucket.number > oldest {
			out.GroupDowntime += bucket.downtime
			out.Stranded += bucket.stranded
		}
	}
	return out
}

// downReplicas counts wanted replicas that are not ready.
func downReplicas(f api.FleetView) int {
	ready := make(map[api.ServingGroupName]int, len(f.ServingGroups))
	for _, g := range f.Groups {
		if g.Phase == api.GroupReady {
			ready[g.ServingGroup]++
		}
	}
	down := 0
	for _, sg := range f.ServingGroups {
		down += max(0, sg.Replicas-ready[sg.Name])
	}
	return down
}

// strandedHosts counts live accelerator hosts that are neither in a ready
// group nor among the configured spares of their fabric domain.
func strandedHosts(f api.FleetView) int {
	serving := make(map[api.HostID]struct{})
	for _, g := range f.Groups {
		if g.Phase != api.GroupReady {
			continue
		}
		for _, host := range g.Members {
			serving[host] = struct{}{}
		}
	}
	assigned := make(map[api.HostID]struct{}, len(f.Assignments))
	for _, a := range f.Assignments {
		assigned[a.Host] = struct{}{}
	}
	spares := spareAllowance(f)
	stranded := 0
	for _, h := range f.Hosts {
		a := h.Announcement
		if !h.Alive || a.Kind != api.BackendEngine {
			continue
		}
		if _, ok := serving[a.Host]; ok {
			continue
		}
		if _, ok := assigned[a.Host]; !ok && spares[a.Fabric] > 0 {
			spares[a.Fabric]--
			continue
		}
		stranded++
	}
	return stranded
}

// spareAllowance is the number of idle hosts that each fabric domain keeps for
// the serving groups with a replica in it.
func spareAllowance(f api.FleetView) map[api.FabricDomain]int {
	type place struct {
		fabric       api.FabricDomain
		servingGroup api.ServingGroupName
	}
	seen := make(map[place]struct{})
	wanted := make(map[api.ServingGroupName]int, len(f.ServingGroups))
	for _, sg := range f.ServingGroups {
		wanted[sg.Name] = sg.Spares
	}
	spares := make(map[api.FabricDomain]int)
	for _, g := range f.Groups {
		p := place{fabric: g.Fabric, servingGroup: g.ServingGroup}
		if _, ok := seen[p]; ok {
			continue
		}
		seen[p] = struct{}{}
		spares[g.Fabric] += wanted[g.ServingGroup]
	}
	return spares
}
