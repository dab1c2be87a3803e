package ingress

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

// stoppingConn is a connection of a process that stands still once the first event has been
// read: the next read ends by its deadline, although more bytes have arrived meanwhile.
type stoppingConn struct {
	net.Conn
	// stopped is closed when the process stands still, for the given time.
	stopped  chan struct{}
	stop     time.Duration
	began    bool
	once     sync.Once
	deadline time.Time
}

func (c *stoppingConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

func (c *stoppingConn) Read(p []byte) (int, error) {
	if c.began {
		late := false
		c.once.Do(func() {
			close(c.stopped)
			<-time.After(time.Until(c.deadline.Add(c.stop)))
			late = true
		})
		if late {
			return 0, os.ErrDeadlineExceeded
		}
	}
	n, err := c.Conn.Read(p)
	c.began = c.began || bytes.Contains(p[:n], []byte(event(1)))
	return n, err
}

// TestStopOfTheEntryIsNoSilenceOfItsServers guards against streams that leave a sound server
// because the entry itself stood still.
func TestStopOfTheEntryIsNoSilenceOfItsServers(t *testing.T) {
	stopped := make(chan struct{})
	first := newFakeServer(t, "a-sound", func(r *received) {
		r.beginStream()
		r.chunk(event(1))
		<-stopped
		for i := 2; i <= 4; i++ {
			r.chunk(event(i))
		}
		r.endStream()
	})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || address != first.ln.Addr().String() {
			return conn, err
		}
		return &stoppingConn{Conn: conn, stopped: stopped, stop: abandonTimeout}, nil
	}
	h := newEntry(t, api.EntryInfo{ID: "e1", Incarnation: 1, Domain: "cairo"}, backend.Config{DialTimeout: time.Second, Dial: dial})
	other := newFakeServer(t, "b-good", serveEvents(4))
	h.scribe(first, other)
	h.loadGoodReplica()
	got, whole := text(h.send("POST", "/draft/1", "prompt"))
	require.True(t, whole)
	require.Equal(t, wholeStream(4), got)
	require.Zero(t, other.arrived.Load(), "no other server is asked")
	require.NotContains(t, h.logs.String(), "stalled=true")
}
