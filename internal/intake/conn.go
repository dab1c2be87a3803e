package intake

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// state is what a connection waits for.
type state int

const (
	// stateIdle is the wait for the first byte of a request, stateHead and stateBody for
	// the rest of it. stateBusy covers its handling and the writing of its answer.
	stateIdle state = iota
	stateHead
	stateBody
	stateBusy
)

const (
	// lingerTimeout and lingerBytes bound what is read and dropped after a refusal, so that
	// the caller reads the answer before its connection is reset.
	lingerTimeout = time.Second
	lingerBytes   = 32 << 20
	// writePart is what a slow caller has to take within the write timeout, in bytes.
	writePart = 64 << 10
)

// Conn is the connection of a caller. Its reads are those of one goroutine.
type Conn struct {
	net.Conn
	server *Server
	// buffer is the size of its read buffer, in bytes.
	buffer int64

	// The fields below are guarded by the lock of the account.

	state state
	// since is when the connection entered its state.
	since time.Time
	// held is what it holds, in bytes.
	held int64
	// served is set once a request has been answered.
	served bool
	// told is set once the connection has been told to yield.
	told bool

	// The fields below belong to the goroutine that serves the connection.

	// reading is the state of the reads: fasthttp reads the head and the first bytes of the
	// body before it calls a handler.
	reading state
	// charged is what is held for a request, besides its body.
	charged bool
	separators
	// arrived is the number of bytes that were read since the last answer.
	arrived int64
	// remaining is a number of bytes that surely belong to the body of the request.
	remaining int64
	// chunked is set while a body without a length is read.
	chunked bool
	// failed is the error of all further reads.
	failed error

	// lingers is set if the rest of a request is dropped before the connection closes.
	lingers atomic.Bool
	closed  atomic.Bool
	// ownDeadline is set while a handler bounds its writes itself.
	ownDeadline atomic.Bool
}

// smallest is what the connection holds during a request without a body.
func (c *Conn) smallest() int64 { return connCost + requestCost + c.buffer }

// extra is what the connection holds beyond that, if it holds n bytes more.
func (c *Conn) extra(n int64) int64 { return max(c.held+n-c.smallest(), 0) }

// Read implements net.Conn. What it returns is charged, with what the HTTP library makes of
// it.
func (c *Conn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	if c.reading == stateIdle {
		return c.readFirst(p)
	}
	if c.remaining > 0 {
		n, err := c.Conn.Read(p[:min(int64(len(p)), c.remaining)])
		c.remaining -= int64(n)
		return n, c.cause(err)
	}
	n, err := c.Conn.Read(p)
	if charged := c.chargeSeparators(p[:n]); charged != nil {
		return 0, charged
	}
	return n, c.cause(err)
}

// readFirst waits for the first bytes of a request and charges for its buffers.
func (c *Conn) readFirst(p []byte) (int, error) {
	if c.costs > 0 {
		// The read buffer is empty, and the last request has ended.
		c.separators = separators{}
		c.server.account.release(c, c.smallest())
	}
	n, err := c.awaitFirst(p)
	if err != nil {
		return 0, c.cause(err)
	}
	if c.server.cfg.Arrived != nil {
		c.server.cfg.Arrived(c)
	}
	c.reading = stateHead
	if !c.charged {
		if err := c.server.account.charge(c, c.smallest()-connCost); err != nil {
			c.server.refused(ErrOverloaded)
			return 0, err
		}
		c.charged = true
	}
	if err := c.beginHead(p[:n]); err != nil {
		// The library gets a byte, so that it answers the next error.
		c.failed = err
		return 1, nil
	}
	return n, nil
}

// beginHead charges for the first bytes of a request and bounds the time for its head.
func (c *Conn) beginHead(p []byte) error {
	if err := c.server.account.enter(c, stateHead); err != nil {
		return err
	}
	if err := c.chargeSeparators(p); err != nil {
		return err
	}
	return c.setDeadline(time.Now().Add(c.server.limits().HeadTimeout))
}

