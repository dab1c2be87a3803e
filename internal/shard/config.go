package shard

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/peer"
)

// Viewer is the soft state of the entry. It is implemented by entry.State.
type Viewer interface {
	// Snapshot returns the newest applied view.
	Snapshot() *entry.Snapshot
	// MayWork reports whether the entry may take new work.
	MayWork() bool
	// HasLease reports whether the work lease is valid, also while leaving.
	HasLease() bool
}

// Canceller stops requests on engines. It is implemented by backend.Client.
type Canceller interface {
	Cancel(ctx context.Context, address string, id api.RequestID) error
}

// Config is what both sides need.
type Config struct {
	// Self is the entry that this process runs.
	Self api.EntryInfo
	View Viewer
	// Peers carries calls to other entries.
	Peers peer.Caller
	// Engines stops the work of grants whose lifetime ran out.
	Engines  Canceller
	Clock    clock.Clock
	Logger   log.Logger
	Settings Settings
	// Meter creates the instruments; nil measures nothing.
	Meter metric.Meter
}

// New returns the owner side and the entry side of one process. To wire them:
//
//	owner, grants := shard.New(cfg)
//	owner.Register(peers)   // acquire, settle and report of other entries
//	grants.Register(peers)  // revocations of other owners
//	go owner.Run(ctx)
//	go grants.Run(ctx)
//	// after each applied view:
//	owner.Update(snapshot)
//	grants.Update(ctx)
func New(cfg Config) (*Manager, *Client) {
	cfg.Settings = cfg.Settings.withDefaults()
	m := newManager(cfg)
	c := newClient(cfg, m)
	m.revokeLocal = c.Revoke
	return m, c
}

// Settings tune admission. Zero fields take the value of DefaultSettings.
type Settings struct {
	// GrantLifetime is how long a grant lives without a renewal.
	GrantLifetime time.Duration
	// WorkLease is the longest work lease of an entry: an owner that lost a
	// shard may grant for that long without knowing it.
	WorkLease time.Duration
	// RequestTimeout is the longest time that an engine works on a request.
	RequestTimeout time.Duration
	// QueueLimit bounds the waiting requests of one shard.
	QueueLimit int
	// AccountQueueLimit bounds the waiting requests of one account in a shard.
	AccountQueueLimit int
	// ShareCredit is how long an account that left its share unused for as long
	// may use twice its share.
	ShareCredit time.Duration
	// DefaultWarmLoad is the limit of a warm replica that announced none, in
	// concurrent requests.
	DefaultWarmLoad int
}

// DefaultSettings returns the settings used where none are given.
func DefaultSettings() Settings {
	return Settings{
		GrantLifetime:     8 * time.Second,
		WorkLease:         3 * time.Second,
		RequestTimeout:    2 * time.Minute,
		QueueLimit:        512,
		AccountQueueLimit: 256,
		ShareCredit:       time.Second,
		DefaultWarmLoad:   8,
	}
}

// withDefaults fills zero fields.
func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	if s.GrantLifetime <= 0 {
		s.GrantLifetime = d.GrantLifetime
	}
	if s.WorkLease <= 0 {
		s.WorkLease = d.WorkLease
	}
	if s.RequestTimeout <= 0 {
		s.RequestTimeout = d.RequestTimeout
	}
	if s.QueueLimit <= 0 {
		s.QueueLimit = d.QueueLimit
	}
	if s.AccountQueueLimit <= 0 {
		s.AccountQueueLimit = d.AccountQueueLimit
	}
	if s.ShareCredit <= 0 {
		s.ShareCredit = d.ShareCredit
	}
	if s.DefaultWarmLoad <= 0 {
		s.DefaultWarmLoad = d.DefaultWarmLoad
	}
	return s
}

// handoverHold is how long an unreported grant of an earlier owner may live.
func (s Settings) handoverTimeout() time.Duration { return s.GrantLifetime + s.WorkLease }
