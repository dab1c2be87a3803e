package ingress

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/placement"
)

// Config is what the request path needs. Every field but Adopt and Meter is required.
type Config struct {
	// Self is the entry that this process runs.
	Self     api.EntryInfo
	State    *entry.State
	Control  entry.ControlCaller
	Peers    peer.Caller
	Backends *backend.Forwarder
	Dialect  Dialect
	Logger   log.Logger
	Settings Settings
	// Adopt applies the view of another entry that is newer than the own one; nil drops
	// it.
	Adopt func(api.View)
	// Meter creates the instruments; nil measures nothing.
	Meter metric.Meter
}

// Settings bound what the request path does. They come from the deployment.
type Settings struct {
	// RetryRatio, RetryAllowance and RetryWindow are the retry budget of a service
	// over all entries: repeats for each request, further repeats, and the span in
	// which both are counted.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ColdStart is how long the servers of a failure domain count as cold after its
	// return, if their service names no time.
	ColdStart time.Duration
	// KnownFor is how old the last word of control may be for a request to be refused
	// for good: by an older view its route or its key may only be missing here. 0 sets
	// no bound.
	KnownFor time.Duration
	// MaxHeaderBytes and MaxBodyBytes bound a request, until a publication says
	// otherwise; IdleTimeout the wait for the next one on a connection.
	MaxHeaderBytes int
	MaxBodyBytes   int
	IdleTimeout    time.Duration
}

const (
	// maxAnswer bounds an answer that is not a stream, in bytes.
	maxAnswer = 16 << 20
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// waitSlice is the time between two looks at a silent server.
	waitSlice = 100 * time.Millisecond
	// shareInterval is the time between two load reports to other entries.
	shareInterval = 50 * time.Millisecond
	// shareRefresh is the longest time between two load reports while work is in
	// progress: they count for a bounded time.
	shareRefresh = 500 * time.Millisecond
	// progressInterval is the time between two progress reports to control.
	progressInterval = 400 * time.Millisecond
	// progressTimeout bounds the delivery of one.
	progressTimeout = time.Second
	// defaultObjective stands for the objective of a route that names none.
	defaultObjective = 300 * time.Millisecond
)

// Patience with a silent server, in the order in which it ends.
const (
	// targetSilence is when a replica counts as standing still.
	targetSilence = placement.StandStill
	// firstEventFactor times the expected time is the least wait for the first event.
	firstEventFactor = 3
	// ownSilence is the time without a byte on one request, although others go on.
	ownSilence = 1500 * time.Millisecond
	// hopelessSilence is the silence of a replica after which a request leaves it even
	// if it has to wait for a place elsewhere.
	hopelessSilence = time.Second
	// suspicion is how long nothing new is placed on a replica that stands still.
	suspicion = 1200 * time.Millisecond
	// busySuspicion is the same for a server that refused a request.
	busySuspicion = 150 * time.Millisecond
)

// Patience of the callers of streams, who give up without an event for the longest
// of these.
const (
	minPatience          = 2 * time.Second
	patiencePerObjective = 4
	patiencePerGap       = 8
	// patienceMargin is left for the way of an event, and for what estimates miss.
	patienceMargin = 300 * time.Millisecond
)

// withTimeout is a context for calls in the background.
func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
