package backend

import (
	"bufio"
	"strings"
	"testing"
)

// BenchmarkSSEReader reads one event of a chat completion.
func BenchmarkSSEReader(b *testing.B) {
	event := "id: 01JEXAMPLE0000000000000000/123\ndata: " + strings.Repeat("x", 180) + "\n\n"
	text := strings.Repeat(event, 100)
	src := strings.NewReader(text)
	r := newSSEReader(bufio.NewReaderSize(src, streamBuffer), DefaultMaxEvent)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%100 == 0 {
			src.Reset(text)
		}
		if _, err := r.next(); err != nil {
			b.Fatal(err)
		}
	}
}
