package crashes

import (
	"maps"
	"slices"
	"time"
)

// judge prepares a verdict on the keys of a request under which a server crashed. The lock
// is held.
func (t *Table) judge(keys []Key, now time.Time) {
	guilty := t.suspects(keys, now)
	if len(guilty) == 0 || t.hasOtherCause(keys, guilty[0], now) {
		return
	}
	id := Fingerprint(guilty)
	if v := t.verdicts[id]; v != nil {
		v.until = now.Add(HoldTime)
		return
	}
	v := &Verdict{Keys: slices.Sorted(slices.Values(guilty)), from: now.Add(verdictDelay), until: now.Add(verdictDelay + HoldTime)}
	t.verdicts[id] = v
	if slices.ContainsFunc(guilty, Key.isContent) {
		t.pass(v)
	}
}

// suspects returns the keys of a request that explain the crashes under it: those with the
// most crashes among the keys that no answer is known for, else among those without which
// requests are answered meanwhile. If nothing is answered, keys that were in use before say
// nothing: all requests may share them.
func (t *Table) suspects(keys []Key, now time.Time) []Key {
	var guilty []Key
	most, unknown := 0, false
	for _, k := range keys {
		list := t.unrefuted(k)
		if independent(list, now) < Limit {
			continue
		}
		isNew := t.isNew(k, now)
		switch {
		case !isNew && (unknown || !t.keys[k].contrast), isNew == unknown && len(list) < most:
			continue
		case isNew != unknown || len(list) > most:
			guilty, most, unknown = nil, len(list), isNew
		}
		guilty = append(guilty, k)
	}
	return guilty
}

// isNew reports whether no answer to a request with a key is known, though others are: an
// entry that has just started knows nothing.
func (t *Table) isNew(k Key, now time.Time) bool {
	return t.answered >= minAnswers && now.Sub(t.lastAnswer[k]) >= Retention || k.isContent()
}

// hasOtherCause reports whether every crash under a key was also one under a key that the
// request does not have: all requests of a route may share a part with the cause. A key
// that was in use before is no other cause of the crashes under a new one.
func (t *Table) hasOtherCause(keys []Key, guilty Key, now time.Time) bool {
	list := t.unrefuted(guilty)
	isNew := t.isNew(guilty, now)
	for other, h := range t.keys {
		if len(h.crashes) < len(list) || slices.Contains(keys, other) || isNew && !t.isNew(other, now) {
			continue
		}
		if all := t.unrefuted(other); !slices.ContainsFunc(list, func(c crash) bool { return !includesServer(all, c.server) }) {
			return true
		}
	}
	return false
}

func includesServer(list []crash, server Server) bool {
	return slices.ContainsFunc(list, func(c crash) bool { return c.server == server })
}

// unrefuted returns the crashes under a key since the last answer to a request with it.
func (t *Table) unrefuted(k Key) []crash {
	var last time.Time
	for _, a := range t.answers {
		if _, crashed := t.ended[a.server]; !crashed && a.at.After(last) && slices.Contains(a.keys, k) {
			last = a.at
		}
	}
	h := t.keys[k]
	if h == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(h.crashes), func(c crash) bool { return c.at.Before(last) })
}

// passDue passes the verdicts that are due, for those of their keys that no answer has
// refuted. The lock is held.
func (t *Table) passDue(now time.Time) {
	for id, v := range maps.Clone(t.verdicts) {
		if v.passed || now.Before(v.from) {
			continue
		}
		delete(t.verdicts, id)
		v.Keys = t.suspects(v.Keys, now)
		if len(v.Keys) == 0 || t.hasOtherCause(v.Keys, v.Keys[0], now) {
			continue
		}
		if id = Fingerprint(v.Keys); t.verdicts[id] == nil || !t.verdicts[id].passed {
			t.verdicts[id] = v
			t.pass(v)
		}
	}
}

// pass puts a verdict in force and attributes the crashes to it.
func (t *Table) pass(v *Verdict) {
	v.passed = true
	defer func() { t.passed = append(t.passed, *v) }()
	for _, c := range slices.Clone(t.keys[v.Keys[0]].crashes) {
		t.explain(v, c.server)
	}
}

// independent counts the crashes of a list in the order of time that have no cause in
// common: the server of the next one was sent its request after the last one had ended,
// and so outlived it, or ended well after it.
func independent(list []crash, now time.Time) int {
	n := 0
	var last time.Time
	for _, c := range list {
		if now.Sub(c.at) >= Retention {
			continue
		}
		if n == 0 || !c.sent.Before(last) || c.at.Sub(last) >= correlationTime {
			n++
			last = c.at
		}
	}
	return n
}

// explain attributes the end of a server to a verdict, so that it counts against no other
// request that was on it. The lock is held.
func (t *Table) explain(v *Verdict, server Server) {
	if !slices.Contains(v.Servers, server) {
		v.Servers = append(v.Servers, server)
	}
	if t.explained[server] {
		return
	}
	t.explained[server] = true
	for _, k := range slices.Collect(maps.Keys(t.keys)) {
		if !t.isJudged(k) {
			t.forget(k, func(c crash) bool { return c.server == server })
		}
	}
}

// isJudged reports whether a key is part of a verdict. The lock is held.
func (t *Table) isJudged(k Key) bool {
	for _, v := range t.verdicts {
		if slices.Contains(v.Keys, k) {
			return true
		}
	}
	return false
}

// Match returns the verdict that applies to a request with keys. If one may be passed
// soon, it returns the time until then instead.
func (t *Table) Match(keys func() []Key, now time.Time) (v Verdict, applies bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.verdicts) == 0 {
		return Verdict{}, false, 0
	}
	t.passDue(now)
	own := keys()
	for _, v := range t.verdicts {
		switch {
		case !now.Before(v.until) || !Includes(own, v.Keys):
		case v.passed:
			return *v, true, 0
		default:
			wait = max(wait, v.from.Sub(now))
		}
	}
	return Verdict{}, false, wait
}

// Count returns the independent crashes under a key.
func (t *Table) Count(k Key, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return independent(t.unrefuted(k), now)
}

// Unconfirmed returns the verdicts that control has not confirmed, which hold meanwhile.
func (t *Table) Unconfirmed(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Verdict
	for _, v := range t.verdicts {
		if v.passed && !v.confirmed && now.Before(v.until) {
			v.until = now.Add(HoldTime)
			out = append(out, *v)
		}
	}
	return out
}

// Confirm records that control has a verdict.
func (t *Table) Confirm(keys []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.verdicts[Fingerprint(keys)]; v != nil {
		v.confirmed = true
	}
}
