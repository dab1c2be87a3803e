package pipeline

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
)

const (
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// recordPollInterval is the time between two reads of a running record.
	recordPollInterval = 50 * time.Millisecond
)

// deduplicate opens the record of a non-idempotent request. Only the call that
// created the record is dispatched; a resend gets the result of the first one.
type deduplicate struct{ *Server }

func (f deduplicate) apply(c *call) error {
	if c.repeatable {
		return nil
	}
	record, bad := f.newRecord(c)
	if bad != nil {
		return bad
	}
	res, err := f.open(c, record)
	if err != nil {
		return f.openFailure(record, err)
	}
	// The open call may have been retried on its way to the leader, so a running
	// record with the id of this call belongs to it.
	own := res.Record.Request == c.id && res.Record.State == api.RecordRunning
	if res.Created || own {
		c.record = &record
		return nil
	}
	return f.resend(c, record, res.Record)
}

// newRecord returns the record to create for the call.
func (f deduplicate) newRecord(c *call) (api.Record, *refusal) {
	key := c.http.Request.Header.Peek(api.HeaderIdempotencyKey)
	if len(key) == 0 {
		return api.Record{}, invalidField(api.HeaderIdempotencyKey, "missing", "set on a call that may not be repeated")
	}
	if len(key) > maxKeyBytes {
		return api.Record{}, invalidField(api.HeaderIdempotencyKey, strconv.Itoa(len(key))+" bytes long", "at most "+strconv.Itoa(maxKeyBytes))
	}
	return api.Record{
		Account:           c.account.ID,
		Key:               string(key),
		BodyHash:          contentHash(c),
		Request:           c.id,
		Entry:             f.cfg.Self.ID,
		Incarnation:       f.cfg.Self.Incarnation,
		State:             api.RecordRunning,
		ExpiresUnixMillis: c.received.Add(f.cfg.Settings.RecordRetention).UnixMilli(),
	}, nil
}

// contentHash hashes everything that must be equal in a resend of the call.
func contentHash(c *call) string {
	h := sha256.New()
	for _, part := range []string{c.service.name, c.service.method, c.service.path, string(c.http.Request.Header.ContentType())} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.body)
	return hex.EncodeToString(h.Sum(nil))
}

func (f deduplicate) open(c *call, record api.Record) (api.RecordOpenResponse, error) {
	ctx, cancel := context.WithTimeout(c.ctx, f.cfg.Settings.ControlTimeout)
	defer cancel()
	var res api.RecordOpenResponse
	err := f.cfg.Control.Call(ctx, api.MethodRecordOpen, api.RecordOpenRequest{Record: record}, &res)
	return res, err
}

// openFailure refuses a call whose record was not confirmed. Nothing was
// dispatched, so a record that may exist is ended as not-run.
func (f deduplicate) openFailure(record api.Record, err error) error {
	if errs.Is(err, errs.Full) {
		return unavailable("record_store_full", "the store of idempotency records is full", err)
	}
	if errs.Is(err, errs.Conflict) {
		return keyReused()
	}
	record.State = api.RecordNotRun
	f.endRecord(record)
	return unavailable("control_unavailable", "the idempotency record could not be created", err)
}

// keyReused refuses a call whose key belongs to a call with different content.
func keyReused() *refusal {
	return &refusal{
		status:  fasthttp.StatusUnprocessableEntity,
		code:    "key_reused",
		field:   api.HeaderIdempotencyKey,
		message: "the key was used for a call with other content",
	}
}

// resend answers a call whose record already existed.
func (f deduplicate) resend(c *call, own, found api.Record) error {
	if found.BodyHash != own.BodyHash {
		return keyReused()
	}
	if found.State == api.RecordRunning {
		ended, err := f.await(c, own)
		if err != nil {
			return err
		}
		found = ended
	}
	if found.State == api.RecordComplete {
		f.replay(c, found)
		return nil
	}
	return outcomeUnknown("the outcome of the first call is not known", nil)
}

// outcomeUnknown refuses a resend of a call that may have run.
func outcomeUnknown(message string, cause error) *refusal {
	return &refusal{
		status:  fasthttp.StatusConflict,
		code:    "outcome_unknown",
		message: message,
		unknown: true,
		cause:   cause,
	}
}

// await waits for the end of a running record.
func (f deduplicate) await(c *call, own api.Record) (api.Record, error) {
	params := api.RecordGetRequest{Account: own.Account, Key: own.Key}
	for {
		left := c.deadline.Sub(f.cfg.Clock.Now())
		params.WaitMillis = min(left, f.cfg.Settings.ControlTimeout/2).Milliseconds()
		if params.WaitMillis <= 0 || c.ctx.Err() != nil {
			return api.Record{}, outcomeUnknown("the first call still runs", c.ctx.Err())
		}
		res, err := f.get(c, params)
		if err != nil {
			return api.Record{}, outcomeUnknown("the record could not be read", err)
		}
		if !res.Found {
			r := unavailable("first_call_not_run", "the first call ended without a run", nil)
			return api.Record{}, r
		}
		if res.Record.State != api.RecordRunning {
			return res.Record, nil
		}
		if !clock.Sleep(c.ctx, recordPollInterval) {
			return api.Record{}, outcomeUnknown("the first call still runs", c.ctx.Err())
		}
	}
}

func (f deduplicate) get(c *call, params api.RecordGetRequest) (api.RecordGetResponse, error) {
	ctx, cancel := context.WithTimeout(c.ctx, f.cfg.Settings.ControlTimeout)
	defer cancel()
	var res api.RecordGetResponse
	err := f.cfg.Control.Call(ctx, api.MethodRecordGet, params, &res)
	return res, err
}

// replay writes the stored answer of the first call.
func (f deduplicate) replay(c *call, r api.Record) {
	c.replayed = true
	c.outcome = api.OutcomeComplete
	c.http.SetStatusCode(r.Status)
	c.http.SetContentType(r.ContentType)
	c.http.SetBody(r.Body)
	writeOutcome(c.http, r.Request, api.OutcomeComplete)
	f.end(c)
}

// unixMillis returns t as Unix time in milliseconds.
func unixMillis(t time.Time) int64 { return t.UnixMilli() }
