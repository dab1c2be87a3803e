package control

import (
	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// RecordLimits bounds the store of idempotency records.
type RecordLimits struct {
	// MaxRecords is the largest number of records.
	MaxRecords int `cbor:"1,keyasint"`
	// MaxBytes is the largest size of all records, in bytes.
	MaxBytes int64 `cbor:"2,keyasint"`
	// MaxBody is the largest stored answer, in bytes. Space for it is reserved
	// while a request runs.
	MaxBody int64 `cbor:"3,keyasint"`
	// RetentionMillis is how long an ended record is kept.
	RetentionMillis int64 `cbor:"4,keyasint"`
}

// recordOpenCommand creates a record unless one exists.
type recordOpenCommand struct {
	Record api.Record   `cbor:"1,keyasint"`
	Limits RecordLimits `cbor:"2,keyasint"`
}

func (*recordOpenCommand) kind() commandKind { return kindRecordOpen }

func (c *recordOpenCommand) apply(t *tx) (any, error) {
	const step = "open record"
	if old, ok := t.guards.recordExists(t, keyOf(c.Record)); ok {
		if old.BodyHash != c.Record.BodyHash {
			return nil, refuse(errs.Conflict, step, "the key was used with another body")
		}
		return api.RecordOpenResponse{Record: old}, nil
	}
	if err := c.checkEntry(t); err != nil {
		return nil, err
	}
	if err := c.checkRoom(t); err != nil {
		return nil, err
	}
	r := c.Record
	r.State = api.RecordRunning
	r.Status = 0
	r.ContentType = ""
	r.Body = nil
	r.ExpiresUnixMillis = t.now + c.Limits.RetentionMillis
	t.records.put(r)
	return api.RecordOpenResponse{Created: true, Record: r}, nil
}

// checkEntry refuses a late open of an entry that may no longer work, whose
// records have already been ended.
func (c *recordOpenCommand) checkEntry(t *tx) error {
	const step = "open record"
	row, ok := t.entries.get(c.Record.Entry)
	if !ok || !row.Info.Live {
		return retryLater(retryRegistration, step, "entry %s holds no work lease", c.Record.Entry)
	}
	if c.Record.Incarnation != row.Info.Incarnation {
		return refuse(errs.Stale, step, "entry %s is at incarnation %d, not %d", c.Record.Entry, row.Info.Incarnation, c.Record.Incarnation)
	}
	return nil
}

func (c *recordOpenCommand) checkRoom(t *tx) error {
	records, running, bytes := t.records.usage()
	if records >= c.Limits.MaxRecords {
		return refuse(errs.Full, "open record", "%d records are stored, the limit is %d", records, c.Limits.MaxRecords)
	}
	needed := bytes + int64(running+1)*c.Limits.MaxBody + recordSize(c.Record)
	if needed > c.Limits.MaxBytes {
		return refuse(errs.Full, "open record", "%d bytes are needed, the limit is %d", needed, c.Limits.MaxBytes)
	}
	return nil
}

// recordEndCommand stores the end of a record.
type recordEndCommand struct {
	Record api.Record   `cbor:"1,keyasint"`
	Limits RecordLimits `cbor:"2,keyasint"`
}

func (*recordEndCommand) kind() commandKind { return kindRecordEnd }

func (c *recordEndCommand) apply(t *tx) (any, error) {
	const step = "end record"
	old, ok := t.records.get(keyOf(c.Record))
	if !ok {
		if c.Record.State == api.RecordNotRun {
			return api.Empty{}, nil
		}
		return nil, refuse(errs.NotFound, step, "no record exists for the key")
	}
	if old.Request != c.Record.Request || old.Entry != c.Record.Entry || old.Incarnation != c.Record.Incarnation {
		return nil, refuse(errs.Conflict, step, "the record belongs to request %s of entry %s", old.Request, old.Entry)
	}
	if old.State == api.RecordComplete {
		return api.Empty{}, c.repeated(old)
	}
	if c.Record.State == api.RecordNotRun {
		t.records.del(keyOf(old))
		return api.Empty{}, nil
	}
	t.records.put(c.ended(old, t.now))
	return api.Empty{}, nil
}

// repeated accepts another end of a completed record, unless it says that the
// request was not run.
func (c *recordEndCommand) repeated(old api.Record) error {
	if c.Record.State == api.RecordComplete || c.Record.State == api.RecordUnknown {
		return nil
	}
	return refuse(errs.Conflict, "end record", "the record is already %s", old.State)
}

// ended returns the record with its answer. An answer above MaxBody is not
// stored; its record ends as unknown.
func (c *recordEndCommand) ended(old api.Record, now int64) api.Record {
	old.State = c.Record.State
	old.Status = c.Record.Status
	old.ContentType = c.Record.ContentType
	old.Body = c.Record.Body
	if int64(len(old.Body)+len(old.ContentType)) > c.Limits.MaxBody {
		old.State = api.RecordUnknown
		old.ContentType = ""
		old.Body = nil
	}
	old.ExpiresUnixMillis = now + c.Limits.RetentionMillis
	return old
}
