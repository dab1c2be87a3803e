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

// MembershipReader is implemented by a Log that tells its members.
type MembershipReader interface {
	Membership() consensus.Membership
}

// Limits bounds what the control role stores and accepts.
type Limits struct {
	Records    RecordLimits
	Quarantine QuarantineLimits
	// MaxPlans is the number of plans that are remembered.
	MaxPlans int
	// MaxHosts is the number of backend servers that are tracked.
	MaxHosts int
	// MaxBatch is the number of announcements in one batch.
	MaxBatch int
	// EntryRetention is how long an entry without a work lease is listed.
	EntryRetention time.Duration
	// MaxWait bounds every long poll.
	MaxWait time.Duration
}

// Config is what a Service needs. Log and State are required; zero values of
// the rest stand for the defaults.
type Config struct {
	Log        Log
	State      *State
	Clock      clock.Clock
	Logger     log.Logger
	Meter      metric.Meter
	Forecaster Forecaster
	Reconciler Reconciler
	// LeaseDuration is the work lease of an entry.
	LeaseDuration time.Duration
	// StretchEntries is the number of entries for which leases get longer by one
	// LeaseDuration.
	StretchEntries int
	// DriftMargin is added by the leader before it takes a lease as run out.
	DriftMargin time.Duration
	// DetectionBound is the silence after which a backend server counts as
	// gone.
	DetectionBound time.Duration
	// FirstContact is how long a new leader takes hosts that it has not heard of for
	// alive; 0 stands for the time until every entry has renewed its lease or lost it.
	FirstContact time.Duration
	// WithoutShards leases no shards: entries admit requests by themselves.
	WithoutShards bool
	// Voters is the number of voters that the leader keeps by promoting learners
	// and removing lost voters; 0 leaves the members to operators.
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
	l.MaxPlans = cmp.Or(l.MaxPlans, DefaultMaxPlans)
	l.MaxHosts = cmp.Or(l.MaxHosts, DefaultMaxHosts)
	l.MaxBatch = cmp.Or(l.MaxBatch, DefaultMaxBatch)
	l.EntryRetention = cmp.Or(l.EntryRetention, DefaultEntryRetention)
	l.MaxWait = cmp.Or(l.MaxWait, DefaultMaxWait)
	return l
}
