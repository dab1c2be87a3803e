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
	// crashLimit is the number of servers that requests with one content may take
	// down before they are refused.
	crashLimit = 3
	// crashMemory is how long a crash counts.
	crashMemory = 30 * time.Second
	// maxCrashContents bounds the contents that are remembered.
	maxCrashContents = 4096
)

// crashes counts the servers that went down under requests of one content. Callers
// send such a request again, under another id and to any entry, so that entries tell
// each other. Every request that ran on a crashed server is counted; an innocent one
// reaches the limit only if three servers crash under it by chance.
type crashes struct {
	mu       sync.Mutex
	contents map[uint64][]crash
	// fresh are the crashes seen here that other entries don't know yet.
	fresh []api.Crash
}

// crash is a server that went down under a content.
type crash struct {
	target     string
	generation uint64
	at         time.Time
}

func newCrashes() *crashes { return &crashes{contents: make(map[uint64][]crash)} }

// contentOf identifies what a request asks for, whoever sends it again.
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

// note counts a crash that this entry saw.
func (k *crashes) note(content uint64, target string, generation uint64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.add(content, crash{target: target, generation: generation, at: now}) {
		k.fresh = append(k.fresh, api.Crash{Content: content, Target: target, Generation: generation})
	}
}

// learn counts the crashes that another entry saw.
func (k *crashes) learn(list []api.Crash, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range list {
		k.add(c.Content, crash{target: c.Target, generation: c.Generation, at: now})
	}
}

// add reports whether the crash is a new one. The lock is held.
func (k *crashes) add(content uint64, c crash) bool {
	list := slices.DeleteFunc(k.contents[content], func(old crash) bool { return c.at.Sub(old.at) >= crashMemory })
	if slices.ContainsFunc(list, func(old crash) bool { return old.target == c.target && old.generation == c.generation }) {
		k.contents[content] = list
		return false
	}
	if len(k.contents) >= maxCrashContents && len(list) == 0 {
		k.forget(c.at)
	}
	k.contents[content] = append(list, c)
	return true
}

// forget drops the contents whose newest crash no longer counts, or else all: a
// memory that is full of fresh crashes tells nothing about any of them.
func (k *crashes) forget(now time.Time) {
	for content, list := range k.contents {
		if now.Sub(list[len(list)-1].at) >= crashMemory {
			delete(k.contents, content)
		}
	}
	if len(k.contents) >= maxCrashContents {
		clear(k.contents)
	}
}

// count returns the number of servers that went down under a content.
func (k *crashes) count(content uint64, now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, c := range k.contents[content] {
		if now.Sub(c.at) < crashMemory {
			n++
		}
	}
	return n
}

// take returns the crashes that other entries don't know yet.
func (k *crashes) take() []api.Crash {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := k.fresh
	k.fresh = nil
	return out
}

// quarantine refuses requests whose content has taken servers down.
func (s *Server) quarantine(c *call) error {
	c.content = contentOf(c)
	n := s.crashes.count(c.content, c.received)
	if n < crashLimit {
		return nil
	}
	return unavailable("quarantined", "servers went down under requests with this content", errors.Newf("%d servers", n))
}

// noteCrash counts a server that ended the connection of a request which it may have
// run. A server that stands still or refuses has not crashed.
func (s *Server) noteCrash(c *call, failed *attemptError, target string, generation uint64) {
	if !failed.ran || failed.stalled || !failed.closed {
		return
	}
	s.crashes.note(c.content, target, generation, time.Now())
	level.Info(s.logger).Log("msg", "Server may have crashed", "request", c.head.ID, "target", target, "generation", generation,
		"crashes", s.crashes.count(c.content, time.Now()))
}
