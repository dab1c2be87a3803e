package backend

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/clock"
)

// pool keeps idle connections by address. Only connections whose last response
// was read to its end are returned to it.
type pool struct {
	clock    clock.Clock
	lifetime time.Duration
	limit    int

	mu        sync.Mutex
	idle      map[string][]*conn
	lastSweep time.Time
	closed    bool
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
		if p.clock.Now().Sub(c.idleSince) < p.maxIdle(c) && c.alive() {
			return c
		}
		_ = c.Close()
	}
}

// maxIdle returns how long a connection may be idle.
func (p *pool) maxIdle(c *conn) time.Duration {
	if c.keepAlive > 0 {
		return min(p.lifetime, c.keepAlive)
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

// put stores c for the next request, or closes it when the pool is full or closed.
func (p *pool) put(address string, c *conn) {
	now := p.clock.Now()
	c.idleSince = now
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

// sweep closes connections that were idle for too long, at most once per lifetime.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < p.lifetime {
		return
	}
	p.lastSweep = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < p.maxIdle(c) {
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
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}
