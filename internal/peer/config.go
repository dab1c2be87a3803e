package peer

import (
	"net"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
)

// Defaults of Config.
const (
	DefaultMaxFrame         = 4 << 20
	DefaultQueueBytes       = 16 << 20
	DefaultInFlight         = 1024
	DefaultWorkers          = 4096
	DefaultCallTimeout      = 5 * time.Second
	DefaultDialTimeout      = 2 * time.Second
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultIdleTimeout      = 15 * time.Second
	DefaultBackoffMin       = 20 * time.Millisecond
	DefaultBackoffMax       = time.Second
	DefaultMaxPending       = 512
)

// minSecret is the shortest shared secret, in bytes.
const minSecret = 16

// Config configures a Node. Zero values mean the defaults.
type Config struct {
	// Address is the "ip:port" to listen on; with port 0 the kernel chooses one.
	Address string
	// Source is the local IP of dialed links; if empty, the kernel chooses it.
	Source string
	// Secret is shared by all processes, at least 16 bytes.
	Secret []byte
	// MaxFrame bounds one message, in bytes.
	MaxFrame int
	// QueueBytes bounds the bytes queued for sending on one link.
	QueueBytes int
	// InFlight bounds the calls in progress on one link, on either side.
	InFlight int
	// Workers bounds the handlers that run concurrently on this node.
	Workers int
	// CallTimeout applies to calls whose context has no deadline.
	CallTimeout time.Duration
	// DialTimeout bounds one connection attempt, without the handshake.
	DialTimeout time.Duration
	// RefuseUntilOpen rejects every call with errs.Unavailable until Open, so that a
	// process can obtain its address before it registers its handlers.
	RefuseUntilOpen bool
	// HandshakeTimeout bounds the handshake on either side.
	HandshakeTimeout time.Duration
	// MaxPending bounds the accepted connections whose handshake is not complete. Beyond it
	// the oldest of them is closed for a new one.
	MaxPending int
	// IdleTimeout is the time without received data after which a link is closed.
	// A keep-alive call is sent after a third of it without reads or without writes.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax bound the pause between connection attempts.
	BackoffMin time.Duration
	BackoffMax time.Duration
	Clock      clock.Clock
	Logger     log.Logger
	// Meter receives the counters of Stats; nil exports none.
	Meter metric.Meter
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxFrame, DefaultMaxFrame)
	setDefault(&c.QueueBytes, max(DefaultQueueBytes, c.MaxFrame+frameHeader))
	setDefault(&c.InFlight, DefaultInFlight)
	setDefault(&c.Workers, DefaultWorkers)
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.BackoffMin, DefaultBackoffMin)
	setDefault(&c.BackoffMax, DefaultBackoffMax)
	setDefault(&c.MaxPending, DefaultMaxPending)
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = logging.Discard()
	}
	if c.Meter == nil {
		c.Meter = noop.NewMeterProvider().Meter("peer")
	}
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func (c Config) validate() error {
	const step = "check peer settings"
	if c.Source != "" && net.ParseIP(c.Source) == nil {
		return errs.New(errs.Invalid, step, "", "source %q is not an IP address", c.Source)
	}
	if len(c.Secret) < minSecret {
		return errs.New(errs.Invalid, step, "", "secret has %d bytes, want at least %d", len(c.Secret), minSecret)
	}
	if c.MaxFrame < handshakeFrame {
		return errs.New(errs.Invalid, step, "", "frame limit is %d bytes, want at least %d", c.MaxFrame, handshakeFrame)
	}
	if c.QueueBytes < c.MaxFrame+frameHeader {
		return errs.New(errs.Invalid, step, "", "send queue of %d bytes is too small for a frame of %d bytes", c.QueueBytes, c.MaxFrame)
	}
	return nil
}
