package backend

import (
	"bytes"
	"context"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/errs"
)

// ErrIdle means that nothing arrived by the time that the caller gave. The exchange
// remains usable: wait again, or close it.
var ErrIdle = errors.New("no data received in time")

// Forward is one request that is forwarded as the caller sent it. Head holds the
// request line and the header lines without the empty line after them.
type Forward struct {
	Address string
	Head    []byte
	Body    []byte
	// Fresh requires a new connection: the server may have closed an idle one
	// unnoticed, which would leave the outcome of the request unknown.
	Fresh bool
	// HeadOnly is set for methods whose responses have no body.
	HeadOnly bool
	// Matches reports whether a response belongs to this request. A late response
	// to an earlier request is skipped.
	Matches func(*fasthttp.ResponseHeader) bool
}

// Forwarder forwards requests unchanged. It is safe for concurrent use.
type Forwarder struct {
	cfg    Config
	pool   *pool
	dialed atomic.Int64
}

// NewForwarder returns a forwarder. The caller must Close it.
func NewForwarder(cfg Config) *Forwarder {
	cfg = cfg.withDefaults()
	return &Forwarder{cfg: cfg, pool: newPool(cfg.Clock, cfg.IdleLifetime, cfg.IdlePerServer)}
}

// Close closes the idle connections.
func (f *Forwarder) Close() { f.pool.close() }

// CloseIdle closes the idle connections.
func (f *Forwarder) CloseIdle() { f.pool.closeIdle() }

// Connect opens a connection to a server for a later request.
func (f *Forwarder) Connect(ctx context.Context, address string) error {
	f.dialed.Add(1)
	fresh, err := f.cfg.dial(ctx, address)
	if err != nil {
		return failure("connect", address, false, err)
	}
	f.pool.put(address, fresh)
	return nil
}

// Dialed returns the number of connections opened so far.
func (f *Forwarder) Dialed() int64 { return f.dialed.Load() }

// Exchange is one forwarded request and its response. Only one goroutine may use it;
// the end of its context closes the connection.
type Exchange struct {
	forwarder *Forwarder
	request   Forward
	conn      *conn
	ctx       context.Context
	stop      func() bool
	aborted   atomic.Bool
	reused    bool

	// Header is the response header, valid once AwaitHeader has returned nil.
	Header  fasthttp.ResponseHeader
	headers headerReader
	body    bodyReader
	// skipping is set while Header is that of a response to another request.
	skipping bool
	// written is closed once a concurrent write has ended with writeErr; nil if the request
	// was written inline.
	written  chan struct{}
	writeErr error
	failed   bool
}

// maxInlineWrite is the largest request, in bytes, that is written before the
// response is read. A server may respond to a larger one early and delay reading the
// rest.
const maxInlineWrite = 32 << 10

// Send connects and sends the request. An error marked ErrNotSent means that no
// byte can have reached the server.
func (f *Forwarder) Send(ctx context.Context, request Forward) (*Exchange, error) {
	const step = "forward"
	if err := ctx.Err(); err != nil {
		return nil, failure(step, request.Address, false, err)
	}
	e, err := f.connect(ctx, request)
	if err != nil {
		return nil, failure(step, request.Address, false, err)
	}
	e.ctx = ctx
	e.conn.sent = 0
	if deadline, ok := ctx.Deadline(); ok {
		_ = e.conn.SetWriteDeadline(deadline)
	}
	e.stop = context.AfterFunc(ctx, func() {
		e.aborted.Store(true)
		_ = e.conn.Close()
	})
	if err := e.write(); err != nil {
		sent := e.conn.sent > 0
		e.failed = true
		e.Close()
		return nil, failure(step, request.Address, sent, e.cause(err))
	}
	return e, nil
}

func (f *Forwarder) connect(ctx context.Context, request Forward) (*Exchange, error) {
	if !request.Fresh {
		if idle := f.pool.get(request.Address); idle != nil {
			return newExchange(f, request, idle, true), nil
		}
	}
	f.dialed.Add(1)
	fresh, err := f.cfg.dial(ctx, request.Address)
	if err != nil {
		return nil, err
	}
	return newExchange(f, request, fresh, false), nil
}

func newExchange(f *Forwarder, request Forward, c *conn, reused bool) *Exchange {
	return &Exchange{
		forwarder: f, request: request, conn: c, reused: reused,
		headers: headerReader{src: c.reader}, body: bodyReader{src: c.reader},
	}
}

