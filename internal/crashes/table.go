package crashes

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// Limit is the number of independent crashes under a key after which its requests are
	// refused. One more server than a request may run on by itself has to end.
	Limit = 3
	// Retention is how long a crash counts.
	Retention = 30 * time.Second
	// HoldTime is how long a verdict holds without a confirmation by control.
	HoldTime = 20 * time.Second
	// correlationTime is the time within which servers that end under requests sent before
	// count as one crash: they may share a rack or a link.
	correlationTime = 500 * time.Millisecond
	// settleTime is how long a server must survive an answer before the answer proves its
	// request harmless.
	settleTime = 300 * time.Millisecond
	// verdictDelay is the time in which other entries, which report several times in it,
	// may refute a verdict. A verdict on a whole content needs none: few entries have it.
	verdictDelay = 150 * time.Millisecond
	// aliveTime is less than a crashed server takes to return. One that answers a new
	// request sooner has only closed a connection.
	aliveTime = time.Second
	// minAnswers is the number of answers after which a part that all requests share is
	// known.
	minAnswers = 16
	// maxKeys bounds the keys in the table, maxCrashes the crashes kept of each.
	maxKeys    = 4096
	maxCrashes = 16
)

// Server is one life of a replica or backend server.
type Server struct {
	Target     string
	Generation uint64
}

// history is what is known of one key.
type history struct {
	pool    string
	crashes []crash
	// contrast is set once a server of the same pool has answered a request without the
	// key since the first crash: without it, all requests may be failing.
	contrast bool
	// with are the keys of the request that last crashed a server.
	with []Key
}

// crash is the end of a server under a key. sent is when the request was sent to it.
type crash struct {
	pool     string
	server   Server
	sent, at time.Time
}

// Verdict names keys that crash servers if they come together in one request.
type Verdict struct {
	Keys    []Key
	Servers []Server
	// from is when the verdict is passed, unless an answer refutes it before.
	from, until time.Time
	passed      bool
	// confirmed is set once control has the verdict.
	confirmed bool
}

// answer is one whose server has not survived it for settleTime yet.
type answer struct {
	pool   string
	keys   []Key
	server Server
	at     time.Time
	// trial is set if the request was quarantined.
	trial bool
}

// Table collects the crashes that this and other entries see. It is safe for concurrent
// use.
type Table struct {
	mu   sync.Mutex
	keys map[Key]*history
	// ended holds when each server crashed, explained those that crashed under a verdict:
	// they count against no other key.
	ended     map[Server]time.Time
	explained map[Server]bool
	verdicts  map[string]*Verdict
	answers   []answer
	// lastAnswer is when a request with each part was last answered.
	lastAnswer map[Key]time.Time
	// answered counts the answers that lastAnswer is made from.
	answered int
	// newCrashes and newAnswers are those that other entries have not been told yet.
	newCrashes []unreported[api.Crash]
	newAnswers []unreported[api.HarmlessAnswer]
	// passed are the verdicts that Settle has not returned yet.
	passed []Verdict
}

// unreported is an observation with its time.
type unreported[T any] struct {
	row T
	at  time.Time
}

// Report is what an entry tells the others.
type Report struct {
	Crashes []api.Crash
	Answers []api.HarmlessAnswer
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool { return len(r.Crashes) == 0 && len(r.Answers) == 0 }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		keys: make(map[Key]*history), ended: make(map[Server]time.Time), explained: make(map[Server]bool),
		verdicts: make(map[string]*Verdict), lastAnswer: make(map[Key]time.Time),
	}
}

// Record counts a crash that this entry saw under a request with keys, which was sent to
// the server of a pool at the time sent.
func (t *Table) Record(pool string, server Server, keys []Key, sent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := api.Crash{Pool: pool, Keys: texts(keys), Target: server.Target, Generation: server.Generation, HeldMillis: now.Sub(sent).Milliseconds()}
	t.newCrashes = append(t.newCrashes, unreported[api.Crash]{row, now})
	t.add(crash{pool: pool, server: server, sent: sent, at: now}, keys, now)
}

