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

// Viewer provides the view and the lease state of the entry. It is implemented
// by entry.State.
type Viewer interface {
	// Snapshot returns the newest applied view.
	Snapshot() *entry.Snapshot
	// MayWork reports whether the entry may accept new work.
	MayWork() bool
	// HasLease reports whether the work lease is valid, also while leaving.
	HasLease() bool
}

// Canceller stops requests on engines. It is implemented by backend.Client.
type Canceller interface {
	Cancel(ctx context.Context, address string, id api.RequestID) error
}

// Config configures both the owner side and the entry side.
type Config struct {
	// Self is the entry that this process runs.
	Self api.EntryInfo
	View Viewer
	// Peers carries calls to other entries.
	Peers peer.Caller
	// Engines stops the work of expired grants.
	Engines  Canceller
	Clock    clock.Clock
	Logger   log.Logger
	Settings Settings
	// Meter creates the instruments; nil disables metrics.
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

// Settings configures admission. Zero fields take the value of DefaultSettings.
type Settings struct {
	// GrantLifetime is the time after which a grant expires without a renewal.
	GrantLifetime time.Duration
	// WorkLease is the longest work lease of an entry. An owner that has lost a
	// shard may issue grants until its work lease expires.
	WorkLease time.Duration
	// RequestTimeout is the longest time that an engine processes a request.
	RequestTimeout time.Duration
	// QueueLimit is the maximum number of waiting requests of one shard.
	QueueLimit int
	// AccountQueueLimit is the maximum number of waiting requests of one account
	// in a shard.
	AccountQueueLimit int
	// ShareCredit is how long an account may use twice its share after it left
	// the share unused for the same time.
	ShareCredit time.Duration
	// DefaultWarmLoad is the limit, in concurrent requests, of a warm replica
	// that announced none.
	DefaultWarmLoad int
}

// DefaultSettings returns the default settings.
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

// withDefaults replaces zero fields with their defaults.
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

// handoverTimeout returns the time after which every unreported grant of an
// earlier owner has expired.
func (s Settings) handoverTimeout() time.Duration { return s.GrantLifetime + s.WorkLease }
