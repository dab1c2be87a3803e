package intake

import (
	"net"
	"time"

	"github.com/go-kit/log/level"
)

// listener charges connections to an account.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, server: l.server, since: time.Now()}
		if err := l.server.account.open(c); err != nil {
			l.server.refused(err)
			_ = conn.Close()
			continue
		}
		return c, nil
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
