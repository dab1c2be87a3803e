package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/panjf2000/gnet/v2"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sys/unix"
)

var (
	errLinkClosed = errors.New("link closed")
	errQueueFull  = errors.New("send queue full")
	errInFlight   = errors.New("too many calls in flight")
)

// link is one connection. The dialer sends calls, the acceptor responds.
type link struct {
	node         *Node
	dialer       bool
	opened       time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	established  chan struct{}
	disconnected chan struct{}
	ready        atomic.Bool
	lastReadAt   atomic.Int64
	lastWriteAt  atomic.Int64
	// lastPingAt is the time of the last keep-alive call.
	lastPingAt atomic.Int64

	// queued counts bytes passed to the event loop; buffered counts those that the
	// event loop had not yet passed to the kernel when last observed.
	queued     atomic.Int64
	buffered   atomic.Int64
	refreshing atomic.Bool

	// handshake and unread, the buffered bytes of an incomplete frame, are only accessed on
	// the event loop.
	handshake *handshake
	unread    int
	// checking is set while a check of the idle timeout waits for the event loop.
	checking atomic.Bool

	mu      sync.Mutex
	conn    gnet.Conn
	remote  string
	closing bool
	closed  bool
	lastID  uint64
	pending map[uint64]*call
	serving map[jsonrpc2.ID]struct{}
}