// write sends the request, one over maxInlineWrite concurrently with the reads.
func (e *Exchange) write() error {
	size := len(e.request.Head) + 2 + len(e.request.Body)
	if size <= maxInlineWrite {
		_, err := e.conn.Write(append(e.head(size), e.request.Body...))
		return err
	}
	e.written = make(chan struct{})
	go func() {
		defer close(e.written)
		// A large body is not copied: each attempt of the request would hold one more.
		if _, e.writeErr = e.conn.Write(e.head(0)); e.writeErr == nil {
			_, e.writeErr = e.conn.Write(e.request.Body)
		}
	}()
	return nil
}

// head returns the head with its end, in a buffer of at least size bytes.
func (e *Exchange) head(size int) []byte {
	head := make([]byte, 0, max(size, len(e.request.Head)+2))
	head = append(head, e.request.Head...)
	return append(head, "\r\n"...)
}

// Reused reports whether the request used an idle connection of the pool.
func (e *Exchange) Reused() bool { return e.reused }

// AwaitHeader reads the response header. It returns ErrIdle if it is not complete by
// until; call it again to go on. Interim and late responses are skipped, up to
// maxSkippedBytes and maxSkippedResponses. Bytes that are no response fail at once.
func (e *Exchange) AwaitHeader(until time.Time) error {
	for {
		if e.skipping {
			if err := e.skipBody(until); err != nil {
				return err
			}
		}
		if err := e.readHeader(until); err != nil {
			return err
		}
		e.body.decoder = newResponseDecoder(&e.Header, e.request.HeadOnly)
		if e.request.Matches == nil || e.request.Matches(&e.Header) {
			e.conn.keepAlive = parseKeepAlive(e.Header.Peek(fasthttp.HeaderKeepAlive))
			return nil
		}
		if err := e.headers.skipResponse(); err != nil {
			return e.fail("skip late response", err)
		}
		e.skipping = true
	}
}

// readHeader reads the next header that is not interim, once it is buffered as a whole.
func (e *Exchange) readHeader(until time.Time) error {
	for {
		need, err := e.headers.next(&e.Header)
		if err != nil {
			return e.fail("read header", err)
		}
		if need == 0 {
			return nil
		}
		if err := e.wait(until, need); err != nil {
			if errors.Is(err, io.EOF) {
				err = e.fail("wait for response", io.ErrUnexpectedEOF)
			}
			return err
		}
	}
}

// skipBody reads and drops the body of a response to another request.
func (e *Exchange) skipBody(until time.Time) error {
	for {
		part, err := e.Next(until)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if err := e.headers.skip(len(part)); err != nil {
			return e.fail("skip late response", err)
		}
	}
	if e.body.decoder.untilClose {
		return e.fail("skip late response", errors.Wrap(ErrWrongResponse, "the connection ended with a response to another request"))
	}
	e.skipping = false
	return nil
}

// Next returns the next bytes of the body, valid until the next call. It returns
// io.EOF at the end of a complete body, io.ErrUnexpectedEOF when the server closed the
// connection earlier, and ErrIdle if nothing arrived by until.
func (e *Exchange) Next(until time.Time) ([]byte, error) {
	for {
		part, need, err := e.body.next()
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		if err != nil {
			return nil, e.fail("decode body", err)
		}
		if need == 0 {
			return part, nil
		}
		if err := e.wait(until, need); err != nil {
			return nil, e.classifyEnd(err)
		}
	}
}

// ReadBody returns the rest of the body, at most limit bytes. It returns ErrIdle if the end does not
// arrive by until.
func (e *Exchange) ReadBody(until time.Time, limit int) ([]byte, error) {
	var body []byte
	for {
		part, err := e.Next(until)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if body = append(body, part...); len(body) > limit {
			return nil, e.fail("read body", errors.Wrapf(ErrTooLarge, "body over %d bytes", limit))
		}
	}
}

// Pending reports whether more bytes are buffered than those last returned by Next.
func (e *Exchange) Pending() bool { return e.conn.reader.Buffered() > e.body.pending }

