package control

import "github.com/crocusway/crocusway/internal/api"

// expireCommand deletes the rows that have expired at the time of the command.
type expireCommand struct {
	// MaxRecords bounds the records that one command deletes.
	MaxRecords int `cbor:"1,keyasint"`
	// EntryRetentionMillis is how long an entry without a lease is listed.
	EntryRetentionMillis int64 `cbor:"2,keyasint"`
}

func (*expireCommand) kind() commandKind { return kindExpire }

func (c *expireCommand) apply(t *tx) (any, error) {
	for _, row := range t.quarantines.list() {
		if row.ExpiresUnixMillis <= t.now {
			t.dropQuarantine(row.Quarantine.Fingerprint)
		}
	}
	for _, row := range t.entries.list() {
		if row.expired(t.now, c.EntryRetentionMillis) {
			t.entries.del(row.Info.ID)
			t.markChanged(tableEntries, string(row.Info.ID))
		}
	}
	t.records.expire(t.now, c.MaxRecords)
	return api.Empty{}, nil
}

// hasExpired reports whether an expireCommand would delete something.
func (s *State) hasExpired(now, entryRetentionMillis int64) bool {
	quarantineExpired := func(row quarantineRow) bool { return row.ExpiresUnixMillis <= now }
	entryExpired := func(row entryRow) bool { return row.expired(now, entryRetentionMillis) }
	return s.records.hasExpired(now) || s.quarantines.any(quarantineExpired) || s.entries.any(entryExpired)
}
