package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// kind classifies requests by how often they may run.
type kind string

const (
	kindOnce   kind = "unsafe"
	kindSafe   kind = "safe"
	kindStream kind = "streaming"
)

// request is what the oracle knows of one request of a caller.
type request struct {
	kind    kind
	path    string
	body    string
	runs    int
	refused int
	sent    time.Time
	// poisoned is set if the request crashes its servers.
	poisoned bool
	// brokenOff is set once a server has broken off its answer.
	brokenOff bool
	requestTimes
}

// oracle records what callers, operators and backend servers see, and the promises that
// were broken. It is safe for concurrent use.
type oracle struct {
	mu       sync.Mutex
	started  time.Time
	requests map[string]*request
	findings []string
	// published holds the text of each version that operators sent, acknowledged the
	// highest version that a daemon has acknowledged.
	published    map[uint64]string
	acknowledged uint64
	counts       map[string]int
	// poison holds the parts that crash servers.
	poison map[string]*poisoned
	cutLog
}

func newOracle() *oracle {
	return &oracle{
		started: time.Now(), requests: make(map[string]*request), published: make(map[uint64]string), counts: make(map[string]int),
		poison: make(map[string]*poisoned),
	}
}

// violation records a broken promise.
func (o *oracle) violation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report(format, args...)
}

// report is violation with the lock held.
func (o *oracle) report(format string, args ...any) {
	o.reportAt(time.Now(), format, args...)
}

func (o *oracle) reportAt(at time.Time, format string, args ...any) {
	o.findings = append(o.findings, fmt.Sprintf("%6.2f s ", at.Sub(o.started).Seconds())+fmt.Sprintf(format, args...))
}

func (o *oracle) count(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[name]++
}

// sending records a request before its first byte is sent.
func (o *oracle) sending(id string, r request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.sent = time.Now()
	o.requests[id] = &r
	o.counts["sent "+string(r.kind)]++
}

// sentAt returns when a caller sent a request, zero for an unknown one.
func (o *oracle) sentAt(id string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.requests[id]; r != nil {
		return r.sent
	}
	return time.Time{}
}

// running records that a server begins to run a request.
func (o *oracle) running(server, id, path, body, account, key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[id]
	switch {
	case r == nil:
		o.report("UNASKED: %s runs request %s that no caller sent", server, id)
		return
	case r.path != path || r.body != body:
		o.report("UNASKED: %s runs request %s with another path or body", server, id)
	case account != callerAccount || key != "":
		o.report("UNASKED: %s runs request %s for account %q with key %q", server, id, account, key)
	}
	r.runs++
	if r.kind == kindOnce && r.runs > 1 {
		o.report("TWICE: %s runs request %s for the %d. time", server, id, r.runs)
	}
	if r.kind == kindOnce && r.refused != 0 {
		o.report("REFUSED: %s runs request %s after it was refused with %d", server, id, r.refused)
	}
}

// refusing reports whether a status promises that the request has not run.
func refusing(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// answered checks the final answer to a request. seal is that of the server that ran it;
// whole is set if the answer did not break off.
func (o *oracle) answered(id string, status int, seal, body string, whole bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.requests[id]
	o.counts[fmt.Sprintf("answered %s %d", r.kind, status)]++
	switch {
	case status >= 200 && status < 300:
		o.checkSuccess(id, r, seal, body, whole)
	case refusing(status) && seal == "":
		r.refused = status
		if r.kind == kindOnce && r.runs > 0 {
			o.report("REFUSED: request %s has run and is refused with %d", id, status)
		}
	case status == 401 || status == 403 || status == 404:
		o.report("DENIED: request %s on %s is answered %d", id, r.path, status)
	}
}

// checkSuccess checks a successful answer. o.mu is held.
func (o *oracle) checkSuccess(id string, r *request, seal, body string, whole bool) {
	want := answerOf(r.kind, r.path, r.body)
	if r.kind == kindStream {
		var joint string
		if body, joint = withoutRuns(body); joint != "" {
			o.report("ORDER: the stream of request %s joins two runs: %s", id, joint)
		}
	}
	switch {
	case seal == "":
		o.report("MIXED: request %s succeeds without a seal", id)
	case whole && body != want:
		o.report("MIXED: request %s has another answer: %q", id, tail(body))
	case !whole && r.kind == kindStream && !isPrefixOfEvents(body, want):
		o.report("ORDER: the stream of request %s is wrong before it breaks off: %q", id, tail(body))
	case whole:
		o.counts["served "+string(r.kind)]++
	}
	if r.runs == 0 {
		o.report("MIXED: request %s succeeds and no server has run it", id)
	}
}

func isPrefixOfEvents(body, want string) bool { return strings.HasPrefix(want, body) }

func tail(s string) string { return s[max(0, len(s)-80):] }

// publishing records a version before it is sent.
func (o *oracle) publishing(version uint64, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.published[version] = text
	o.versionSent(version, time.Now())
}

func (o *oracle) acknowledge(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged = max(o.acknowledged, version)
	o.versionAcknowledged(version, time.Now())
	o.counts["changes acknowledged"]++
}

// newest returns the highest acknowledged version.
func (o *oracle) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledged
}

// readBack checks a configuration that was read. atLeast is the version that had been
// acknowledged before the read was sent.
func (o *oracle) readBack(daemon string, version uint64, text string, atLeast uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["configurations read"]++
	switch {
	case version < atLeast:
		o.report("CONFIG: %s answers a read with version %d after %d was acknowledged", daemon, version, atLeast)
	case o.published[version] != text:
		o.report("CONFIG: %s answers a read of version %d with another text", daemon, version)
	}
}

// result returns the findings and the counts.
func (o *oracle) result() ([]string, map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := make(map[string]int, len(o.counts))
	for k, v := range o.counts {
		counts[k] = v
	}
	return slices.Clone(o.findings), counts
}