// classifyEnd maps the end of the connection to io.EOF if the body may end there,
// else to io.ErrUnexpectedEOF. It returns other errors unchanged.
func (e *Exchange) classifyEnd(err error) error {
	if errors.Is(err, ErrIdle) {
		return err
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if end := e.body.decoder.errorAtEOF(); end != nil {
		return e.fail("read body", end)
	}
	if err := e.endWrite(); err != nil {
		return e.fail("read body", errors.Wrap(err, "the connection broke while the request was written"))
	}
	return io.EOF
}

// endWrite ends a concurrent write and returns the error of the connection that it has met. The
// kernel reports a reset once: if the write gets it, the read ends as after a close. A reset that
// follows a close is EPIPE to the write.
func (e *Exchange) endWrite() error {
	if e.written == nil {
		return nil
	}
	// The response has ended, so that the rest of the request is of no use.
	_ = e.conn.SetWriteDeadline(time.Now())
	<-e.written
	if errors.Is(e.writeErr, syscall.EPIPE) || errors.Is(e.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return e.writeErr
}

const (
	// lateWait is how late the end of a wait may be noticed: far beyond what timers and the
	// scheduler cost. Later, this process was stopped or had no processor.
	lateWait = 50 * time.Millisecond
	// secondWait follows a wait that ended late. It leaves the other exchanges of a busy
	// process the time to read what has arrived for them, and is short for a caller.
	secondWait = 100 * time.Millisecond
)

// wait returns once n bytes are buffered, or ErrIdle if they don't arrive by until. A wait
// may end late, and before bytes are read that arrived while this process was stopped: then
// it is followed by secondWait.
func (e *Exchange) wait(until time.Time, n int) error {
	if e.conn.reader.Buffered() >= n {
		return nil
	}
	began := time.Now()
	err := e.waitOnce(until, n)
	if errors.Is(err, ErrIdle) && time.Since(until) >= lateWait && time.Since(began) >= lateWait {
		return e.waitOnce(time.Now().Add(secondWait), n)
	}
	return err
}

// waitOnce is wait without secondWait.
func (e *Exchange) waitOnce(until time.Time, n int) error {
	deadline, limited := e.ctx.Deadline()
	if limited = limited && deadline.Before(until); limited {
		until = deadline
	}
	_ = e.conn.SetReadDeadline(until)
	_, err := e.conn.reader.Peek(n)
	if limited && isTimeout(err) {
		// The timer of the context is due. Without this wait, a caller that tries again
		// would keep the only processor from running it.
		<-e.ctx.Done()
	}
	switch {
	case err == nil:
		return nil
	case isTimeout(err) && !e.aborted.Load() && e.ctx.Err() == nil:
		return ErrIdle
	case errors.Is(err, io.EOF) && !e.aborted.Load():
		e.failed = true
		return io.EOF
	}
	return e.fail("wait for response", err)
}

// fail marks the connection as unusable and returns a typed error.
func (e *Exchange) fail(step string, err error) error {
	e.failed = true
	return failure(step, e.request.Address, true, e.cause(err))
}

// cause puts the error of the context first if that has ended, which closes the connection.
func (e *Exchange) cause(err error) error {
	if ended := e.ctx.Err(); ended != nil {
		return errors.CombineErrors(ended, err)
	}
	return err
}

// Close ends the exchange. The connection returns to the pool only if the request
// was written and its response read to the end.
func (e *Exchange) Close() {
	e.body.discardPending()
	stopped := e.stop()
	reusable := !e.failed && stopped && e.body.decoder.done && !e.body.decoder.untilClose && e.isWritten() &&
		!e.Header.ConnectionClose() && e.conn.reader.Buffered() == 0
	if !reusable {
		_ = e.conn.Close()
		return
	}
	e.forwarder.pool.put(e.request.Address, e.conn)
}

// isWritten reports whether the whole request was written.
func (e *Exchange) isWritten() bool {
	if e.written == nil {
		return true
	}
	select {
	case <-e.written:
		return e.writeErr == nil
	default:
		return false
	}
}

// keepAliveMargin is subtracted from the idle timeout that a server announces, so
// that no request is sent on a connection that the server is closing.
const keepAliveMargin = 500 * time.Millisecond

// parseKeepAlive returns the timeout of a Keep-Alive header less keepAliveMargin,
// or 0 if it has none.
func parseKeepAlive(value []byte) time.Duration {
	for part := range bytes.SplitSeq(value, []byte{','}) {
		text, ok := bytes.CutPrefix(bytes.TrimSpace(part), []byte("timeout="))
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(string(text))
		if err != nil || seconds < 0 {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, time.Millisecond)
	}
	return 0
}

// IsTimeout reports whether an exchange failed with a timeout.
func IsTimeout(err error) bool {
	return errs.Is(err, errs.Timeout)
}
