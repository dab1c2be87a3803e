package peer

import (
	"context"
	"testing"
)

func startBenchNode(b *testing.B) *Node {
	b.Helper()
	n, err := Start(Config{Address: "127.0.0.1:0", Secret: testSecret})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = n.Close() })
	n.Handle(methodEcho, Typed(func(_ context.Context, p echo) (echo, error) { return p, nil }))
	return n
}

// BenchmarkCall measures one small call at a time.
func BenchmarkCall(b *testing.B) {
	from, to := startBenchNode(b), startBenchNode(b)
	for b.Loop() {
		if err := from.Call(b.Context(), to.Addr(), methodEcho, echo{Text: "x"}, nil); err != nil {
			b.Fatal(err)
		}
	}
	stats := from.Stats()
	b.ReportMetric(float64(stats.SentBytes+stats.ReceivedBytes)/float64(b.N), "wire-B/op")
}

// BenchmarkParallelCalls measures calls in flight at once on one link.
func BenchmarkParallelCalls(b *testing.B) {
	from, to := startBenchNode(b), startBenchNode(b)
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := from.Call(b.Context(), to.Addr(), methodEcho, echo{Text: "x"}, nil); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
