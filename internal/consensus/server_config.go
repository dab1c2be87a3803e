package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/logging"
)

// ServerConfig configures a Server. ID, Store, Transport and StateMachine are
// required.
type ServerConfig struct {
	// ID and Incarnation name this member; they come from storage.Store.Identity.
	ID          api.VoterID
	Incarnation api.Incarnation
	// Address is the peer address that other members reach this one at.
	Address string
	// Bootstrap is the initial membership, all of BootstrapIncarnation. It is
	// used only when the Store is empty and must be the same on each member. The
	// first start needs all of them once: each votes only after the others have
	// answered that they are empty. A member that starts empty without it waits
	// for a leader.
	Bootstrap Membership
	// Store persists the state.
	Store Store
	// Transport sends messages to other members.
	Transport Transport
	// StateMachine is called by one goroutine at a time.
	StateMachine StateMachine
	// Clock is the monotonic clock; nil stands for clock.System.
	Clock clock.Clock
	// Logger receives the log of the server; nil discards it.
	Logger log.Logger
	// Meter receives the duration of each stage of the server's loop; nil exports
	// none.
	Meter metric.Meter
	// TickInterval is the interval of the timer; 0 stands for DefaultTick. The
	// heartbeat and the election timeouts are multiples of it.
	TickInterval time.Duration
	// Ticks replaces the timer of TickInterval, so that tests drive the server.
	Ticks <-chan time.Time
	// Seed seeds the randomised election timeout.
	Seed uint64
	// SnapshotEntries is the number of applied entries after which a snapshot is
	// taken; 0 stands for DefaultSnapshotEntries.
	SnapshotEntries uint64
	// SnapshotBytes is the size of applied commands after which a snapshot is
	// taken; 0 stands for DefaultSnapshotBytes.
	SnapshotBytes int
	// ProposalTimeout bounds the wait of a proposal whose context has no
	// deadline; 0 stands for DefaultProposalTimeout.
	ProposalTimeout time.Duration
	// MaxCommandBytes bounds one command; 0 stands for DefaultMaxCommandBytes.
	MaxCommandBytes int
	// Core overrides limits of the core; its timing and identity are set from
	// the fields above.
	Core CoreConfig
}

// Defaults of a Server.
const (
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 16 << 20
	DefaultProposalTimeout = 5 * time.Second
	DefaultMaxCommandBytes = 1 << 20

	heartbeatTicks   = 2
	electionMinTicks = 12
	electionMaxTicks = 24
	// queueLength bounds the calls that wait for the run goroutine.
	queueLength = 4096
	// inboxLength bounds the received batches that wait for the run goroutine.
	inboxLength = 256
	// batchBytes is the size at which a batch of messages is sent; a single
	// larger message is sent alone.
	batchBytes = 256 << 10
	// maxUncommitted bounds the entries that a leader appends ahead of a quorum.
	maxUncommitted = 8192
	// maxPendingBytes bounds the commands that wait to be applied.
	maxPendingBytes = 16 << 20
	// maxBatch bounds the queued events that are processed before one sync.
	maxBatch = 1024
)

func (c *ServerConfig) setDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = logging.Discard()
	}
	setDefault(&c.TickInterval, DefaultTick)
	setDefault(&c.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.ProposalTimeout, DefaultProposalTimeout)
	setDefault(&c.MaxCommandBytes, DefaultMaxCommandBytes)
	c.Core.ID = c.ID
	c.Core.Incarnation = c.Incarnation
	c.Core.Seed = c.Seed
	c.Core.Nonce = rand.Uint64()
	c.Core.Heartbeat = heartbeatTicks * c.TickInterval
	c.Core.ElectionMin = electionMinTicks * c.TickInterval
	c.Core.ElectionMax = electionMaxTicks * c.TickInterval
}
