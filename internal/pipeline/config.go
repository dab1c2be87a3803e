package pipeline

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/intake"
	"github.com/crocusway/crocusway/internal/shard"
)

// State is the soft state of the entry. It is implemented by entry.State.
type State interface {
	Snapshot() *entry.Snapshot
	// MayWork reports whether new work may be accepted.
	MayWork() bool
	// HasLease reports whether the work lease is valid, also while leaving.
	HasLease() bool
	Leaving() bool
	// DomainChanging reports whether a failure domain is leaving or returning.
	DomainChanging() bool
}

// Granter admits requests to replicas. It is implemented by shard.Client.
type Granter interface {
	Acquire(ctx context.Context, r shard.Request) (api.Grant, error)
	// Valid reports whether the grant may be used now.
	Valid(g api.Grant) bool
	// Ended is closed when the grant may no longer be used.
	Ended(g api.Grant) <-chan struct{}
	Settle(g api.Grant, r shard.Result)
	// Abandon leaves a grant to expire, because its work may still run.
	Abandon(g api.Grant)
}

// Config holds the dependencies and settings of the request path.
type Config struct {
	// Self is the entry that this process runs.
	Self     api.EntryInfo
	State    State
	Control  entry.ControlCaller
	Grants   Granter
	Backends backend.Client
	Clock    clock.Clock
	Logger   log.Logger
	Settings Settings
	// Meter creates the instruments; nil disables them.
	Meter metric.Meter
	// Account bounds what callers make the process hold, and Refusals counts those that it
	// refuses; nil: an account of its own, and no count.
	Account  *intake.Account
	Refusals *intake.Refusals
}

// Settings bound what callers may use. Zero fields take the value of
// DefaultSettings.
type Settings struct {
	// MaxHeaderBytes bounds the request line and the header.
	MaxHeaderBytes int
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int
	// MaxConns bounds the connections of all callers.
	MaxConns int
	// ReadTimeout bounds the receipt of one request.
	ReadTimeout time.Duration
	// WriteTimeout bounds the sending of one answer.
	WriteTimeout time.Duration
	// StallTimeout bounds how long a write may wait for a caller that does not
	// read its stream.
	StallTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout time.Duration
	// RequestTimeout bounds a request from receipt to its last byte.
	RequestTimeout time.Duration
	// QueueWait bounds the wait for a grant.
	QueueWait time.Duration
	// ControlTimeout bounds one call to control.
	ControlTimeout time.Duration
	// SuspectWait bounds how long the refusal of a request whose replica crashed
	// waits until every entry has applied the suspect. Longer work leases raise
	// it.
	SuspectWait time.Duration
	// EntriesTTL is how long callers may cache the list of entries.
	EntriesTTL time.Duration
	// RecordRetention is how long an idempotency record is kept.
	RecordRetention time.Duration
	// MaxStoredAnswer bounds the answer kept with a record, in bytes. The
	// resend of a call with a larger answer gets the outcome unknown.
	MaxStoredAnswer int
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts int
	// RetryRatio is the number of retries that each request adds to the
	// retry budget.
	RetryRatio float64
	// RetryBurst is the largest retry budget.
	RetryBurst float64
	// ServiceLimit bounds the calls in progress to one plain service.
	ServiceLimit int
}

// DefaultSettings returns the settings used where none are given.
func DefaultSettings() Settings {
	return Settings{
		MaxHeaderBytes:  16 << 10,
		MaxBodyBytes:    4 << 20,
		MaxConns:        4096,
		ReadTimeout:     10 * time.Second,
		WriteTimeout:    130 * time.Second,
		StallTimeout:    20 * time.Second,
		IdleTimeout:     30 * time.Second,
		RequestTimeout:  2 * time.Minute,
		QueueWait:       10 * time.Second,
		ControlTimeout:  2 * time.Second,
		SuspectWait:     10 * time.Second,
		EntriesTTL:      5 * time.Second,
		RecordRetention: 24 * time.Hour,
		MaxStoredAnswer: 64 << 10,
		MaxAttempts:     3,
		RetryRatio:      0.1,
		RetryBurst:      32,
		ServiceLimit:    256,
	}
}

// withDefaults replaces each field that is not positive by its default.
func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	setDefault(&s.MaxHeaderBytes, d.MaxHeaderBytes)
	setDefault(&s.MaxBodyBytes, d.MaxBodyBytes)
	setDefault(&s.MaxConns, d.MaxConns)
	setDefault(&s.ReadTimeout, d.ReadTimeout)
	setDefault(&s.WriteTimeout, d.WriteTimeout)
	setDefault(&s.StallTimeout, d.StallTimeout)
	setDefault(&s.IdleTimeout, d.IdleTimeout)
	setDefault(&s.RequestTimeout, d.RequestTimeout)
	setDefault(&s.QueueWait, d.QueueWait)
	setDefault(&s.ControlTimeout, d.ControlTimeout)
	setDefault(&s.SuspectWait, d.SuspectWait)
	setDefault(&s.EntriesTTL, d.EntriesTTL)
	setDefault(&s.RecordRetention, d.RecordRetention)
	setDefault(&s.MaxStoredAnswer, d.MaxStoredAnswer)
	setDefault(&s.MaxAttempts, d.MaxAttempts)
	setDefault(&s.RetryRatio, d.RetryRatio)
	setDefault(&s.RetryBurst, d.RetryBurst)
	setDefault(&s.ServiceLimit, d.ServiceLimit)
	return s
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
