package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/crocusway/crocusway/internal/clock"
)

// requestTimes is what decides whether the end of a request's connection breaks a promise.
type requestTimes struct {
	deadline time.Duration
	// lastByte is when the caller had sent the whole body, zero before. finished is when a
	// server had sent its whole answer.
	lastByte, finished time.Time
	// chunked is set if the body comes in chunks, silent once a sound server fell silent.
	chunked, silent bool
}

// workKind is planned work or a disruption.
type workKind string

const (
	workTerm        workKind = "SIGTERM"
	workHup         workKind = "SIGHUP"
	workControl     workKind = "SIGTERM of control"
	workVersion     workKind = "version"
	workPause       workKind = "pause"
	workKill        workKind = "kill"
	workUnreachable workKind = "leader out of reach"
	// workStall is a time in which the process of the soak itself did not run.
	workStall workKind = "stall of the soak"
)

// work is planned work on a daemon, or a disruption, which lasts.
type work struct {
	kind   workKind
	daemon string
	from   time.Time
	// until is the end of a disruption, zero while it lasts.
	until time.Time
}

// versionTimes is what the oracle knows of a version besides its text. Its times are zero
// before it is sent and acknowledged.
type versionTimes struct {
	sent, acknowledged time.Time
	timeouts           map[kind]time.Duration
}

// ending is how a request ended, as its caller saw it.
type ending struct {
	id, entry string
	at        time.Time
	// reused is set if the request was sent on a kept connection, answered if the head of an
	// answer came. err is nil for a whole answer.
	reused, answered bool
	err              error
}

// cutLog records planned work, disruptions and ends of requests for judgeCuts. The oracle's
// lock guards it.
type cutLog struct {
	works    []*work
	versions map[uint64]*versionTimes
	endings  []ending
	// ranAt is when the process of the soak last ran, zero while that is not watched.
	ranAt time.Time
}

const (
	// graceAfter is how long after its grace the SIGTERM of an entry counts.
	graceAfter = time.Second
	// lateGrace is the part of the grace after which it excuses a request that was sent
	// termSlack after the SIGTERM at the latest.
	lateGrace = grace * 5 / 6
	termSlack = 3 * time.Second
	// cutsFactor is how many times as often an entry may cut requests beside a version.
	cutsFactor = 3
	// keptCuts is the number of requests on kept connections that an entry may leave without
	// any answer.
	keptCuts = 3
	// stallCheck is how often stalls are looked for, maxStall the longest that is none.
	stallCheck = 20 * time.Millisecond
	maxStall   = 300 * time.Millisecond
)

func (o *oracle) update(id string, change func(r *request)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.requests[id]; r != nil {
		change(r)
	}
}

func (o *oracle) silent(id string)   { o.update(id, func(r *request) { r.silent = true }) }
func (o *oracle) finished(id string) { o.update(id, func(r *request) { r.finished = time.Now() }) }
func (o *oracle) bodySent(id string, at time.Time) {
	o.update(id, func(r *request) { r.lastByte = at })
}

func (o *oracle) version(version uint64) *versionTimes {
	if o.versions == nil {
		o.versions = make(map[uint64]*versionTimes)
	}
	if o.versions[version] == nil {
		o.versions[version] = &versionTimes{}
	}
	return o.versions[version]
}

// versionSent records when a version was sent. o.mu is held.
func (o *oracle) versionSent(version uint64, at time.Time) { o.version(version).sent = at }

// versionAcknowledged records when a version was acknowledged. o.mu is held.
func (o *oracle) versionAcknowledged(version uint64, at time.Time) {
	o.version(version).acknowledged = at
}

// versionTimeouts records the time-outs of a version's routes.
func (o *oracle) versionTimeouts(version uint64, timeouts map[kind]time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version(version).timeouts = timeouts
}

