package backend

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/clock"
)

// pool keeps idle connections by address. Only connections whose last answer
// was read to its end are put back.
type pool struct {
	clock    clock.Clock
	lifetime time.Duration
	limit    int

	mu     sync.Mutex
	idle   map[string][]*conn
	swept  time.Time
	closed bool
}

func newPool(c clock.Clock, lifetime time.Duration, limit int) *pool {
	return &pool{clock: c, lifetime: lifetime, limit: limit, idle: make(map[string][]*conn)}
}

// get returns the most recently used live connection, or nil.
func (p *pool) get(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if p.clock.Now().Sub(c.idledAt) < p.lifetimeOf(c) && c.alive() {
			return c
		}
		_ = c.Close()
	}
}

// lifetimeOf returns how long a connection may be idle.
func (p *pool) lifetimeOf(c *conn) time.Duration {
	if c.keep > 0 {
		return min(p.lifetime, c.keep)
	}
	return p.lifetime
}

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := len(list) - 1
	c := list[last]
	list[last] = nil
	p.idle[address] = list[:last]
	return c
}

// put keeps c for the next request, or closes it when there are enough.
func (p *pool) put(address string, c *conn) {
	now := p.clock.Now()
	c.idledAt = now
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	if p.closed || len(p.idle[address]) >= p.limit {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// sweep closes connections that were idle for too long, once a lifetime.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.swept) < p.lifetime {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idledAt) < p.lifetimeOf(c) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}
