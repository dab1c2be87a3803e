package peer

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/panjf2000/gnet/v2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
)

var errNodeClosed = errors.New("node closed")

// Node holds all links of one process. It accepts calls, sends calls and is safe
// for concurrent use.
type Node struct {
	cfg     Config
	logger  log.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	client  *gnet.Client
	stopped chan struct{}
	// stopping is set once the accepting event loop is to end for good.
	stopping atomic.Bool
	counters counters
	workers  chan struct{}
	// accepting is false until Open if the node was started with RefuseUntilOpen.
	accepting atomic.Bool

	// engine is the accepting event loop, which may be started again.
	engineMu sync.Mutex
	engine   gnet.Engine

	handlersMu sync.RWMutex
	handlers   map[api.Method]Handler

	// taskMu orders startTask against Close.
	taskMu sync.Mutex
	closed bool
	tasks  sync.WaitGroup

	mu      sync.Mutex
	address string
	targets map[string]*target
	links   map[*link]struct{}
}

var (
	_ Caller    = (*Node)(nil)
	_ Registrar = (*Node)(nil)
)

// Start listens on cfg.Address. The caller must Close the node.
func Start(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg:      cfg,
		logger:   logging.For(cfg.Logger, "peer"),
		stopped:  make(chan struct{}),
		workers:  make(chan struct{}, cfg.Workers),
		handlers: make(map[api.Method]Handler),
		targets:  make(map[string]*target),
		links:    make(map[*link]struct{}),
	}
	n.accepting.Store(!cfg.RefuseUntilOpen)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.counters.register(cfg.Meter); err != nil {
		n.cancel()
		return nil, errs.Wrap(err, "start peer node", cfg.Address)
	}
	if err := n.listen(); err != nil {
		n.cancel()
		return nil, &errs.Error{Code: errs.Unavailable, Step: "listen for peers", Peer: cfg.Address, Err: err}
	}
	if err := n.startClient(); err != nil {
		n.stopEngine()
		n.cancel()
		return nil, errs.Wrap(err, "start peer client", cfg.Address)
	}
	return n, nil
}

// relistenPause is the time between the end of the accepting event loop and its next start.
const relistenPause = 50 * time.Millisecond

// listen starts the accepting event loop and reads the bound address.
func (n *Node) listen() error {
	booted := make(chan struct{})
	failed := make(chan error, 1)
	go func() {
		defer close(n.stopped)
		n.runAcceptor(n.cfg.Address, booted, failed)
	}()
	select {
	case err := <-failed:
		return errors.Wrap(err, "run event loop")
	case <-booted:
	}
	address, err := boundAddress(n.currentEngine())
	if err != nil {
		n.stopEngine()
		return err
	}
	n.mu.Lock()
	n.address = address
	n.mu.Unlock()
	return nil
}

// runAcceptor runs the accepting event loop until stopEngine. The library ends it, and its
// links, when accept finds no descriptor; then it starts again on the same address.
func (n *Node) runAcceptor(address string, booted chan struct{}, failed chan error) {
	var once sync.Once
	for {
		h := &eventHandler{node: n, booted: func(engine gnet.Engine) {
			n.engineMu.Lock()
			n.engine = engine
			n.engineMu.Unlock()
			once.Do(func() { close(booted) })
		}}
		err := gnet.Run(h, "tcp://"+address, n.options(gnet.WithReuseAddr(true))...)
		select {
		case <-booted:
		default:
			failed <- err
			return
		}
		if n.stopping.Load() {
			return
		}
		level.Error(n.logger).Log("msg", "Listener for links ended, starting it again", "address", n.Addr(), "err", err)
		time.Sleep(relistenPause)
		if n.stopping.Load() {
			return
		}
		address = n.Addr()
	}
}

func (n *Node) currentEngine() gnet.Engine {
	n.engineMu.Lock()
	defer n.engineMu.Unlock()
	return n.engine
}

