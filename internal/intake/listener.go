package intake

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// acceptPause is the time between two attempts to accept a connection while the process or
// its host has no descriptor or memory for it.
const acceptPause = 20 * time.Millisecond

// listener charges connections to an account. Accept returns no temporary error: the HTTP
// library would end its server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if isExhausted(err) {
			l.server.account.makeRoom()
			l.server.refused(err)
			time.Sleep(acceptPause)
			continue
		}
		if errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, server: l.server, buffer: int64(l.server.readBuffer()), since: time.Now()}
		if err := l.server.account.open(c); err != nil {
			l.server.refused(err)
			_ = conn.Close()
			continue
		}
		return c, nil
	}
}

// distribute accepts connections for several servers that differ in their read buffers, until
// the listener is closed.
func (l *listener) distribute(servers []*fasthttp.Server) error {
	var group errgroup.Group
	queues := make(map[int64]*queue, len(servers))
	for _, h := range servers {
		q := &queue{Listener: l.Listener, conns: make(chan net.Conn), closed: make(chan struct{})}
		queues[int64(h.ReadBufferSize)] = q
		group.Go(func() error { return h.Serve(q) })
	}
	group.Go(func() error {
		defer func() {
			for _, q := range queues {
				_ = q.Close()
			}
		}()
		for {
			conn, err := l.Accept()
			if isClosed(err) {
				return nil
			}
			if err != nil {
				return err
			}
			queues[conn.(*Conn).buffer].put(conn)
		}
	})
	return group.Wait()
}

// isClosed reports whether a listener has been closed.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) }

// queue is the listener of one of several servers that share an address.
type queue struct {
	net.Listener
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener. It returns io.EOF once the queue is closed.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, io.EOF
	}
}

func (q *queue) put(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		_ = conn.Close()
	}
}

// Close implements net.Listener. It closes the shared address.
func (q *queue) Close() error {
	q.once.Do(func() { close(q.closed) })
	if err := q.Listener.Close(); !isClosed(err) {
		return err
	}
	return nil
}

// isExhausted reports whether a connection can't be accepted for lack of a descriptor or
// memory. It stays in the queue of the kernel.
func isExhausted(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// makeRoom lets one connection yield.
func (a *Account) makeRoom() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.told == 0 {
		a.yield(a.longestWaiting())
	}
}

// refusalLogInterval is the least time between two log lines about refused callers.
const refusalLogInterval = time.Second

// refused counts a refusal, and logs some.
func (s *Server) refused(err error) {
	reason := Reason(err)
	s.cfg.Refusals.add(reason)
	s.mu.Lock()
	s.unlogged++
	count := s.unlogged
	isDue := time.Since(s.loggedAt) >= refusalLogInterval
	if isDue {
		s.loggedAt, s.unlogged = time.Now(), 0
	}
	s.mu.Unlock()
	if isDue {
		usage := s.account.Usage()
		level.Warn(s.cfg.Logger).Log("msg", "Callers refused", "endpoint", s.cfg.Name, "reason", reason, "count", count,
			"connections", usage.Connections, "held_bytes", usage.Bytes, "err", err)
	}
}
