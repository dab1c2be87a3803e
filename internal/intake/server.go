package intake

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Errors of a request that could not be read. It has not been handled.
var (
	ErrHeadTooLarge = errors.New("the head of the request exceeds the limit")
	ErrBodyTooLarge = errors.New("the body of the request exceeds the limit")
	ErrTimeout      = errors.New("the request took too long to arrive")
	ErrOverloaded   = errors.New("the process has no memory or connection left for this request")
	ErrMalformed    = errors.New("the request could not be read")
)

// Limits bound one request. Sizes are in bytes.
type Limits struct {
	// MaxHead bounds the request line and the header lines. It is at most
	// Config.MaxHead.
	MaxHead int
	MaxBody int
	// HeadTimeout bounds the time from the first byte of a request to the end of its head,
	// BodyTimeout that to the end of its body, if no earlier deadline is known.
	HeadTimeout time.Duration
	BodyTimeout time.Duration
	// IdleTimeout bounds the wait for the first byte of a request.
	IdleTimeout time.Duration
}

// Defaults of Limits and Config.
const (
	DefaultMaxHead     = 16 << 10
	DefaultMaxBody     = 4 << 20
	DefaultHeadTimeout = 10 * time.Second
	DefaultBodyTimeout = 30 * time.Second
	DefaultIdleTimeout = time.Minute
	// DefaultWriteTimeout is that of Config.WriteTimeout.
	DefaultWriteTimeout = 10 * time.Second
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxHead, DefaultMaxHead)
	setDefault(&l.MaxBody, DefaultMaxBody)
	setDefault(&l.HeadTimeout, DefaultHeadTimeout)
	setDefault(&l.BodyTimeout, DefaultBodyTimeout)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	return l
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Config configures a server. Only Handler is required.
type Config struct {
	// Name names the endpoint in logs.
	Name string
	// Handler serves the requests. It reads their bodies with ReadBody, or is wrapped by
	// WithBody.
	Handler fasthttp.RequestHandler
	// Refuse answers a request that could not be read.
	Refuse func(ctx *fasthttp.RequestCtx, err error)
	// Account is that of the process; nil: one that only this server uses.
	Account *Account
	// MaxHead bounds the heads that Limits allows, in bytes.
	MaxHead int
	// Limits returns the limits in force; nil: the defaults.
	Limits func() Limits
	// Arrived is called with the first bytes of a request, ConnState when a connection has
	// changed its state.
	Arrived   func(net.Conn)
	ConnState func(net.Conn, fasthttp.ConnState)
	// ServerName is the value of the header Server, empty for none.
	ServerName string
	// DefaultHeaders adds the headers Date and Content-Type to answers without them.
	DefaultHeaders bool
	// MaxConns bounds the connections of this server; 0: only the account bounds them.
	MaxConns int
	// WriteTimeout bounds the wait for a caller that does not read its answer; 0:
	// DefaultWriteTimeout.
	WriteTimeout time.Duration
	Refusals     *Refusals
	Logger       log.Logger
}

// Server is an HTTP server whose connections are charged to an account.
type Server struct {
	cfg     Config
	account *Account
	// http are servers of the HTTP library that differ in their read buffers, the smaller
	// one first. A connection gets the smallest one that takes the largest head allowed.
	http []*fasthttp.Server

	mu       sync.Mutex
	loggedAt time.Time
	unlogged int
}

// NewServer returns a server.
func NewServer(cfg Config) *Server {
	setDefault(&cfg.MaxHead, DefaultMaxHead)
	setDefault(&cfg.WriteTimeout, DefaultWriteTimeout)
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	if cfg.Refuse == nil {
		cfg.Refuse = RefusePlain
	}
	s := &Server{cfg: cfg, account: cfg.Account}
	if s.account == nil {
		s.account = NewAccount(defaultMemory, defaultDescriptors)
	}
	for _, size := range []int{min(cfg.MaxHead, usualBuffer), cfg.MaxHead} {
		if len(s.http) == 0 || size > s.http[0].ReadBufferSize {
			s.http = append(s.http, s.newHTTP(size))
		}
	}
	return s
}

// usualBuffer is the size of a read buffer in bytes if no larger head is allowed.
const usualBuffer = 16 << 10

