package ingress

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// crashLimit is the number of servers that may crash under requests with one
	// content before such requests are refused.
	crashLimit = 3
	// crashRetention is how long a crash counts.
	crashRetention = 30 * time.Second
	// maxCrashContents bounds the number of contents in the table.
	maxCrashContents = 4096
)

// crashTracker counts the servers that crashed under requests of one content. Callers
// retry such a request under another id and at any entry, so that entries report
// crashes to each other. Every request that ran on a crashed server is counted; an
// innocent one reaches the limit only if three servers crash under it by chance.
type crashTracker struct {
	mu       sync.Mutex
	contents map[uint64][]crash
	// unreported are the crashes seen here that other entries have not been sent yet.
	unreported []api.Crash
}

// crash is a server that crashed under a content.
type crash struct {
	target     string
	generation uint64
	at         time.Time
}

func newCrashTracker() *crashTracker { return &crashTracker{contents: make(map[uint64][]crash)} }

// contentOf hashes what stays the same when a request is retried: the account, method,
// URI and body.
func contentOf(c *call) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(c.accountID()))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.http.Request.Header.Method())
	_, _ = d.Write(c.http.Request.Header.RequestURI())
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.http.Request.Body())
	return d.Sum64()
}

// record counts a crash that this entry saw.
func (t *crashTracker) record(content uint64, target string, generation uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.add(content, crash{target: target, generation: generation, at: now}) {
		t.unreported = append(t.unreported, api.Crash{Content: content, Target: target, Generation: generation})
	}
}

// recordRemote counts the crashes that another entry reported.
func (t *crashTracker) recordRemote(list []api.Crash, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range list {
		t.add(c.Content, crash{target: c.Target, generation: c.Generation, at: now})
	}
}

// add reports whether the crash is a new one. The lock is held.
func (t *crashTracker) add(content uint64, c crash) bool {
	list := slices.DeleteFunc(t.contents[content], func(old crash) bool { return c.at.Sub(old.at) >= crashRetention })
	if slices.ContainsFunc(list, func(old crash) bool { return old.target == c.target && old.generation == c.generation }) {
		t.contents[content] = list
		return false
	}
	if len(t.contents) >= maxCrashContents && len(list) == 0 {
		t.evict(c.at)
	}
	t.contents[content] = append(list, c)
	return true
}

// evict drops the contents whose newest crash no longer counts. If the table stays
// full, it drops all: so many recent crashes say nothing about any one content.
func (t *crashTracker) evict(now time.Time) {
	for content, list := range t.contents {
		if now.Sub(list[len(list)-1].at) >= crashRetention {
			delete(t.contents, content)
		}
	}
	if len(t.contents) >= maxCrashContents {
		clear(t.contents)
	}
}

// count returns the number of servers that crashed under a content.
func (t *crashTracker) count(content uint64, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.contents[content] {
		if now.Sub(c.at) < crashRetention {
			n++
		}
	}
	return n
}

// takeUnreported returns the crashes to report to other entries, and clears the list.
func (t *crashTracker) takeUnreported() []api.Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.unreported
	t.unreported = nil
	return out
}

// quarantine refuses requests with a content under which crashLimit servers crashed.
func (s *Server) quarantine(c *call) error {
	c.content = contentOf(c)
	n := s.crashes.count(c.content, c.received)
	if n < crashLimit {
		return nil
	}
	return unavailable("quarantined", "servers went down under requests with this content", errors.Newf("%d servers", n))
}

// recordCrash counts a server that closed the connection of a request that it may have
// run. A server that stalls or refuses has not crashed.
func (s *Server) recordCrash(c *call, failed *attemptError, target string, generation uint64) {
	if !failed.ran || failed.stalled || !failed.closed {
		return
	}
	s.crashes.record(c.content, target, generation, time.Now())
	level.Info(s.logger).Log("msg", "Server may have crashed", "request", c.head.ID, "target", target, "generation", generation,
		"parts", joined(c.head.PromptParts), "events", c.events, "crashes", s.crashes.count(c.content, time.Now()))
}
