package peer

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/panjf2000/gnet/v2"
)

// maxAcceptedLinks bounds the links that a node accepts.
const maxAcceptedLinks = 4096

// events receives the callbacks of one gnet event loop.
type events struct {
	gnet.BuiltinEventEngine
	node   *Node
	dialer bool
	engine gnet.Engine
	booted chan struct{}
}

// OnBoot implements gnet.EventHandler.
func (e *events) OnBoot(engine gnet.Engine) gnet.Action {
	e.engine = engine
	if e.booted != nil {
		close(e.booted)
	}
	return gnet.None
}

// OnOpen implements gnet.EventHandler. The dialer opens the handshake.
func (e *events) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if !e.dialer {
		return nil, e.accept(c)
	}
	l := c.Context().(*link)
	l.attach(c)
	e.node.addLink(l)
	frame, err := l.shake.open()
	if err != nil {
		return nil, gnet.Close
	}
	e.node.counters.sentBytes.Add(int64(len(frame)))
	e.node.counters.sentMessages.Add(1)
	return frame, gnet.None
}

func (e *events) accept(c gnet.Conn) gnet.Action {
	if e.node.counters.links.Load() >= maxAcceptedLinks {
		return gnet.Close
	}
	l := newLink(e.node, false, c.RemoteAddr().String())
	l.attach(c)
	c.SetContext(l)
	e.node.addLink(l)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (e *events) OnTraffic(c gnet.Conn) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.Close
	}
	if err := l.onTraffic(c); err != nil {
		_ = level.Warn(e.node.logger).Log("msg", "link refused", "peer", l.remote, "err", err)
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (e *events) OnClose(c gnet.Conn, _ error) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.None
	}
	e.node.removeLink(l)
	l.onClose()
	return gnet.None
}

// OnTick implements gnet.EventHandler; only the dialing loop ticks.
func (e *events) OnTick() (time.Duration, gnet.Action) {
	e.node.tick(e.node.cfg.Clock.Now())
	return e.node.tickInterval(), gnet.None
}

func (n *Node) addLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = struct{}{}
	n.counters.links.Add(1)
}

func (n *Node) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
	n.counters.links.Add(-1)
}