func newLink(n *Node, dialer bool, remote string) *link {
	l := &link{
		node:         n,
		dialer:       dialer,
		remote:       remote,
		opened:       n.cfg.Clock.Now(),
		established:  make(chan struct{}),
		disconnected: make(chan struct{}),
		handshake:    newHandshake(n.cfg.Secret),
		lastID:       proveID,
		pending:      make(map[uint64]*call),
		serving:      make(map[jsonrpc2.ID]struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(n.ctx)
	l.lastReadAt.Store(l.opened.UnixNano())
	l.lastWriteAt.Store(l.opened.UnixNano())
	return l
}

// attach binds the link to its connection. It runs on the event loop.
func (l *link) attach(c gnet.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = c
}

// send queues a frame. written, if not nil, is called on the event loop once the
// frame was accepted for sending, or with an error if it will not be sent.
func (l *link) send(frame []byte, written func(error)) error {
	if int(l.queued.Load()+l.buffered.Load())+len(frame) > l.node.cfg.QueueBytes {
		l.node.counters.queueFull.Add(1)
		l.refreshBuffered()
		return errQueueFull
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.conn == nil {
		return errLinkClosed
	}
	l.queued.Add(int64(len(frame)))
	err := l.conn.AsyncWrite(frame, func(c gnet.Conn, err error) error {
		l.recordWrite(c, len(frame), err)
		if written != nil {
			written(err)
		}
		return nil
	})
	if err != nil {
		l.queued.Add(-int64(len(frame)))
	}
	return err
}

// recordWrite updates the queue size and counters after one frame. It runs on the event
// loop.
func (l *link) recordWrite(c gnet.Conn, size int, err error) {
	l.queued.Add(-int64(size))
	if err != nil {
		return
	}
	l.buffered.Store(int64(c.OutboundBuffered()))
	l.lastWriteAt.Store(l.node.cfg.Clock.Now().UnixNano())
	l.node.counters.sentBytes.Add(int64(size))
	l.node.counters.sentMessages.Add(1)
}

// refreshBuffered updates the count of buffered bytes on the event loop. Otherwise
// only a write would update it, and a full queue rejects all writes.
func (l *link) refreshBuffered() {
	if !l.refreshing.CompareAndSwap(false, true) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.conn == nil {
		return
	}
	err := l.conn.Wake(func(c gnet.Conn, err error) error {
		if err == nil {
			l.buffered.Store(int64(c.OutboundBuffered()))
		}
		l.refreshing.Store(false)
		return nil
	})
	if err != nil {
		l.refreshing.Store(false)
	}
}

// close asks the event loop to close the connection. It reports whether this was
// the first request to do so.
func (l *link) close(cause error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.closing || l.conn == nil {
		return false
	}
	l.closing = true
	_ = level.Warn(l.node.logger).Log("msg", "closing link", "peer", l.remote, "err", cause)
	_ = l.conn.Close()
	return true
}

// closeSilently is close without a log line, for connections that anybody can open.
func (l *link) closeSilently() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.closing || l.conn == nil {
		return
	}
	l.closing = true
	_ = l.conn.Close()
}

// isClosing reports whether the connection is closed, or about to be.
func (l *link) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.closing
}

// isClosed reports whether the connection is closed.
func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// onClose completes every pending call with an error. It runs on the event loop, so
// a frame that is not written by now will never be.
func (l *link) onClose() {
	l.mu.Lock()
	l.closed = true
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, c := range pending {
		c.complete(outcome{err: c.disconnectError()})
	}
	l.cancel()
	close(l.disconnected)
}

// onTraffic processes every complete frame. It runs on the event loop.
func (l *link) onTraffic(c gnet.Conn) error {
	// A wake-up of the connection comes without data.
	if c.InboundBuffered() > l.unread {
		l.lastReadAt.Store(l.node.cfg.Clock.Now().UnixNano())
	}
	defer func() { l.unread = c.InboundBuffered() }()
	for {
		payload, err := nextFrame(c, l.frameLimit())
		if err != nil || payload == nil {
			return err
		}
		l.node.counters.receivedBytes.Add(int64(len(payload) + frameHeader))
		l.node.counters.receivedMessages.Add(1)
		if err = l.onPayload(c, payload); err != nil {
			return err
		}
	}
}

func (l *link) frameLimit() int {
	if l.ready.Load() {
		return l.node.cfg.MaxFrame
	}
	return handshakeFrame
}

func (l *link) onPayload(c gnet.Conn, payload []byte) error {
	if !l.ready.Load() {
		return l.onHandshake(c, payload)
	}
	if l.dialer {
		return l.onResponse(payload)
	}
	l.onCall(payload)
	return nil
}

// onHandshake advances the handshake and writes the next frame directly, since
// it runs on the event loop.
func (l *link) onHandshake(c gnet.Conn, payload []byte) error {
	step := l.handshake.acceptorStep
	if l.dialer {
		step = l.handshake.dialerStep
	}
	frame, err := step(payload)
	if err != nil {
		l.node.counters.handshakeFailures.Add(1)
		return err
	}
	if frame != nil {
		if err = l.writeHandshake(c, frame); err != nil {
			return err
		}
	}
	if l.handshake.done {
		l.ready.Store(true)
		close(l.established)
	}
	return nil
}

// writeHandshake writes a frame of the handshake on the event loop.
func (l *link) writeHandshake(c gnet.Conn, frame []byte) error {
	l.node.counters.sentBytes.Add(int64(len(frame)))
	l.node.counters.sentMessages.Add(1)
	_, err := c.Write(frame)
	return errors.Wrap(err, "write handshake")
}

// checkDeadlines closes the link after a handshake or idle timeout and sends
// keep-alive calls.
func (l *link) checkDeadlines(now time.Time) {
	cfg := l.node.cfg
	if !l.ready.Load() {
		late := now.Sub(l.opened) > cfg.HandshakeTimeout
		if late && l.close(errors.Wrap(errHandshake, "timeout")) {
			l.node.counters.handshakeFailures.Add(1)
		}
		return
	}
	if l.isIdle(now) {
		l.closeIfIdle()
		return
	}
	if l.dialer && l.keepAliveDue(now) {
		l.lastPingAt.Store(now.UnixNano())
		l.ping()
	}
}

func (l *link) isIdle(now time.Time) bool {
	return now.UnixNano()-l.lastReadAt.Load() > int64(l.node.cfg.IdleTimeout)
}

// closeIfIdle closes the link unless it holds unread data: if the process did not run for a
// while, what the peer sent meanwhile is still to be read. It decides on the event loop,
// which owns the file descriptor.
func (l *link) closeIfIdle() {
	if !l.checking.CompareAndSwap(false, true) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.closing || l.conn == nil {
		return
	}
	err := l.conn.Wake(func(c gnet.Conn, _ error) error {
		l.checking.Store(false)
		if l.isIdle(l.node.cfg.Clock.Now()) && !hasUnreadData(c.Fd()) {
			l.close(errors.New("idle timeout"))
		}
		return nil
	})
	if err != nil {
		l.checking.Store(false)
	}
}

// hasUnreadData reports whether a socket holds data.
func hasUnreadData(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// keepAliveDue reports whether nothing was read, or nothing was written, for a
// keep-alive interval. Notifications count as writes only: without responses, they
// do not prevent the idle timeout of the dialer.
func (l *link) keepAliveDue(now time.Time) bool {
	oldest := min(l.lastReadAt.Load(), l.lastWriteAt.Load())
	return now.UnixNano()-max(oldest, l.lastPingAt.Load()) > int64(l.node.cfg.IdleTimeout/keepAliveFraction)
}

// keepAliveFraction divides the idle timeout into keep-alive intervals.
const keepAliveFraction = 3