// RecordRemote adds what another entry reported.
func (t *Table) RecordRemote(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range r.Answers {
		t.addAnswer(answer{pool: a.Pool, keys: keysOf(a.Keys), server: Server{a.Target, a.Generation}, at: now.Add(-millis(a.AgeMillis))})
	}
	for _, c := range r.Crashes {
		at := now.Add(-millis(c.AgeMillis))
		k := crash{pool: c.Pool, server: Server{c.Target, c.Generation}, sent: at.Add(-millis(c.HeldMillis)), at: at}
		t.add(k, keysOf(c.Keys), now)
	}
}

// add counts a crash. The lock is held.
func (t *Table) add(c crash, keys []Key, now time.Time) {
	if at, known := t.ended[c.server]; known && at.Before(c.sent) {
		return // It was down before the request was sent.
	} else if !known {
		t.ended[c.server] = c.at
	}
	for _, v := range t.verdicts {
		if v.passed && Includes(keys, v.Keys) {
			t.explain(v, c.server)
		}
	}
	for _, k := range keys {
		if t.explained[c.server] && !t.isJudged(k) {
			continue
		}
		t.addTo(k, c, now)
		t.keys[k].with = keys
	}
	t.judge(keys, now)
}

// addTo counts a crash against one key, once for each server.
func (t *Table) addTo(k Key, c crash, now time.Time) {
	h := t.keys[k]
	if h == nil {
		if len(t.keys) >= maxKeys {
			t.evict(now)
		}
		h = &history{pool: c.pool}
		t.keys[k] = h
	}
	h.crashes = slices.DeleteFunc(h.crashes, func(old crash) bool { return now.Sub(old.at) >= Retention })
	if includesServer(h.crashes, c.server) {
		return
	}
	if len(h.crashes) >= maxCrashes {
		h.crashes = h.crashes[1:]
	}
	h.crashes = append(h.crashes, c)
	slices.SortFunc(h.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

// evict makes room for keys: expired ones go, and a quarter of the table if it stays full,
// those with the fewest and oldest crashes first.
func (t *Table) evict(now time.Time) {
	newest := func(k Key) time.Time { return t.keys[k].crashes[len(t.keys[k].crashes)-1].at }
	for k := range t.keys {
		if now.Sub(newest(k)) >= Retention {
			delete(t.keys, k)
		}
	}
	if len(t.keys) < maxKeys {
		return
	}
	order := slices.SortedFunc(maps.Keys(t.keys), func(a, b Key) int {
		return cmp.Or(cmp.Compare(len(t.keys[a].crashes), len(t.keys[b].crashes)), newest(a).Compare(newest(b)))
	})
	for _, k := range order[:maxKeys/4] {
		delete(t.keys, k)
	}
}

// Survived records that a server sent an answer to a request that was sent at the time
// sent. A crash shortly before is withdrawn: the server only closed a connection.
func (t *Table) Survived(server Server, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.ended[server]
	if !ok || sent.Before(at) || sent.Sub(at) >= aliveTime {
		return
	}
	delete(t.ended, server)
	for k := range t.keys {
		t.forget(k, func(c crash) bool { return c.server == server })
	}
}

// Answered records that a server of a pool completed the answer to a request with keys.
// trial is set for a request that was quarantined.
func (t *Table) Answered(pool string, server Server, keys []Key, trial bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isNews(keys) {
		row := api.HarmlessAnswer{Pool: pool, Keys: texts(keys), Target: server.Target, Generation: server.Generation}
		t.newAnswers = append(t.newAnswers, unreported[api.HarmlessAnswer]{row, now})
	}
	t.addAnswer(answer{pool: pool, keys: keys, server: server, at: now, trial: trial})
}

// isNews reports whether an answer clears a key that no answer in the next report clears.
func (t *Table) isNews(keys []Key) bool {
	for _, k := range keys {
		told := func(a unreported[api.HarmlessAnswer]) bool { return slices.Contains(a.row.Keys, string(k)) }
		if (t.keys[k] != nil || t.isJudged(k)) && !slices.ContainsFunc(t.newAnswers, told) {
			return true
		}
	}
	return false
}

// addAnswer drops the verdicts that an answer refutes before they are passed. Those that
// are passed end once the server has survived the answer.
func (t *Table) addAnswer(a answer) {
	for _, k := range a.keys {
		if !k.isContent() {
			t.lastAnswer[k] = a.at
		}
	}
	if len(t.lastAnswer) > maxKeys {
		clear(t.lastAnswer)
		t.answered = 0
	}
	t.answered++
	if len(t.keys) == 0 && len(t.verdicts) == 0 && !a.trial {
		return
	}
	t.answers = append(t.answers, a)
	if _, crashed := t.ended[a.server]; crashed {
		return
	}
	for k, h := range t.keys {
		if h.pool == a.pool && !h.contrast && len(h.crashes) > 1 && !slices.Contains(a.keys, k) {
			h.contrast = true
			t.judge(h.with, a.at)
		}
	}
	for id, v := range t.verdicts {
		if !v.passed && Includes(a.keys, v.Keys) {
			delete(t.verdicts, id)
		}
	}
}

// Settled is what became certain since the last call.
type Settled struct {
	// Passed are new verdicts, Harmless the keys of requests that servers have survived.
	Passed   []Verdict
	Harmless [][]Key
}

// Settle passes the verdicts that no answer has refuted, and clears the keys of answers
// that their servers survived.
func (t *Table) Settle(now time.Time) Settled {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Settled
	kept := t.answers[:0]
	for _, a := range t.answers {
		_, crashed := t.ended[a.server]
		switch {
		case now.Sub(a.at) < settleTime:
			kept = append(kept, a)
		case !crashed:
			t.clear(a.keys, a.at)
			out.Harmless = append(out.Harmless, a.keys)
		}
	}
	clear(t.answers[len(kept):])
	t.answers = kept
	t.passDue(now)
	out.Passed, t.passed = t.passed, nil
	t.expire(now)
	return out
}

// clear removes the crashes before a time, and the verdicts that a harmless request has
// refuted.
func (t *Table) clear(keys []Key, before time.Time) {
	for _, k := range keys {
		t.forget(k, func(c crash) bool { return c.at.Before(before) })
	}
	for id, v := range t.verdicts {
		if Includes(keys, v.Keys) {
			delete(t.verdicts, id)
		}
	}
}

// forget removes the crashes of a key that match.
func (t *Table) forget(k Key, match func(crash) bool) {
	h := t.keys[k]
	if h == nil {
		return
	}
	if h.crashes = slices.DeleteFunc(h.crashes, match); len(h.crashes) == 0 {
		delete(t.keys, k)
	}
}

// expire drops what no longer counts.
func (t *Table) expire(now time.Time) {
	for server, at := range t.ended {
		if now.Sub(at) >= Retention {
			delete(t.ended, server)
			delete(t.explained, server)
		}
	}
	for id, v := range t.verdicts {
		if !now.Before(v.until) {
			delete(t.verdicts, id)
		}
	}
}

// Take returns what other entries have not been told yet.
func (t *Table) Take(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Report
	for _, c := range t.newCrashes {
		c.row.AgeMillis = now.Sub(c.at).Milliseconds()
		out.Crashes = append(out.Crashes, c.row)
	}
	for _, a := range t.newAnswers {
		a.row.AgeMillis = now.Sub(a.at).Milliseconds()
		out.Answers = append(out.Answers, a.row)
	}
	t.newCrashes, t.newAnswers = nil, nil
	return out
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func texts(keys []Key) []string {
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = string(k)
	}
	return out
}

func keysOf(list []string) []Key {
	out := make([]Key, len(list))
	for i, k := range list {
		out[i] = Key(k)
	}
	return out
}
