package shard

import (
	"slices"
	"time"
)

const (
	// stragglerFactor is the ratio of a replica's first-token time to the median
	// of the shard above which it is ejected.
	stragglerFactor = 3
	// stragglerRestore is the ratio up to which a probed replica is restored.
	stragglerRestore = 2
	// stragglerSamples is the number of first tokens before a replica is
	// evaluated.
	stragglerSamples = 5
	// stragglerEjectTime is the time before an ejected replica is probed.
	stragglerEjectTime = 5 * time.Second
	// stragglerShare is the inverse of the largest part of a shard that may be
	// ejected, and the least number of evaluated replicas.
	stragglerShare = 3
	// stragglerPeriod is the time between two evaluations of a shard.
	stragglerPeriod = time.Second
	// latencyWeight is the weight of a new sample in the mean.
	latencyWeight = 0.2
)

// latency tracks the first-token time of one replica.
type latency struct {
	// mean is the moving mean of the first-token time in microseconds.
	mean    float64
	samples int
	ejected bool
	// probeAt is when an ejected replica may receive one request.
	probeAt time.Time
}

// observe adds a first-token time in microseconds.
func (l *latency) observe(micros float64) {
	if l.samples == 0 {
		l.mean = micros
	}
	l.samples++
	l.mean += (micros - l.mean) * latencyWeight
}

// stragglerFilter drops ejected replicas; from probeAt on it admits one request
// at a time to them as a probe.
type stragglerFilter struct{}

func (stragglerFilter) keep(c *choice, r *replica) bool {
	if !r.latency.ejected {
		return true
	}
	return r.held == 0 && !c.now.Before(r.latency.probeAt)
}

// evaluateStragglers ejects and restores replicas by the ratio of their
// first-token time to the median. At most a third of the replicas are ejected.
func evaluateStragglers(now time.Time, replicas []*replica) {
	median, known := medianFirstToken(replicas)
	if known < stragglerShare {
		return
	}
	ejected := 0
	for _, r := range replicas {
		if r.latency.ejected && r.latency.mean <= stragglerRestore*median {
			r.latency.ejected = false
		}
		if r.latency.ejected {
			ejected++
		}
	}
	for _, r := range replicas {
		if (ejected+1)*stragglerShare > len(replicas) {
			return
		}
		if r.latency.samples >= stragglerSamples && !r.latency.ejected && r.latency.mean > stragglerFactor*median {
			r.latency.ejected = true
			r.latency.probeAt = now.Add(stragglerEjectTime)
			ejected++
		}
	}
}

// medianFirstToken returns the median first-token time and the number of
// replicas with enough samples.
func medianFirstToken(replicas []*replica) (float64, int) {
	means := make([]float64, 0, len(replicas))
	for _, r := range replicas {
		if r.latency.samples >= stragglerSamples {
			means = append(means, r.latency.mean)
		}
	}
	if len(means) == 0 {
		return 0, 0
	}
	slices.Sort(means)
	return means[len(means)/2], len(means)
}

// observeLatency adds the first-token time of a settled request. The sample of
// a probe replaces the mean, so that a recovered replica is restored at the
// next evaluation.
func (r *replica) observeLatency(now time.Time, micros int64) {
	if r.latency.ejected {
		r.latency.samples = 0
		r.latency.probeAt = now.Add(stragglerEjectTime)
		r.latency.observe(float64(micros))
		r.latency.samples = stragglerSamples
		return
	}
	r.latency.observe(float64(micros))
}
