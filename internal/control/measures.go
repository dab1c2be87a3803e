package control

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/measure"
)

const (
	measureWindow  = time.Hour
	measureBuckets = 60
	measureBucket  = measureWindow / measureBuckets
	// maxSampleGap bounds the time that one sample accounts for.
	maxSampleGap = 5 * time.Second
)

// measures integrates group downtime, stranded hosts and non-serving hosts over
// the last hour of one leadership, in buckets of one minute.
type measures struct {
	mu      sync.Mutex
	meter   measure.Meter
	began   time.Time
	sampled time.Time
	buckets [measureBuckets]measureSum
}

// measureSum is the content of one bucket.
type measureSum struct {
	// index is the number of the bucket since the leadership began.
	index  int64
	amount measureAmount
}

// measureAmount is in replica-seconds and host-seconds.
type measureAmount struct {
	downtime   float64
	stranded   float64
	notServing float64
	// service counts requests during failure domain changes.
	service api.ServiceCount
}

func (a *measureAmount) add(b measureAmount) {
	a.downtime += b.downtime
	a.stranded += b.stranded
	a.notServing += b.notServing
	a.service.Ended += b.service.Ended
	a.service.Served += b.service.Served
}

func newMeasures(now time.Time) *measures { return &measures{began: now, sampled: now} }

// sample accounts the time since the last sample to the current state of the
// fleet. It returns the added amount.
func (m *measures) sample(now time.Time, fleet *api.FleetView) measureAmount {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := min(now.Sub(m.sampled), maxSampleGap).Seconds()
	m.sampled = now
	observed := m.meter.Observe(fleet)
	amount := measureAmount{
		downtime:   seconds * float64(observed.Down),
		stranded:   seconds * float64(observed.Stranded),
		notServing: seconds * float64(observed.NotServing),
	}
	m.add(now, amount)
	return amount
}

// count adds requests counted by entries.
func (m *measures) count(now time.Time, service api.ServiceCount) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(now, measureAmount{service: service})
}

// add adds an amount to the bucket of a time. The caller holds the lock.
func (m *measures) add(now time.Time, amount measureAmount) {
	index := m.bucketIndex(now)
	bucket := &m.buckets[index%measureBuckets]
	if bucket.index != index {
		*bucket = measureSum{index: index}
	}
	bucket.amount.add(amount)
}

func (m *measures) bucketIndex(now time.Time) int64 { return int64(now.Sub(m.began) / measureBucket) }

// status sums the last hour.
func (m *measures) status(now time.Time) api.MeasureStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out api.MeasureStatus
	oldest := m.bucketIndex(now) - measureBuckets
	for _, bucket := range m.buckets {
		if bucket.index > oldest {
			out.GroupDowntime += bucket.amount.downtime
			out.Stranded += bucket.amount.stranded
			out.NotServing += bucket.amount.notServing
			out.Service.Ended += bucket.amount.service.Ended
			out.Service.Served += bucket.amount.service.Served
		}
	}
	return out
}
