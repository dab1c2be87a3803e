package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
)

// Defaults of Config.
const (
	DefaultMaxBody         = 16 << 20
	DefaultMaxEvent        = 1 << 20
	DefaultDialTimeout     = time.Second
	DefaultResponseTimeout = 2 * time.Minute
	DefaultStallTimeout    = 10 * time.Second
	DefaultCancelTimeout   = 2 * time.Second
	DefaultIdleLifetime    = 4 * time.Second
	DefaultIdlePerServer   = 64
)

// Paths of the engine contract.
const (
	pathCancel = "/v1/cancel"
	pathOrders = "/v1/orders"
)

const (
	contentJSON   = "application/json"
	contentEvents = "text/event-stream"
)

// Config holds the settings of a client. A zero field takes its default.
type Config struct {
	// Token is the bearer token sent to the backend servers.
	Token string
	// MaxBody limits a response that is not a stream, MaxEvent one event of a
	// stream, in bytes.
	MaxBody  int
	MaxEvent int
	// DialTimeout limits one connection attempt.
	DialTimeout time.Duration
	// ResponseTimeout limits a call without a deadline.
	ResponseTimeout time.Duration
	// StallTimeout limits the wait for the next event of a stream.
	StallTimeout time.Duration
	// CancelTimeout limits a call to Cancel.
	CancelTimeout time.Duration
	// IdleLifetime is how long an idle connection is kept. It must be below the
	// idle timeout of the backend servers.
	IdleLifetime time.Duration
	// IdlePerServer limits the idle connections to one backend server.
	IdlePerServer int
	Clock         clock.Clock
	// Source is the local IP of dialed connections; nil: any.
	Source net.IP
	// Dial replaces the dialer of the net package.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBody, DefaultMaxBody)
	setDefault(&c.MaxEvent, DefaultMaxEvent)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.ResponseTimeout, DefaultResponseTimeout)
	setDefault(&c.StallTimeout, DefaultStallTimeout)
	setDefault(&c.CancelTimeout, DefaultCancelTimeout)
	setDefault(&c.IdleLifetime, DefaultIdleLifetime)
	setDefault(&c.IdlePerServer, DefaultIdlePerServer)
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// HTTPClient implements Client and OrderSender over HTTP/1.1. It uses the
// message types of fasthttp but manages its own connections, because fasthttp's
// client may resend a request when an idle connection turns out to be closed.
type HTTPClient struct {
	cfg  Config
	pool *pool
}

var (
	_ Client      = (*HTTPClient)(nil)
	_ OrderSender = (*HTTPClient)(nil)
)

// NewClient returns a client. The caller must Close it.
func NewClient(cfg Config) *HTTPClient {
	cfg = cfg.withDefaults()
	return &HTTPClient{cfg: cfg, pool: newPool(cfg.Clock, cfg.IdleLifetime, cfg.IdlePerServer)}
}

// Close closes the idle connections.
func (c *HTTPClient) Close() { c.pool.close() }

// Do implements Client.
func (c *HTTPClient) Do(ctx context.Context, r Request) (*Response, error) {
	if err := checkRequest(r); err != nil {
		return nil, failure("check request", r.Address, false, err)
	}
	ctx, cancel := c.withDeadline(ctx, r.Deadline)
	call, err := c.connect(ctx, r)
	if err != nil {
		cancel()
		return nil, failure("connect", r.Address, false, err)
	}
	call.cancel = cancel
	response, err := c.exchange(call)
	if err != nil {
		sent := call.conn.sent > 0
		err = call.cause(err)
		call.end(false)
		return nil, failure("exchange", r.Address, sent, err)
	}
	return response, nil
}

func (c *HTTPClient) withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithTimeout(ctx, c.cfg.ResponseTimeout)
	}
	return context.WithDeadline(ctx, deadline)
}

// checkRequest rejects a request that can't be encoded as one request line and
// header.
func checkRequest(r Request) error {
	invalid := func(field string) error {
		return errs.New(errs.Invalid, "check request", r.Address, "%s is malformed or contains forbidden characters", field)
	}
	switch {
	case r.Path == "" || r.Path[0] != '/' || hasControl(r.Path) || strings.Contains(r.Path, " "):
		return invalid("path")
	case r.Method == "" || hasControl(r.Method) || strings.Contains(r.Method, " "):
		return invalid("method")
	case hasControl(r.ContentType):
		return invalid("content type")
	case r.ID == "" || hasControl(string(r.ID)):
		return invalid("request id")
	case hasControl(r.IdempotencyKey):
		return invalid("idempotency key")
	case len(r.Body) > 0 && !mayHaveBody(r.Method):
		return errs.New(errs.Invalid, "check request", r.Address, "method %s must not have a body", r.Method)
	}
	return nil
}

