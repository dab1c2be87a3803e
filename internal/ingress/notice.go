package ingress

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/placement"
)

// recordNotices records what a server says of itself in an answer to this request: that it
// leaves, or that it wants no requests of this entry for a time. An answer of another
// instance, or to another request, says nothing of the server; one without an ID is passed on
// as the answer to this request, so it counts.
func (s *Server) recordNotices(c *call, server api.HostID, incarnation api.Incarnation) {
	a, now := &c.answer, time.Now()
	if a.OtherInstance || a.RequestID != "" && a.RequestID != c.head.ID {
		return
	}
	if a.PauseUnreadable {
		level.Warn(s.logger).Log("msg", "Unreadable or too long Retry-After of a server", "request", c.head.ID, "server", server, "pause_ms", a.Pause.Milliseconds())
	}
	from := placement.Source{Server: server, Incarnation: incarnation, Connected: now}
	if c.via == nil && c.exchange.Reused() {
		from.Connected = c.sent
	}
	if a.Pause > 0 {
		s.notices.RecordPause(from, a.Pause, now)
		s.instruments.recordNotice("pause")
		level.Info(s.logger).Log("msg", "Server asks for a pause", "request", c.head.ID, "server", server, "incarnation", incarnation,
			"pause_ms", a.Pause.Milliseconds())
		c.pool.Reconsider()
	}
	if a.Leaving && s.notices.RecordLeaving(from, now) {
		s.instruments.recordNotice("leaving")
		level.Info(s.logger).Log("msg", "Server leaves", "request", c.head.ID, "server", server, "incarnation", incarnation,
			"revision", s.cfg.State.Snapshot().Revision)
		c.pool.Reconsider()
	}
}
