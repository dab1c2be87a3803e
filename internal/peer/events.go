package peer

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/panjf2000/gnet/v2"
)

// maxAcceptedLinks is the number of open links at which a node accepts no more.
const maxAcceptedLinks = 4096

// eventHandler receives the callbacks of one gnet event loop.
type eventHandler struct {
	gnet.BuiltinEventEngine
	node   *Node
	dialer bool
	// booted is called once the event loop runs; nil for the dialing one.
	booted func(gnet.Engine)
}

// OnBoot implements gnet.EventHandler.
func (e *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	if e.booted != nil {
		e.booted(engine)
	}
	return gnet.None
}

// OnOpen implements gnet.EventHandler. A dialed link sends the first frame of the
// handshake.
func (e *eventHandler) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if !e.dialer {
		return nil, e.accept(c)
	}
	l := c.Context().(*link)
	l.attach(c)
	e.node.addLink(l)
	frame, err := l.handshake.start()
	if err != nil {
		return nil, gnet.Close
	}
	e.node.counters.sentBytes.Add(int64(len(frame)))
	e.node.counters.sentMessages.Add(1)
	return frame, gnet.None
}

func (e *eventHandler) accept(c gnet.Conn) gnet.Action {
	if e.node.counters.links.Load() >= maxAcceptedLinks {
		return gnet.Close
	}
	e.node.closeOldestPending()
	l := newLink(e.node, false, c.RemoteAddr().String())
	l.attach(c)
	c.SetContext(l)
	e.node.addLink(l)
	return gnet.None
}

// closeOldestPending closes an accepted link whose handshake is not complete, if there are
// Config.MaxPending of them. Anybody can open these, and daemons need a descriptor for theirs.
func (n *Node) closeOldestPending() {
	var oldest *link
	pending := 0
	n.mu.Lock()
	for l := range n.links {
		if l.dialer || l.ready.Load() || l.isClosing() {
			continue
		}
		pending++
		if oldest == nil || l.opened.Before(oldest.opened) {
			oldest = l
		}
	}
	n.mu.Unlock()
	if pending >= n.cfg.MaxPending {
		oldest.closeSilently()
	}
}

// OnTraffic implements gnet.EventHandler.
func (e *eventHandler) OnTraffic(c gnet.Conn) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.Close
	}
	if err := l.onTraffic(c); err != nil {
		_ = level.Warn(e.node.logger).Log("msg", "closing link after protocol error", "peer", l.remote, "err", err)
		return gnet.Close
	}
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (e *eventHandler) OnClose(c gnet.Conn, _ error) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.None
	}
	e.node.removeLink(l)
	l.onClose()
	return gnet.None
}

// OnTick implements gnet.EventHandler. Only the dialing event loop has a ticker.
func (e *eventHandler) OnTick() (time.Duration, gnet.Action) {
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
