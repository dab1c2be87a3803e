package ingress

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/intake"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/placement"
)

// Config holds the dependencies of the request path. Only ApplyView, Meter, Account and
// Refusals are optional.
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
	// ForwardSecret is shared by all entries, which forward requests to each other.
	ForwardSecret []byte
	// ApplyView applies a newer view that was fetched from another entry; nil disables
	// fetching.
	ApplyView func(api.View)
	// Meter creates the instruments; nil disables metrics.
	Meter metric.Meter
	// Account bounds what callers make the process hold, and Refusals counts those that it
	// refuses; nil: an account of its own, and no count.
	Account  *intake.Account
	Refusals *intake.Refusals
}

// Settings are the limits of the request path, as set by the deployment.
type Settings struct {
	// RetryRatio, RetryAllowance and RetryWindow are the retry budget of a service
	// over all entries: retries per request, additional retries, and the window in
	// which both are counted.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ColdStart is the least time for which the servers of a failure domain count as
	// cold after its return; their service may set a longer one.
	ColdStart time.Duration
	// MaxViewAge is the maximum age of control's last confirmation of the view for a
	// request to be refused permanently: an older view may lack its route or key. 0
	// sets no bound.
	MaxViewAge time.Duration
	// MaxHeaderBytes and MaxBodyBytes bound a request, and IdleTimeout the wait for the next
	// one on a connection, unless the publication sets other limits. MaxHeaderBytes is the
	// size of a read buffer, and bounds that of the publication too.
	MaxHeaderBytes int
	MaxBodyBytes   int
	IdleTimeout    time.Duration
	// Memory is that of the host in bytes, 0 if it is large. Answers take a part of it.
	Memory int64
}

// maxAnswers bounds all answers together that are being read or written, in bytes.
func (s Settings) maxAnswers() int64 {
	if s.Memory <= 0 {
		return maxBufferedAnswers
	}
	return min(maxBufferedAnswers, max(s.Memory/answersFraction, maxAnswerBytes))
}

const (
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// maxBufferedAnswers bounds all answers together that are being read or written, so that
	// faulty servers and callers that do not read can't exhaust the memory of a small host.
	maxBufferedAnswers = 64 << 20
	// answersFraction is the reciprocal of the part of the memory that answers may take.
	answersFraction = 4
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// pollInterval is the time between two checks of a silent server.
	pollInterval = 100 * time.Millisecond
	// loadReportInterval is the interval at which due load reports are sent to other entries.
	loadReportInterval = 50 * time.Millisecond
	// maxLoadReportInterval is the longest time between two load reports while work is
	// in progress: a report expires after placement.ReportLifetime.
	maxLoadReportInterval = 500 * time.Millisecond
	// progressInterval is the time between two progress reports to control.
	progressInterval = 400 * time.Millisecond
	// progressTimeout bounds the call that delivers a progress report.
	progressTimeout = time.Second
	// defaultObjective applies to routes without an objective.
	defaultObjective = 300 * time.Millisecond
)

// Timeouts for a server that sends nothing.
const (
	// replicaStallTimeout is the silence after which a replica counts as stalled.
	replicaStallTimeout = placement.StallTimeout
	// firstEventFactor times the expected time is the minimum wait for the first event.
	firstEventFactor = 3
	// requestStallTimeout is the silence on one request after which it counts as
	// stalled, although the replica still sends bytes to other requests.
	requestStallTimeout = 1500 * time.Millisecond
	// abandonTimeout is the silence of a replica after which a request leaves it even
	// if no other replica can take it at once.
	abandonTimeout = time.Second
	// suspectDuration is how long a replica that failed gets no new requests.
	suspectDuration = 1200 * time.Millisecond
	// busySuspectDuration is the same for a server that refused a request, broke off its
	// answer or sent one without a seal.
	busySuspectDuration = 150 * time.Millisecond
)

// Callers of streams give up after the longest of these times without an event.
const (
	minEventTimeout          = 2 * time.Second
	eventTimeoutPerObjective = 4
	eventTimeoutPerGap       = 8
	// eventTimeoutMargin allows for the delivery of an event and for estimation errors.
	eventTimeoutMargin = 300 * time.Millisecond
)

// withTimeout returns a context for background calls.
func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