func hasControl(s string) bool {
	return strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f })
}

func mayHaveBody(method string) bool {
	return method != fasthttp.MethodGet && method != fasthttp.MethodHead
}

// connect returns an idle connection or dials. Service calls that are not safe to
// repeat get a new connection: the server may have closed an idle one unnoticed,
// which would leave the outcome of the call unknown.
func (c *HTTPClient) connect(ctx context.Context, r Request) (*inFlight, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if r.Fencing != 0 || !mayHaveBody(r.Method) {
		if idle := c.pool.get(r.Address); idle != nil {
			return newInFlight(ctx, c.pool, idle, r), nil
		}
	}
	fresh, err := c.cfg.dial(ctx, r.Address)
	if err != nil {
		return nil, err
	}
	return newInFlight(ctx, c.pool, fresh, r), nil
}

// inFlight is one request on its connection.
type inFlight struct {
	ctx      context.Context
	cancel   context.CancelFunc
	pool     *pool
	conn     *conn
	request  Request
	deadline time.Time
	stop     func() bool
	aborted  atomic.Bool
	// readDeadline is the current read deadline.
	readDeadline time.Time
}

func newInFlight(ctx context.Context, p *pool, cn *conn, r Request) *inFlight {
	cn.sent = 0
	deadline, _ := ctx.Deadline()
	call := &inFlight{ctx: ctx, pool: p, conn: cn, request: r, deadline: deadline}
	_ = cn.SetDeadline(deadline)
	// Closing the connection when the context ends unblocks reads and writes.
	call.stop = context.AfterFunc(ctx, func() {
		call.aborted.Store(true)
		_ = cn.Close()
	})
	return call
}

// deadlineSlackDivisor sets how late a read deadline may be, as 1/n of the timeout, so
// that it need not be set again for each event.
const deadlineSlackDivisor = 8

// extendReadDeadline limits the next read to d, plus at most an eighth, and to the
// deadline of the call.
func (f *inFlight) extendReadDeadline(d time.Duration) {
	now := time.Now()
	if !f.readDeadline.Before(f.capAtDeadline(now.Add(d))) {
		return
	}
	f.setReadDeadline(now.Add(d + d/deadlineSlackDivisor))
}

// limitRead limits the next read to d and to the deadline of the call.
func (f *inFlight) limitRead(d time.Duration) { f.setReadDeadline(time.Now().Add(d)) }

func (f *inFlight) setReadDeadline(until time.Time) {
	f.readDeadline = f.capAtDeadline(until)
	_ = f.conn.SetReadDeadline(f.readDeadline)
}

// capAtDeadline returns until, or the deadline of the call if that is earlier.
func (f *inFlight) capAtDeadline(until time.Time) time.Time {
	if until.After(f.deadline) {
		return f.deadline
	}
	return until
}

// cause puts the error of the context first if the end of the context closed the
// connection.
func (f *inFlight) cause(err error) error {
	if f.aborted.Load() {
		return errors.CombineErrors(f.ctx.Err(), err)
	}
	return err
}

// end returns the connection to the pool if its response was read completely, else
// closes it.
func (f *inFlight) end(reusable bool) {
	stopped := f.stop()
	if f.cancel != nil {
		f.cancel()
	}
	if !reusable || !stopped || f.conn.reader.Buffered() > 0 {
		_ = f.conn.Close()
		return
	}
	f.pool.put(f.request.Address, f.conn)
}

// exchange writes the request and reads the response, or only its header when
// it is a stream.
func (c *HTTPClient) exchange(call *inFlight) (*Response, error) {
	if err := c.write(call); err != nil {
		return nil, err
	}
	var header fasthttp.ResponseHeader
	if err := call.readHeader(&header); err != nil {
		return nil, err
	}
	if echoed := string(header.Peek(api.HeaderRequest)); echoed != string(call.request.ID) {
		return nil, errors.Wrapf(ErrWrongResponse, "echoed request id %q", echoed)
	}
	body := &blockingBody{bodyReader: bodyReader{
		src: call.conn.reader, decoder: newResponseDecoder(&header, call.request.Method == fasthttp.MethodHead),
	}}
	out := &Response{Status: header.StatusCode(), ContentType: string(header.ContentType())}
	if strings.HasPrefix(out.ContentType, contentEvents) {
		out.Stream = newEventStream(call, body, !header.ConnectionClose(), c.cfg)
		return out, nil
	}
	var err error
	if out.Body, err = readBody(body, header.ContentLength(), c.cfg.MaxBody); err != nil {
		return nil, err
	}
	call.end(!header.ConnectionClose())
	return out, nil
}