// signaled records a signal to a daemon.
func (o *oracle) signaled(daemon, role string, s syscall.Signal, at time.Time) {
	kinds := map[syscall.Signal]workKind{
		syscall.SIGTERM: workTerm, syscall.SIGHUP: workHup, syscall.SIGKILL: workKill, syscall.SIGSTOP: workPause,
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s == syscall.SIGCONT {
		for _, w := range o.works {
			if w.daemon == daemon && w.kind == workPause && w.until.IsZero() {
				w.until = at
			}
		}
		return
	}
	k := kinds[s]
	if role == roleControl && k == workTerm {
		k = workControl
	}
	w := &work{kind: k, daemon: daemon, from: at}
	if k == workKill {
		w.until = at
	}
	o.works = append(o.works, w)
}

// disrupted records the begin of a disruption and returns a function that records its end.
func (o *oracle) disrupted(k workKind, from time.Time) (end func(at time.Time)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := &work{kind: k, from: from}
	o.works = append(o.works, w)
	return func(at time.Time) {
		o.mu.Lock()
		defer o.mu.Unlock()
		w.until = at
	}
}

// watchStalls records when the process of the soak does not run: the daemons may not either.
func (o *oracle) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		o.checkStall(time.Now())
		clock.Sleep(ctx, stallCheck)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ranAt = time.Time{}
}

func (o *oracle) checkStall(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ranAt.IsZero() && now.Sub(o.ranAt) > maxStall {
		o.works = append(o.works, &work{kind: workStall, from: o.ranAt, until: now})
		o.counts[string(workStall)]++
		o.counts[string(workStall)+", ms"] += int(now.Sub(o.ranAt).Milliseconds())
	}
	o.ranAt = now
}

// stalledSince returns how long the process of the soak did not run since a time.
func (o *oracle) stalledSince(at time.Time) time.Duration {
	o.mu.Lock()
	watched := !o.ranAt.IsZero()
	o.mu.Unlock()
	if !watched {
		return 0
	}
	// The stall that ends now may not have been seen yet.
	o.checkStall(time.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	var sum time.Duration
	for _, w := range o.works {
		if w.kind == workStall && w.until.After(at) {
			from := w.from
			if at.After(from) {
				from = at
			}
			sum += w.until.Sub(from)
		}
	}
	return sum
}

func (o *oracle) ended(e ending) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endings = append(o.endings, e)
}

// disruptedAround reports whether a disruption lasted from stableTime before a request was
// sent, or later, and began before it ended.
func (w *work) disruptedAround(r *request, e ending) bool {
	switch w.kind {
	case workPause, workKill, workUnreachable, workStall:
		return !w.from.After(e.at) && (w.until.IsZero() || w.until.After(r.sent.Add(-stableTime)))
	}
	return false
}

// plannedAround reports whether work on the entry of a request counts for its end.
func (w *work) plannedAround(r *request, e ending) bool {
	if w.daemon != e.entry || w.from.After(e.at) {
		return false
	}
	switch w.kind {
	case workTerm:
		return !e.at.After(w.from.Add(grace + graceAfter))
	case workHup:
		return !r.sent.After(w.from.Add(configApply))
	}
	return false
}

// besideVersion reports whether a version that may be in force was sent shortly before.
func (o *oracle) besideVersion(at time.Time) bool {
	for _, v := range o.versions {
		if v.sent.IsZero() || v.sent.After(at) {
			continue
		}
		if v.acknowledged.IsZero() || !at.After(v.acknowledged.Add(configApply+time.Second)) {
			return true
		}
	}
	return false
}

// sentWhole returns when the caller had sent the whole request, zero before.
func (r *request) sentWhole() time.Time {
	if r.chunked {
		return r.lastByte
	}
	return r.sent
}

// timeOf returns the time that a request has: its deadline, or the lowest time-out of its
// route in the versions that may be in force until its body has been received.
func (o *oracle) timeOf(r *request) time.Duration {
	out := r.deadline
	received := r.sentWhole().Add(lossSlack)
	for number, v := range o.versions {
		timeout, known := v.timeouts[r.kind]
		if !known || v.sent.IsZero() || v.sent.After(received) {
			continue
		}
		superseded := false
		for later, w := range o.versions {
			superseded = superseded || later > number && !w.acknowledged.IsZero() && w.acknowledged.Add(configApply).Before(r.sent)
		}
		if !superseded {
			out = min(out, timeout)
		}
	}
	return out
}

// excuse returns why a request may end without a whole answer, empty if it may not.
func (o *oracle) excuse(r *request, e ending) string {
	lastByte := r.sentWhole()
	switch {
	case r.brokenOff:
		return "the server broke off"
	case r.runs == 0 && (lastByte.IsZero() || e.at.Sub(lastByte) <= lossSlack):
		return "not passed on"
	case e.at.Sub(r.sent) >= o.timeOf(r):
		return "its time was over"
	}
	for _, w := range o.works {
		late := w.from.Add(lateGrace)
		if w.kind == workTerm && w.plannedAround(r, e) && !r.sent.After(w.from.Add(termSlack)) &&
			!e.at.Before(late) && (r.finished.IsZero() || r.finished.After(late)) {
			return "at work at the end of the grace"
		}
	}
	return ""
}

