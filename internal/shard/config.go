package shard

import "time"

// Settings tune admission. Zero fields take the value of DefaultSettings.
type Settings struct {
	// GrantLifetime is how long a grant lives without a renewal.
	GrantLifetime time.Duration
	// WorkLease is the longest work lease of an entry: an owner that lost a
	// shard may grant for that long without knowing it.
	WorkLease time.Duration
	// QueueLimit bounds the waiting requests of one shard.
	QueueLimit int
	// AccountQueueLimit bounds the waiting requests of one account in a shard.
	AccountQueueLimit int
	// DefaultWarmLoad is the limit of a warm replica that announced none, in
	// concurrent requests.
	DefaultWarmLoad int
}

// DefaultSettings returns the settings used where none are given.
func DefaultSettings() Settings {
	return Settings{
		GrantLifetime:     8 * time.Second,
		WorkLease:         3 * time.Second,
		QueueLimit:        512,
		AccountQueueLimit: 256,
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
	if s.QueueLimit <= 0 {
		s.QueueLimit = d.QueueLimit
	}
	if s.AccountQueueLimit <= 0 {
		s.AccountQueueLimit = d.AccountQueueLimit
	}
	if s.DefaultWarmLoad <= 0 {
		s.DefaultWarmLoad = d.DefaultWarmLoad
	}
	return s
}

// handoverHold is how long an unreported grant of an earlier owner may live.
func (s Settings) handoverHold() time.Duration { return s.GrantLifetime + s.WorkLease }
