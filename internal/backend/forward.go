package backend

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/errs"
)

// ErrIdle tells that nothing arrived until the moment that the caller gave. The
// exchange goes on: wait again, or close it.
var ErrIdle = errors.New("nothing arrived in time")

// Forward is one request that passes through as the caller sent it. Head holds the
// request line and the header lines without the empty line behind them.
type Forward struct {
	Address string
	Head    []byte
	Body    []byte
	// Fresh asks for a new connection: an idle one may have been closed unseen, so
	// that the outcome of the request would be unknown.
	Fresh bool
	// HeadOnly is set for methods whose answers have no body.
	HeadOnly bool
	// Belongs reports whether an answer is that of this request. An answer of an
	// earlier request that arrives late is skipped.
	Belongs func(*fasthttp.ResponseHeader) bool
}

// Forwarder sends requests that pass through unchanged. It is safe for concurrent
// use.
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

// Dialed returns the number of connections opened so far.
func (f *Forwarder) Dialed() int64 { return f.dialed.Load() }

// Exchange is one forwarded request and its answer. It is used by one goroutine;
// the end of its context closes the connection.
type Exchange struct {
	forwarder *Forwarder
	request   Forward
	conn      *conn
	ctx       context.Context
	stop      func() bool
	aborted   atomic.Bool
	reused    bool

	// Header is the head of the answer, once AwaitHead has returned nil.
	Header fasthttp.ResponseHeader
	body   bodyDecoder
	// pending is the number of buffered bytes handed out by Next.
	pending int
	// written receives the outcome of a write that goes on beside the reads; nil
	// once the request is written.
	written chan error
	failed  bool
}

// maxInlineWrite is the largest request that is written before the answer is read.
// A server may answer a larger one early and leave the rest unread for a while.
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
			return &Exchange{forwarder: f, request: request, conn: idle, reused: true}, nil
		}
	}
	f.dialed.Add(1)
	fresh, err := dial(ctx, request.Address, f.cfg.DialTimeout)
	if err != nil {
		return nil, err
	}
	return &Exchange{forwarder: f, request: request, conn: fresh}, nil
}

// write sends the request, a large one beside the reads.
func (e *Exchange) write() error {
	message := make([]byte, 0, len(e.request.Head)+2+len(e.request.Body))
	message = append(message, e.request.Head...)
	message = append(message, "\r\n"...)
	message = append(message, e.request.Body...)
	if len(message) <= maxInlineWrite {
		_, err := e.conn.Write(message)
		return err
	}
	e.written = make(chan error, 1)
	go func() {
		_, err := e.conn.Write(message)
		e.written <- err
	}()
	return nil
}

// Reused reports whether the request went over a connection that was idle before.
func (e *Exchange) Reused() bool { return e.reused }

// AwaitHead reads the head of the answer. It returns ErrIdle if none has begun to
// arrive until a moment.
func (e *Exchange) AwaitHead(until time.Time) error {
	for {
		if err := e.wait(until, 1); err != nil {
			if errors.Is(err, io.EOF) {
				err = e.fail("wait for the answer", io.ErrUnexpectedEOF)
			}
			return err
		}
		if err := e.readHead(); err != nil {
			return e.fail("read head", err)
		}
		status := e.Header.StatusCode()
		if status >= fasthttp.StatusContinue && status < fasthttp.StatusOK {
			continue
		}
		e.body = newBodyDecoder(e.Header.ContentLength())
		if e.request.HeadOnly || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
			e.body = bodyDecoder{done: true}
		}
		if e.request.Belongs == nil || e.request.Belongs(&e.Header) {
			e.conn.keep = keepAlive(e.Header.Peek(fasthttp.HeaderKeepAlive))
			return nil
		}
		if err := e.skipBody(); err != nil {
			return e.fail("skip a late answer", err)
		}
	}
}

func (e *Exchange) readHead() error {
	if deadline, ok := e.ctx.Deadline(); ok {
		_ = e.conn.SetReadDeadline(deadline)
	}
	e.Header.Reset()
	return e.Header.Read(e.conn.reader)
}

// maxSkipped bounds the body of a late answer that is skipped, in bytes.
const maxSkipped = 1 << 20

