package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/clock"
)

const (
	headerPrompt = "X-Crocusway-Prompt-Prefix"
	// sharedPart is in the prompts of all streams.
	sharedPart = "ba5e"
	// documents is the number of other parts that sound prompts share.
	documents = 6
	// poisonShare is the inverse of the share of streams with the part that crashes servers.
	poisonShare = 4
	// poisonFactor makes the action last longer than others, beyond the time after which
	// its requests must not reach servers.
	poisonFactor = 4
	// maxPoisonEvents bounds the events before a poisoned stream crashes its server.
	maxPoisonEvents = 3
	// returnTime is how long a crashed server is down.
	returnTime = 2 * time.Second

	// crashesAllowed and lateAllowed bound the servers that a part may crash, and the
	// requests with it that reach servers stableTime after the last of these.
	crashesAllowed = 5
	lateAllowed    = 3
	// minSound is the number of sound streams from which their share counts.
	minSound = 20
)

// poisoned is what the oracle knows of a part that crashes servers.
type poisoned struct {
	crashes int
	fifth   time.Time
	late    int
	// sound counts the other streams that were sent long after the fifth crash, served
	// those of them that were served.
	sound, served int
}

// poison lets one part of prompts crash the servers that run it for a time.
func (s *system) poison(ctx context.Context, e event) {
	part := fmt.Sprintf("%016x", e.Seed)
	s.fleet.setPoison(part)
	clock.Sleep(ctx, poisonFactor*e.Length)
	s.fleet.setPoison("")
	if s.mode == modePlanned {
		s.oracle.checkSound(part)
	}
}

func (f *fleet) setPoison(part string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poison = part
}

func (f *fleet) currentPoison() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poison
}

// prompt returns the parts of a stream's prompt, the last of which is its own.
func (c *caller) prompt(id string) (prompt string, poisoned bool) {
	second := fmt.Sprintf("d0c%d", c.rand.IntN(documents))
	if part := c.system.fleet.currentPoison(); part != "" && c.rand.IntN(poisonShare) == 0 {
		second, poisoned = part, true
		c.system.oracle.count("poisoned streams")
	}
	return fmt.Sprintf("%s:20,%s:15,%s:5", sharedPart, second, strings.ReplaceAll(id, "-", "")), poisoned
}

// poisonOf returns the part in a prompt that crashes its server, empty without one.
func (f *fleet) poisonOf(prompt string) string {
	part := f.currentPoison()
	if part != "" && slices.ContainsFunc(strings.Split(prompt, ","), func(p string) bool { return strings.HasPrefix(p, part+":") }) {
		return part
	}
	return ""
}

// crash ends a server, which returns later as a new incarnation.
func (s *server) crash() {
	s.setFault(faultClose)
	s.wg.Go(func() {
		select {
		case <-s.stop:
		case <-time.After(returnTime):
			s.restart()
		}
	})
}

// reached records a request with a part that crashes servers at a server. With planned
// work alone every entry is in touch, and has to hold it back after a time.
func (o *oracle) reached(part, id string, planned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.poison[part]
	if p == nil {
		p = &poisoned{}
		o.poison[part] = p
	}
	if !planned || p.crashes < crashesAllowed || time.Since(p.fifth) <= stableTime {
		return
	}
	if p.late++; p.late > lateAllowed {
		o.report("BUDGET: request %s reaches a server with part %s, under which %d servers crashed, %s after the fifth",
			id, part, p.crashes, time.Since(p.fifth).Round(time.Millisecond))
	}
}

// sound records whether a stream without the part was served, sent while requests with the
// part had long been kept from servers.
func (o *oracle) sound(part, id string, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, r := o.poison[part], o.requests[id]
	if p == nil || p.crashes < crashesAllowed || r.poisoned || r.sent.Sub(p.fifth) < 2*stableTime {
		return
	}
	p.sound++
	if served {
		p.served++
	}
}

// checkSound checks that at least half of the sound streams were served.
func (o *oracle) checkSound(part string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.poison[part]; p != nil && p.sound >= minSound && 2*p.served < p.sound {
		o.report("LOST: %d of %d streams without part %s are served from %s after the fifth crash", p.served, p.sound, part, 2*stableTime)
	}
}

// crashed records that a server crashed under a part.
func (o *oracle) crashed(part string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["servers crashed by a part"]++
	p := o.poison[part]
	if p.crashes++; p.crashes == crashesAllowed {
		p.fifth = time.Now()
	}
}

// brokeOff records that a server broke off its answer to a request, or closed its
// connection: the entry can't answer it then.
func (o *oracle) brokeOff(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.requests[id]; r != nil {
		r.brokenOff = true
	}
}
