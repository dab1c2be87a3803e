package control

import (
	"cmp"
	"context"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/logging"
)

// GroupStore changes groups and assignments through the replicated log.
type GroupStore interface {
	// ChangeGroup fails with errs.Stale or errs.Conflict when the change is
	// refused, and with errs.Timeout when its outcome is unknown.
	ChangeGroup(ctx context.Context, change api.GroupChange) (api.GroupChangeResult, error)
}

// Reconciler forms and repairs groups. Reconcile is called by the leader only,
// one call at a time; ctx ends when the leader steps down.
type Reconciler interface {
	Reconcile(ctx context.Context, fleet api.FleetView, store GroupStore)
}

// MemberChanger is implemented by a Log that can change its members.
type MemberChanger interface {
	ChangeMembers(ctx context.Context, change consensus.Change) error
}

// MembershipReader is implemented by a Log that can report its members.
type MembershipReader interface {
	Members() []consensus.MemberStatus
}

// Limits bounds what the control role stores and accepts.
type Limits struct {
	Records    RecordLimits
	Quarantine QuarantineLimits
	// MaxPlans is the largest number of stored plans.
	MaxPlans int
	// MaxHosts is the largest number of tracked backend servers.
	MaxHosts int
	// MaxBatch is the largest number of announcements in a batch.
	MaxBatch int
	// EntryRetention is how long an entry without a work lease is listed.
	EntryRetention time.Duration
	// MaxWait bounds every long poll.
	MaxWait time.Duration
}

// Config configures a Service. Log and State are required; zero values of the
// other fields select the defaults.
type Config struct {
	Log        Log
	State      *State
	Clock      clock.Clock
	Logger     log.Logger
	Meter      metric.Meter
	Forecaster Forecaster
	Reconciler Reconciler
	// LeaseDuration is the length of an entry's work lease before stretching.
	LeaseDuration time.Duration
	// StretchEntries is the number of entries per LeaseDuration of lease
	// length.
	StretchEntries int
	// DriftMargin is how much longer than its entry the leader treats a lease
	// as valid.
	DriftMargin time.Duration
	// DetectionBound is the silence after which a backend server counts as
	// lost.
	DetectionBound time.Duration
	// AnnounceGrace is how long after its election a new leader counts hosts as
	// seen that have not announced themselves. 0 selects the time until every
	// entry has renewed its lease or lost it.
	AnnounceGrace time.Duration
	// DisableShardLeases disables shard leases: entries admit requests on their own.
	DisableShardLeases bool
	// Voters is the number of voters that the leader maintains by promoting
	// learners and removing lost voters. 0 leaves membership to operators.
	Voters int
	// TickInterval is the time between two rounds of leader duties.
	TickInterval time.Duration
	// ReconcileInterval is the longest time between two reconciliations.
	ReconcileInterval time.Duration
	Limits            Limits
}

// Defaults of Config.
const (
	DefaultLeaseDuration     = 3 * time.Second
	DefaultStretchEntries    = 16
	DefaultDriftMargin       = 300 * time.Millisecond
	DefaultDetectionBound    = 2 * time.Second
	DefaultTickInterval      = 100 * time.Millisecond
	DefaultReconcileInterval = 200 * time.Millisecond
	DefaultMaxRecords        = 100_000
	DefaultMaxRecordBytes    = 64 << 20
	DefaultMaxRecordBody     = 64 << 10
	DefaultRecordRetention   = 24 * time.Hour
	DefaultMaxQuarantines    = 10_000
	DefaultSuspectTime       = 10 * time.Minute
	DefaultQuarantineTime    = 10 * time.Minute
	DefaultQuarantineHold    = 30 * time.Second
	DefaultTrialTime         = 10 * time.Second
	DefaultMaxPlans          = 256
	DefaultMaxHosts          = 32_768
	DefaultMaxBatch          = 4096
	DefaultEntryRetention    = time.Hour
	DefaultMaxWait           = 30 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = logging.Discard()
	}
	if c.Meter == nil {
		c.Meter = noop.NewMeterProvider().Meter("control")
	}
	c.LeaseDuration = cmp.Or(c.LeaseDuration, DefaultLeaseDuration)
	c.StretchEntries = cmp.Or(c.StretchEntries, DefaultStretchEntries)
	c.DriftMargin = cmp.Or(c.DriftMargin, DefaultDriftMargin)
	c.DetectionBound = cmp.Or(c.DetectionBound, DefaultDetectionBound)
	c.TickInterval = cmp.Or(c.TickInterval, DefaultTickInterval)
	c.ReconcileInterval = cmp.Or(c.ReconcileInterval, DefaultReconcileInterval)
	c.Limits = c.Limits.withDefaults()
	return c
}

func (l Limits) withDefaults() Limits {
	l.Records.MaxRecords = cmp.Or(l.Records.MaxRecords, DefaultMaxRecords)
	l.Records.MaxBytes = cmp.Or(l.Records.MaxBytes, DefaultMaxRecordBytes)
	l.Records.MaxBody = cmp.Or(l.Records.MaxBody, DefaultMaxRecordBody)
	l.Records.RetentionMillis = cmp.Or(l.Records.RetentionMillis, DefaultRecordRetention.Milliseconds())
	l.Quarantine.MaxRows = cmp.Or(l.Quarantine.MaxRows, DefaultMaxQuarantines)
	l.Quarantine.SuspectMillis = cmp.Or(l.Quarantine.SuspectMillis, DefaultSuspectTime.Milliseconds())
	l.Quarantine.QuarantineMillis = cmp.Or(l.Quarantine.QuarantineMillis, DefaultQuarantineTime.Milliseconds())
	l.Quarantine.HoldMillis = cmp.Or(l.Quarantine.HoldMillis, DefaultQuarantineHold.Milliseconds())
	l.Quarantine.TrialMillis = cmp.Or(l.Quarantine.TrialMillis, DefaultTrialTime.Milliseconds())
	l.MaxPlans = cmp.Or(l.MaxPlans, DefaultMaxPlans)
	l.MaxHosts = cmp.Or(l.MaxHosts, DefaultMaxHosts)
	l.MaxBatch = cmp.Or(l.MaxBatch, DefaultMaxBatch)
	l.EntryRetention = cmp.Or(l.EntryRetention, DefaultEntryRetention)
	l.MaxWait = cmp.Or(l.MaxWait, DefaultMaxWait)
	return l
}