// surroundings returns what was around a request, for the shares of cuts, and whether a
// disruption, a signal or a version was.
func (o *oracle) surroundings(r *request, e ending) (names []string, disrupted, signaled, version bool) {
	add := func(name string) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	for _, w := range o.works {
		switch {
		case w.disruptedAround(r, e):
			disrupted = true
			add(string(w.kind))
		case w.plannedAround(r, e):
			signaled = true
			add(string(w.kind))
		case w.kind == workControl && !w.from.After(e.at) && !e.at.After(w.from.Add(grace)):
			add(string(w.kind))
		}
	}
	if version = o.besideVersion(e.at); version {
		add(string(workVersion))
	}
	if len(names) == 0 {
		add("no work")
	}
	if r.silent {
		add("silent server")
	}
	if r.chunked {
		add("body in chunks")
	}
	return names, disrupted, signaled, version
}

// share counts requests and those of them that were cut.
type share struct{ requests, cuts int }

// moreOftenThan reports whether requests were cut over cutsFactor times as often.
func (s share) moreOftenThan(other share) bool {
	return s.cuts*other.requests > cutsFactor*other.cuts*s.requests || s.cuts > 0 && other.cuts == 0
}

// judgeCuts reports the requests that an entry cut around planned work, and returns the
// shares of requests that were cut, by what surrounded them.
func (o *oracle) judgeCuts() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	shares := make(map[string]*share)
	// beside and otherwise are the shares of each entry beside versions and at other times.
	beside, otherwise := make(map[string]*share), make(map[string]*share)
	kept := make(map[string]int)
	var versionCuts []ending
	tally := func(of map[string]*share, key string, cut bool) {
		if of[key] == nil {
			of[key] = &share{}
		}
		of[key].requests++
		if cut {
			of[key].cuts++
		}
	}
	for _, e := range o.endings {
		r := o.requests[e.id]
		cut := e.err != nil
		if cut {
			if excuse := o.excuse(r, e); excuse != "" {
				cut = false
				o.counts["ended, excused: "+excuse]++
			}
		}
		names, disrupted, signaled, version := o.surroundings(r, e)
		for _, name := range append(names, "all") {
			tally(shares, name, cut)
		}
		switch {
		case disrupted:
			continue
		case signaled && cut:
			o.reportCut(e, "around a signal")
		case signaled:
		case version:
			tally(beside, e.entry, cut)
			if cut && 10*e.at.Sub(r.sent) < 7*o.timeOf(r) {
				versionCuts = append(versionCuts, e)
			}
		default:
			tally(otherwise, e.entry, cut)
		}
		if cut && e.reused && !e.answered && r.runs > 0 {
			if kept[e.entry]++; kept[e.entry] > keptCuts {
				o.reportCut(e, "on a kept connection, without any answer")
			}
		}
	}
	for _, e := range versionCuts {
		other := share{}
		if s := otherwise[e.entry]; s != nil {
			other = *s
		}
		if beside[e.entry].moreOftenThan(other) {
			o.reportCut(e, fmt.Sprintf("beside a version (%d of %d requests there, %d of %d otherwise)",
				beside[e.entry].cuts, beside[e.entry].requests, other.cuts, other.requests))
		}
	}
	out := make([]string, 0, len(shares))
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		s := shares[name]
		out = append(out, fmt.Sprintf("%-20s %4d of %5d, %.2f per hundred", name, s.cuts, s.requests, 100*float64(s.cuts)/float64(s.requests)))
	}
	return out
}

// reportCut reports a request that an entry cut. o.mu is held.
func (o *oracle) reportCut(e ending, around string) {
	r := o.requests[e.id]
	o.reportAt(e.at, "LOST: request %s (%s, %d runs, silent server: %t, body in chunks: %t, kept connection: %t) at %s ends after %s of %s, %s after its last byte was sent, without a whole answer, %s: %v",
		e.id, r.kind, r.runs, r.silent, r.chunked, e.reused, e.entry, e.at.Sub(r.sent).Round(time.Millisecond), o.timeOf(r),
		e.at.Sub(r.sentWhole()).Round(time.Millisecond), around, e.err)
}