// readHeader reads the header of the response.
func (f *inFlight) readHeader(h *fasthttp.ResponseHeader) error {
	const step = "read header"
	headers := headerReader{src: f.conn.reader}
	for {
		need, err := headers.next(h)
		switch {
		case err != nil:
			// Something else may listen on the address.
			return &errs.Error{Code: errs.Unavailable, Step: step, Peer: f.request.Address, Err: err}
		case need == 0:
			return nil
		}
		if _, err := f.conn.reader.Peek(need); err != nil {
			return errors.Wrap(err, step)
		}
	}
}

func (c *HTTPClient) write(call *inFlight) error {
	if call.request.BeforeWrite != nil {
		if err := call.request.BeforeWrite(); err != nil {
			return err
		}
	}
	if err := call.ctx.Err(); err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.setHeaderAndBody(req, call.request, call.deadline)
	w := bufio.NewWriter(call.conn)
	if err := req.Write(w); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(w.Flush(), "write request")
}

// setHeaderAndBody fills req from r.
func (c *HTTPClient) setHeaderAndBody(req *fasthttp.Request, r Request, deadline time.Time) {
	h := &req.Header
	h.SetMethod(r.Method)
	h.SetRequestURI(r.Path)
	h.SetHost(r.Address)
	h.Set(api.HeaderRequest, string(r.ID))
	if millis := time.Until(deadline).Milliseconds(); millis > 0 {
		h.Set(api.HeaderDeadlineMillis, strconv.FormatInt(millis, 10))
	}
	if c.cfg.Token != "" {
		h.Set(fasthttp.HeaderAuthorization, "Bearer "+c.cfg.Token)
	}
	if r.Fencing != 0 {
		h.Set(api.HeaderFencing, strconv.FormatUint(uint64(r.Fencing), 10))
		h.Set(api.HeaderPriority, strconv.Itoa(r.Priority))
	}
	if r.Offset > 0 {
		h.Set(api.HeaderOffset, strconv.Itoa(r.Offset))
	}
	if r.IdempotencyKey != "" {
		h.Set(api.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.ContentType != "" {
		h.SetContentType(r.ContentType)
	}
	req.SetBodyRaw(r.Body)
}

// readBody reads a complete body of a length, negative without one. A body that ends with the
// connection is rejected, since a broken connection would look like its end.
func readBody(body *blockingBody, length, limit int) ([]byte, error) {
	switch {
	case body.decoder.untilClose:
		return nil, errors.Wrap(ErrMalformed, "body without a length")
	case !body.decoder.done && length > limit:
		return nil, errors.Wrapf(ErrTooLarge, "body of %d bytes, limit %d", length, limit)
	}
	out, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if len(out) > limit {
		return nil, errors.Wrapf(ErrTooLarge, "body over %d bytes", limit)
	}
	return out, nil
}

// cancelRequest is the body of a cancel call.
type cancelRequest struct {
	Request api.RequestID `json:"request"`
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, address string, id api.RequestID) error {
	body, err := json.Marshal(cancelRequest{Request: id})
	if err != nil {
		return failure("cancel", address, false, err)
	}
	response, err := c.Do(ctx, Request{
		ID:          "cancel-" + id,
		Address:     address,
		Method:      fasthttp.MethodPost,
		Path:        pathCancel,
		ContentType: contentJSON,
		Body:        body,
		Deadline:    time.Now().Add(c.cfg.CancelTimeout),
	})
	if err != nil {
		return errs.Wrap(err, "cancel", address)
	}
	return checkStatus("cancel", address, response)
}

// checkStatus turns a response other than 200 into an error.
func checkStatus(step, address string, response *Response) error {
	if response.Stream != nil {
		_ = response.Stream.Close()
		return failure(step, address, true, errors.Wrap(ErrMalformed, "unexpected stream"))
	}
	switch response.Status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusUnauthorized, fasthttp.StatusForbidden:
		return errs.New(errs.Denied, step, address, "status %d", response.Status)
	case fasthttp.StatusNotFound:
		return errs.New(errs.NotFound, step, address, "status %d", response.Status)
	default:
		return errs.New(errs.Internal, step, address, "status %d", response.Status)
	}
}
