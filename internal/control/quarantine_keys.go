package control

import (
	"context"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/faults"
)

// maxQuarantineKeys is the largest number of keys of one quarantine: a prompt has no more
// parts that are told apart.
const maxQuarantineKeys = 33

// quarantineCommand changes the quarantine of requests with some keys. Entries find out
// which keys crash servers; the table tells all entries, also those that start later, and
// lets one request through at a time to see whether the quarantine is still right.
type quarantineCommand struct {
	Request api.QuarantineRequest `cbor:"1,keyasint"`
	Limits  QuarantineLimits      `cbor:"2,keyasint"`
}

func (*quarantineCommand) kind() commandKind { return kindQuarantine }

func (c *quarantineCommand) apply(t *tx) (any, error) {
	row, known := t.quarantines.get(c.Request.Fingerprint)
	switch c.Request.Action {
	case api.QuarantineImpose:
		return c.impose(t, row, known)
	case api.QuarantineTry:
		return c.try(t, row, known), nil
	case api.QuarantineExtend:
		return c.extend(t, row, known), nil
	case api.QuarantineLift:
		if known {
			t.dropQuarantine(c.Request.Fingerprint)
		}
		return api.QuarantineResponse{}, nil
	}
	return nil, refuse(errs.Invalid, "quarantine request", "unknown action %q", c.Request.Action)
}

// impose begins a quarantine. Several entries may report the same crashes: a quarantine
// that exists stays as it is.
func (c *quarantineCommand) impose(t *tx, row quarantineRow, known bool) (any, error) {
	if known {
		return api.QuarantineResponse{Quarantine: row.Quarantine}, nil
	}
	if err := t.makeQuarantineRoom(c.Limits.MaxRows); err != nil {
		return nil, err
	}
	row.Quarantine = api.Quarantine{Fingerprint: c.Request.Fingerprint, Keys: c.Request.Keys, Deaths: c.Request.Deaths}
	return c.put(t, row, c.Limits.HoldMillis), nil
}

// put stores a row whose next trial is due after a hold.
func (c *quarantineCommand) put(t *tx, row quarantineRow, holdMillis int64) api.QuarantineResponse {
	row.TrialUntilUnixMillis = 0
	row.Quarantine.UntilUnixMillis = t.now + holdMillis
	row.ExpiresUnixMillis = row.Quarantine.UntilUnixMillis + c.Limits.QuarantineMillis
	t.quarantines.put(row.Quarantine.Fingerprint, row)
	t.markChanged(tableQuarantines, row.Quarantine.Fingerprint)
	return api.QuarantineResponse{Quarantine: row.Quarantine, RetryAfterMillis: holdMillis}
}

// try grants the trial if it is due and no other one is in progress.
func (c *quarantineCommand) try(t *tx, row quarantineRow, known bool) api.QuarantineResponse {
	if wait := row.untilTrial(t.now); known && wait > 0 {
		return api.QuarantineResponse{Quarantine: row.Quarantine, RetryAfterMillis: wait}
	}
	if known {
		row.TrialUntilUnixMillis = t.now + c.Limits.TrialMillis
		t.quarantines.put(row.Quarantine.Fingerprint, row)
	}
	return api.QuarantineResponse{Quarantine: row.Quarantine, Granted: true}
}

// extend doubles the hold after a trial that crashed its server. A quarantine that was
// lifted meanwhile stays so: a request with the keys was harmless.
func (c *quarantineCommand) extend(t *tx, row quarantineRow, known bool) api.QuarantineResponse {
	if !known {
		return api.QuarantineResponse{}
	}
	row.FailedTrials++
	row.Quarantine.Deaths++
	hold := c.Limits.QuarantineMillis
	if row.FailedTrials < maxHoldDoublings {
		hold = min(hold, c.Limits.HoldMillis<<row.FailedTrials)
	}
	return c.put(t, row, hold)
}

// maxHoldDoublings keeps the doubled hold from overflowing.
const maxHoldDoublings = 16

// untilTrial is the time until the next trial is due, in ms, 0 if it is.
func (r *quarantineRow) untilTrial(now int64) int64 {
	return max(0, r.Quarantine.UntilUnixMillis-now, r.TrialUntilUnixMillis-now)
}

// quarantine handles control.quarantine.
func (s *Service) quarantine(ctx context.Context, r api.QuarantineRequest) (api.QuarantineResponse, error) {
	var none api.QuarantineResponse
	if err := checkQuarantine(r); err != nil {
		return none, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	// Many entries ask or report the same: what changes nothing is not proposed.
	row, known := s.state.quarantines.get(r.Fingerprint)
	wait := row.untilTrial(s.cfg.Clock.Now().UnixMilli())
	switch {
	case known && (r.Action == api.QuarantineImpose || r.Action == api.QuarantineTry && wait > 0):
		return api.QuarantineResponse{Quarantine: row.Quarantine, RetryAfterMillis: wait}, s.confirmLeading(lead)
	case !known && r.Action != api.QuarantineImpose:
		return api.QuarantineResponse{Granted: true}, s.confirmLeading(lead)
	}
	return propose[api.QuarantineResponse](ctx, s, &quarantineCommand{Request: r, Limits: s.cfg.Limits.Quarantine})
}

func checkQuarantine(r api.QuarantineRequest) error {
	var f faults.List
	switch r.Action {
	case api.QuarantineImpose, api.QuarantineTry, api.QuarantineExtend, api.QuarantineLift:
	default:
		f.Add("action", r.Action, "impose, try, extend or lift")
	}
	if r.Fingerprint == "" || len(r.Fingerprint) > maxFingerprintLength {
		f.Add("fingerprint", r.Fingerprint, "of 1 to %d characters", maxFingerprintLength)
	}
	if len(r.Keys) == 0 || len(r.Keys) > maxQuarantineKeys {
		f.Add("keys", len(r.Keys), "1 to %d", maxQuarantineKeys)
	}
	for _, k := range r.Keys {
		if k == "" || len(k) > maxFingerprintLength {
			f.Add("keys", k, "of 1 to %d characters each", maxFingerprintLength)
		}
	}
	return f.Err("quarantine request", "")
}