// newHTTP returns a server with read buffers of this size in bytes.
func (s *Server) newHTTP(readBuffer int) *fasthttp.Server {
	cfg := s.cfg
	return &fasthttp.Server{
		Name:                         cfg.ServerName,
		Handler:                      s.handle,
		ErrorHandler:                 s.refuseUnread,
		HeaderReceived:               s.headReceived,
		ConnState:                    s.observe,
		ReadBufferSize:               readBuffer,
		StreamRequestBody:            true,
		MaxRequestBodySize:           prefetched,
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		Concurrency:                  cfg.MaxConns,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                !cfg.DefaultHeaders,
		NoDefaultContentType:         !cfg.DefaultHeaders,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
}

const (
	// prefetched is the part of a body that the HTTP library reads before it calls the
	// handler, in bytes.
	prefetched = 1
	// Size of an account that a single server uses.
	defaultMemory      = 1 << 30
	defaultDescriptors = 4096
)

// discardLogger drops the HTTP library's messages about broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve serves the connections of a listener until it is closed.
func (s *Server) Serve(ln net.Listener) error {
	accepting := &listener{Listener: ln, server: s}
	if len(s.http) == 1 {
		return s.http[0].Serve(accepting)
	}
	return accepting.distribute(s.http)
}

// ShutdownWithContext closes the listeners and waits until no connection has a request in
// progress, or ctx ends.
func (s *Server) ShutdownWithContext(ctx context.Context) error {
	var group errgroup.Group
	for _, h := range s.http {
		group.Go(func() error { return h.ShutdownWithContext(ctx) })
	}
	return group.Wait()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	open := 0
	for _, h := range s.http {
		open += int(h.GetOpenConnectionsCount())
	}
	return open
}

// readBuffer returns the size of the smallest read buffer that takes the largest head that is
// allowed now, in bytes.
func (s *Server) readBuffer() int {
	largest := s.limits().MaxHead
	size := 0
	for _, h := range s.http {
		if size < largest {
			size = h.ReadBufferSize
		}
	}
	return size
}

func (s *Server) limits() Limits {
	l := Limits{MaxHead: s.cfg.MaxHead}
	if s.cfg.Limits != nil {
		l = s.cfg.Limits()
	}
	l = l.withDefaults()
	l.MaxHead = min(l.MaxHead, s.cfg.MaxHead)
	return l
}

// headReceived sets the time for the first byte of the body, which the HTTP library reads
// before it calls the handler.
func (s *Server) headReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: s.limits().BodyTimeout}
}

// handle runs the handler once the head of a request has been read.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*Conn)
	if !ok {
		s.cfg.Handler(ctx)
		return
	}
	if err := c.begin(ctx); err != nil {
		s.refuse(ctx, err)
	} else {
		s.cfg.Handler(ctx)
	}
	c.finish(ctx)
}

// refuseUnread answers a request that the HTTP library could not read.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	c, _ := ctx.Conn().(*Conn)
	switch {
	case errors.As(err, &small) && c != nil && c.buffer < int64(s.limits().MaxHead):
		// The limit has been raised since the connection was accepted: the next one takes
		// larger heads.
		err = ErrOverloaded
	case errors.As(err, &small):
		err = ErrHeadTooLarge
	case errors.Is(err, ErrTimeout), errors.Is(err, ErrOverloaded):
	default:
		err = errors.Mark(err, ErrMalformed)
	}
	s.refuse(ctx, err)
	if c != nil {
		c.finish(ctx)
	}
}

// refuse answers a request that could not be read and closes its connection.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, err error) {
	s.refused(err)
	s.cfg.Refuse(ctx, err)
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*Conn); ok {
		c.lingers.Store(true)
	}
}

// observe ends a request whose answer has been written.
func (s *Server) observe(conn net.Conn, state fasthttp.ConnState) {
	if c, ok := conn.(*Conn); ok && state == fasthttp.StateIdle {
		c.answered()
	}
	if s.cfg.ConnState != nil {
		s.cfg.ConnState(conn, state)
	}
}

// begin checks the head of a request that has been read.
func (c *Conn) begin(ctx *fasthttp.RequestCtx) error {
	h := &ctx.Request.Header
	head := len(h.RawHeaders()) + len(h.Method()) + len(h.RequestURI()) + len("  HTTP/1.1\r\n")
	if head > c.server.limits().MaxHead {
		return ErrHeadTooLarge
	}
	next := stateBusy
	if ctx.RequestBodyStream() != nil {
		next = stateBody
	}
	if err := c.server.account.enter(c, next); err != nil {
		return err
	}
	c.reading = next
	return nil
}

// finish ends the handling of a request before its answer is written.
func (c *Conn) finish(ctx *fasthttp.RequestCtx) {
	if c.costs > smallExtra {
		// The HTTP library keeps the header lines of the largest request.
		ctx.Request.Header = fasthttp.RequestHeader{}
	}
	if c.reading == stateBody {
		// The HTTP library drops the rest of a small body, and closes the connection of a
		// large one.
		c.lingers.Store(true)
		_ = c.setDeadline(time.Now().Add(lingerTimeout))
	}
}