// boundAddress returns the listener's "ip:port".
func boundAddress(engine gnet.Engine) (string, error) {
	fd, err := engine.Dup()
	if err != nil {
		return "", errors.Wrap(err, "read listener")
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	ln, err := net.FileListener(file)
	if err != nil {
		return "", errors.Wrap(err, "read listener address")
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

func (n *Node) startClient() error {
	client, err := gnet.NewClient(&eventHandler{node: n, dialer: true}, n.options(gnet.WithTicker(true))...)
	if err != nil {
		return errors.Wrap(err, "create event loop")
	}
	if err = client.Start(); err != nil {
		return errors.Wrap(err, "start event loop")
	}
	n.client = client
	return nil
}

func (n *Node) options(extra ...gnet.Option) []gnet.Option {
	return append(extra,
		gnet.WithNumEventLoop(1),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(engineLogger{n.logger}),
	)
}

// Addr returns the "ip:port" that the node listens on.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.address
}

// Stats returns a copy of the counters.
func (n *Node) Stats() Stats { return n.counters.read() }

// Handle sets the handler of a method. Each call runs on its own goroutine.
func (n *Node) Handle(method api.Method, h Handler) {
	n.handlersMu.Lock()
	defer n.handlersMu.Unlock()
	n.handlers[method] = h
}

// Open starts accepting calls on a node that was started with RefuseUntilOpen.
func (n *Node) Open() { n.accepting.Store(true) }

func (n *Node) handler(method api.Method) Handler {
	n.handlersMu.RLock()
	defer n.handlersMu.RUnlock()
	return n.handlers[method]
}

// Call implements Caller.
func (n *Node) Call(ctx context.Context, address string, method api.Method, params, result any) error {
	raw, err := n.encodeParams(address, params)
	if err != nil {
		return err
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, n.cfg.CallTimeout)
		defer cancel()
	}
	l, err := n.target(address).link(ctx)
	if err != nil {
		return notSentError(address, err)
	}
	resp, err := l.call(ctx, method, raw)
	if err != nil {
		return err
	}
	return decodeResult(resp, address, result)
}

// Notify implements Caller. Without an open link it starts a connection attempt
// and fails with errs.Unavailable.
func (n *Node) Notify(address string, method api.Method, params any) error {
	raw, err := n.encodeParams(address, params)
	if err != nil {
		return err
	}
	t := n.target(address)
	l := t.open()
	if l == nil {
		if _, _, err = t.linkOrAttempt(); err == nil {
			err = errors.New("link not open yet")
		}
		return notSentError(address, err)
	}
	frame, err := encodeRequest(0, true, method, raw, 0)
	if err != nil {
		return errs.Wrap(err, "notify", address)
	}
	if err = l.send(frame, nil); err != nil {
		return sendError(address, err)
	}
	return nil
}

// envelopeBytes bounds the bytes that an encoded request adds to its parameters.
const envelopeBytes = 256

func (n *Node) encodeParams(address string, params any) ([]byte, error) {
	raw, err := json.Marshal(params)
	if err != nil {
		return nil, &errs.Error{Code: errs.Invalid, Step: "encode params", Peer: address, Err: err}
	}
	if len(raw)+envelopeBytes > n.cfg.MaxFrame {
		return nil, errs.New(errs.Invalid, "encode params", address, "%d bytes, frame limit %d", len(raw), n.cfg.MaxFrame)
	}
	return raw, nil
}

func (n *Node) target(address string) *target {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.targets[address]
	if !ok {
		t = newTarget(n, address)
		n.targets[address] = t
	}
	// Within the lock, so that tick does not remove a target that a call is about to use.
	t.touch(n.cfg.Clock.Now())
	return t
}

// startTask runs f on a goroutine that Close waits for. It returns false
// once Close was called.
func (n *Node) startTask(f func()) bool {
	n.taskMu.Lock()
	defer n.taskMu.Unlock()
	if n.closed {
		return false
	}
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		f()
	}()
	return true
}

// Close closes every link, cancels the running handlers and waits for them.
func (n *Node) Close() error {
	n.taskMu.Lock()
	if n.closed {
		n.taskMu.Unlock()
		return nil
	}
	n.closed = true
	n.taskMu.Unlock()
	n.cancel()
	// Connection attempts must end before the event loop of the client stops: gnet
	// waits indefinitely for a stopped loop to accept a connection.
	n.stopEngine()
	n.tasks.Wait()
	return errors.Wrap(n.client.Stop(), "stop peer client")
}

// stopEngine stops the accepting event loop and waits for it.
func (n *Node) stopEngine() {
	// The cancelled context skips gnet's own wait, which polls; stopped is closed
	// when the event loop has returned.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.stopping.Store(true)
	for {
		_ = n.currentEngine().Stop(ctx)
		select {
		case <-n.stopped:
			return
		case <-time.After(relistenPause):
			// The event loop may have been started again meanwhile.
		}
	}
}

// tick checks the deadlines of every link and removes unused targets.
func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	links := make([]*link, 0, len(n.links))
	for l := range n.links {
		links = append(links, l)
	}
	for address, t := range n.targets {
		if t.unused(now) {
			delete(n.targets, address)
		}
	}
	n.mu.Unlock()
	for _, l := range links {
		l.checkDeadlines(now)
	}
}

// tickInterval returns the interval at which deadlines are checked.
func (n *Node) tickInterval() time.Duration {
	return max(min(n.cfg.HandshakeTimeout, n.cfg.IdleTimeout)/8, time.Millisecond)
}
