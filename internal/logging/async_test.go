package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// gatedWriter is a writer that blocks until open is closed.
type gatedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Write(p)
}

func TestAsyncWriterKeepsOrder(t *testing.T) {
	g := &gatedWriter{open: make(chan struct{})}
	close(g.open)
	w := NewAsyncWriter(g)
	logger := New(w, "info")
	for i := range 100 {
		require.NoError(t, logger.Log("n", i))
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(g.out.String()), "\n")
	require.Len(t, lines, 100)
	require.Contains(t, lines[99], "n=99")
	require.Zero(t, w.Dropped())
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	g := &gatedWriter{open: make(chan struct{})}
	w := NewAsyncWriter(g)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxBufferBytes / 1024
	for range lines {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Positive(t, w.Dropped())
	close(g.open)
	w.Close()
	require.Contains(t, g.out.String(), "Lines dropped")
	written := strings.Count(g.out.String(), "\n") - strings.Count(g.out.String(), "Lines dropped")
	require.Equal(t, int64(lines), int64(written)+w.Dropped(), "each line is written or counted")
}