// Body sizes while a body is read, in bytes.
const (
	firstBody = 4 << 10
	// doubledBody is the size up to which a buffer is doubled; later it grows by half.
	doubledBody = 1 << 20
)

// ReadBody reads the body of a request, at most limit bytes, until the deadline, and makes it
// the body of ctx.Request. A limit of 0 is that of the server. It charges for what has
// arrived. An error other than a closed connection is one of this package.
func ReadBody(ctx *fasthttp.RequestCtx, limit int, deadline time.Time) error {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	c, _ := ctx.Conn().(*Conn)
	if limit <= 0 {
		limit = DefaultMaxBody
		if c != nil {
			limit = c.server.limits().MaxBody
		}
	}
	length := ctx.Request.Header.ContentLength()
	if length > limit {
		return ErrBodyTooLarge
	}
	if c != nil && int64(length) > c.server.account.largeLimit() {
		// Another process may have the memory.
		return ErrOverloaded
	}
	body, err := readBody(c, stream, length, limit, deadline)
	if err != nil {
		return err
	}
	if c != nil {
		if err := c.server.account.enter(c, stateBusy); err != nil {
			return err
		}
		c.reading = stateBusy
	}
	ctx.Request.SetBodyRaw(body)
	return nil
}

// readBody reads a body of this length, or of an unknown one if it is negative.
func readBody(c *Conn, stream io.Reader, length, limit int, deadline time.Time) ([]byte, error) {
	if c != nil {
		c.expectBody(length)
		if err := c.setDeadline(deadline); err != nil {
			return nil, err
		}
	}
	most := limit + 1
	if length >= 0 {
		most = length
	}
	var body []byte
	for {
		if len(body) == cap(body) && len(body) < most {
			grown, err := grow(c, body, most)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		if len(body) > limit {
			return nil, ErrBodyTooLarge
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && (length < 0 || len(body) == length) {
			return body, nil
		}
		if err != nil {
			return nil, unreadBody(err)
		}
	}
}

// grow returns a larger buffer for a body of at most most bytes.
func grow(c *Conn, body []byte, most int) ([]byte, error) {
	size := max(2*cap(body), firstBody)
	if cap(body) >= doubledBody {
		size = cap(body) + cap(body)/2
	}
	size = min(size, most)
	if c != nil {
		if err := c.server.account.charge(c, int64(size)); err != nil {
			return nil, err
		}
		defer c.server.account.refund(c, int64(cap(body)))
	}
	return append(make([]byte, 0, size), body...), nil
}

// unreadBody returns the error for a body that could not be read.
func unreadBody(err error) error {
	var network net.Error
	switch {
	case errors.Is(err, ErrTimeout), errors.Is(err, ErrOverloaded):
		return err
	case isTimeout(err):
		return ErrTimeout
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errors.Mark(err, errClosed)
	}
	return errors.Mark(err, ErrMalformed)
}

// errClosed marks the error of a connection that its caller has closed.
var errClosed = errors.New("the caller closed its connection")

// IsClosed reports whether a body could not be read because its caller closed the
// connection.
func IsClosed(err error) bool { return errors.Is(err, errClosed) }

// WithBody returns a handler that runs next once the body of a request has been read, at
// most limit bytes.
func WithBody(limit func(*fasthttp.RequestCtx) int, timeout time.Duration, refuse func(*fasthttp.RequestCtx, error), next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if err := ReadBody(ctx, limit(ctx), time.Now().Add(timeout)); err != nil {
			refuse(ctx, err)
			ctx.SetConnectionClose()
			Abandon(ctx, err)
			return
		}
		next(ctx)
	}
}

// AtMost returns a limit for WithBody that is the same for all requests, in bytes.
func AtMost(limit int) func(*fasthttp.RequestCtx) int {
	return func(*fasthttp.RequestCtx) int { return limit }
}

// Hold charges for n bytes that the handling of a request takes until its answer has been
// written. It returns ErrBodyTooLarge for more than the account could ever hold.
func Hold(ctx *fasthttp.RequestCtx, n int64) error {
	c, ok := ctx.Conn().(*Conn)
	if !ok {
		return nil
	}
	if n > c.server.account.largeLimit() {
		return ErrBodyTooLarge
	}
	return c.server.account.charge(c, n)
}

// Abandon records that the body of a request could not be read. The answer must close the
// connection.
func Abandon(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*Conn); ok {
		c.server.refused(err)
		c.lingers.Store(!IsClosed(err))
	}
}