// skipBody reads the body of an answer that belongs to another request.
func (e *Exchange) skipBody() error {
	until, ok := e.ctx.Deadline()
	if !ok {
		until = time.Now().Add(e.forwarder.cfg.AnswerTimeout)
	}
	skipped := 0
	for {
		part, err := e.Next(until)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if skipped += len(part); skipped > maxSkipped {
			return errors.Wrap(ErrWrongAnswer, "answer of another request is too large to skip")
		}
	}
	if e.body.toClose {
		return errors.Wrap(ErrWrongAnswer, "the connection ended with an answer of another request")
	}
	return nil
}

// Next returns the next bytes of the body, valid until the call after. It returns
// io.EOF at the end of a whole body, io.ErrUnexpectedEOF when the server ended the
// connection before, and ErrIdle if nothing arrived until a moment.
func (e *Exchange) Next(until time.Time) ([]byte, error) {
	e.discard()
	need := 1
	for {
		if e.body.done {
			return nil, io.EOF
		}
		buffered, _ := e.conn.reader.Peek(e.conn.reader.Buffered())
		body, consumed, err := e.body.decode(buffered)
		if err != nil {
			return nil, e.fail("decode body", err)
		}
		if len(body) > 0 {
			e.pending = consumed
			return body, nil
		}
		_, _ = e.conn.reader.Discard(consumed)
		if consumed > 0 {
			need = 1
			if e.body.done || e.conn.reader.Buffered() > 0 {
				continue
			}
		} else if n := e.conn.reader.Buffered(); n > 0 {
			need = n + 1
		}
		if err := e.wait(until, need); err != nil {
			return nil, e.ended(err)
		}
	}
}

// Pending returns the bytes of the body that can be read without waiting, as far
// as the present piece is concerned.
func (e *Exchange) Pending() bool { return e.conn.reader.Buffered() > e.pending }

func (e *Exchange) discard() {
	_, _ = e.conn.reader.Discard(e.pending)
	e.pending = 0
}

// ended judges the end of the connection within the body.
func (e *Exchange) ended(err error) error {
	if errors.Is(err, ErrIdle) {
		return err
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	if end := e.body.atEnd(); end != nil {
		return e.fail("read body", end)
	}
	return io.EOF
}

// wait returns once n bytes are buffered, or with ErrIdle at a moment.
func (e *Exchange) wait(until time.Time, n int) error {
	if e.conn.reader.Buffered() >= n {
		return nil
	}
	if deadline, ok := e.ctx.Deadline(); ok && deadline.Before(until) {
		until = deadline
	}
	_ = e.conn.SetReadDeadline(until)
	_, err := e.conn.reader.Peek(n)
	switch {
	case err == nil:
		return nil
	case isTimeout(err) && !e.aborted.Load() && e.ctx.Err() == nil:
		return ErrIdle
	case errors.Is(err, io.EOF) && !e.aborted.Load():
		e.failed = true
		return io.EOF
	}
	return e.fail("wait for the answer", err)
}

// fail marks the connection as unusable and returns a typed error.
func (e *Exchange) fail(step string, err error) error {
	e.failed = true
	return failure(step, e.request.Address, true, e.cause(err))
}

// cause replaces the error of a closed connection by the reason of the close.
func (e *Exchange) cause(err error) error {
	if e.aborted.Load() {
		return errors.CombineErrors(e.ctx.Err(), err)
	}
	return err
}

// Close ends the exchange. The connection is kept for another request only if the
// request was written and its answer read to the end.
func (e *Exchange) Close() {
	e.discard()
	untouched := e.stop()
	reusable := !e.failed && untouched && e.body.done && !e.body.toClose && e.isWritten() &&
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
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}

// keepAliveMargin is taken off what a server states, so that a request never meets
// the close of its connection.
const keepAliveMargin = 500 * time.Millisecond

// keepAlive reads the timeout of a Keep-Alive header, 0 if it has none.
func keepAlive(value []byte) time.Duration {
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

// IsTimeout reports whether an exchange ended because its time was over.
func IsTimeout(err error) bool {
	return errs.Is(err, errs.Timeout)
}
