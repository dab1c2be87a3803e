package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// benchCore returns an open core of n replicas with half of their slots held.
func benchCore(n int) *Core {
	groups := make([]*api.Group, 0, n)
	for i := range n {
		groups = append(groups, warmGroup(fmt.Sprintf("g%03d", i), 16))
	}
	c := openCore(groups...)
	for i := range uint64(8 * n) {
		submit(c, ticket(i+1, fmt.Sprintf("a%d", i%10), int(i%3), 4, time.Minute))
	}
	return c
}

// BenchmarkGrant measures one grant and its settlement at the owner.
func BenchmarkGrant(b *testing.B) {
	blocks := make([]uint64, 16)
	for i := range blocks {
		blocks[i] = uint64(i) * 7919
	}
	for _, n := range []int{17, 91} {
		for _, waiting := range []int{0, 200} {
			b.Run(fmt.Sprintf("replicas=%d/waiting=%d", n, waiting), func(b *testing.B) {
				c := benchCore(n)
				id := uint64(1_000_000)
				var last api.Grant
				for len(c.Advance(testStart, true)) > 0 || c.queue.size < waiting {
					id++
					t := ticket(id, fmt.Sprintf("a%d", id%10), 0, 0, time.Hour)
					for _, d := range submit(c, t) {
						last = d.Grant
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					id++
					t := ticket(id, "a1", 1, 4, time.Hour)
					t.Request.PrefixHashes = blocks
					for _, d := range submit(c, t) {
						last = d.Grant
					}
					c.Settle(testStart, api.SettleRequest{Grant: last, Outcome: api.OutcomeComplete, FirstTokenMicros: 1000})
					for _, d := range c.Advance(testStart, true) {
						last = d.Grant
					}
				}
			})
		}
	}
}