// awaitFirst reads the first bytes of a request. The idle timeout may be raised meanwhile.
func (c *Conn) awaitFirst(p []byte) (int, error) {
	began := time.Now()
	for {
		until := began.Add(c.server.limits().IdleTimeout)
		if err := c.setDeadline(until); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !isTimeout(err) {
			return n, err
		}
		if !time.Now().Before(began.Add(c.server.limits().IdleTimeout)) {
			return 0, ErrTimeout
		}
	}
}

// setDeadline sets the end of a read. It fails if the connection has been told to yield.
func (c *Conn) setDeadline(until time.Time) error {
	a := c.server.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.told {
		return ErrOverloaded
	}
	return c.Conn.SetReadDeadline(until)
}

// cause replaces the end of a read that this package has caused.
func (c *Conn) cause(err error) error {
	if !isTimeout(err) {
		return err
	}
	a := c.server.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.told {
		return ErrOverloaded
	}
	return ErrTimeout
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// separators counts those in the last bytes that were read, up to the size of the read
// buffer: what the HTTP library may still parse.
type separators struct {
	// recent are those of the latest seen bytes, earlier those of the block before them.
	recent, earlier int
	seen            int
	// costs is what is charged for them, in bytes.
	costs int64
}

// chargeSeparators charges for what the HTTP library makes of p.
func (c *Conn) chargeSeparators(p []byte) error {
	n := bytes.Count(p, []byte{'\n'})
	if !c.chunked {
		n += bytes.Count(p, []byte{';'}) + bytes.Count(p, []byte{'&'}) + bytes.Count(p, []byte{','})
	}
	c.recent += n
	c.seen += len(p)
	c.arrived += int64(len(p))
	costs := max(c.recent+c.earlier-freeSeparators, 0) * separatorCost
	if int64(c.seen) >= c.buffer {
		c.earlier, c.recent, c.seen = c.recent, 0, 0
	}
	if more := int64(costs) - c.costs; more > 0 {
		if err := c.server.account.charge(c, more); err != nil {
			return err
		}
		c.costs += more
	}
	return nil
}

// SetReadDeadline implements net.Conn. The HTTP library calls it once the head of a request
// has been read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	a := c.server.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.reading == stateHead || c.reading == stateIdle {
		c.reading, c.state, c.since = stateBody, stateBody, time.Now()
	}
	if c.told && c.state != stateBusy {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. Each part of p has to be taken within the write timeout, unless
// a handler has set the end of its writes.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writePart)]
		if !c.ownDeadline.Load() {
			if err := c.Conn.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout)); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.ownDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("a connection of type %T has no descriptor", c.Conn)
	}
	return conn.SyscallConn()
}

// expectBody tells the connection the length of the body that follows, or that it comes in
// chunks if that is negative.
func (c *Conn) expectBody(length int) {
	c.chunked = length < 0
	// The read buffer may hold the first part of the body, also from before the last answer.
	c.remaining = max(int64(length)-c.arrived-c.buffer, 0)
}

// answered ends a request whose answer has been written.
func (c *Conn) answered() {
	c.reading, c.arrived, c.remaining, c.chunked = stateIdle, 0, 0, false
	c.lingers.Store(false)
	// What is left in the read buffer may hold the next request.
	c.costs = int64(max(c.recent+c.earlier-freeSeparators, 0) * separatorCost)
	a := c.server.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseLocked(c, c.smallest()+c.costs)
	c.state, c.since, c.served = stateIdle, time.Now(), true
}

// Close implements net.Conn. It may be called more than once.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if c.lingers.Load() {
		c.linger()
	}
	err := c.Conn.Close()
	c.server.account.close(c)
	return err
}

// linger drops the rest of a request. A connection that closes with unread bytes is reset,
// which takes the answer from the caller.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	a := c.server.account
	a.release(c, connCost)
	if a.enter(c, stateBody) != nil || c.setDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	// The struct hides WriterTo, which would splice.
	_, _ = io.CopyN(io.Discard, struct{ io.Reader }{c.Conn}, lingerBytes)
}
