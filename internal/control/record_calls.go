package control

import (
	"context"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

const (
	// maxKeyLength is the length of an idempotency key, in bytes.
	maxKeyLength = 255
	// maxFingerprintLength is the length of a request fingerprint, in bytes.
	maxFingerprintLength = 128
)

// recordOpen answers control.record.open. Created is set for the one call that
// created the record; a caller that resends after a lost answer recognises its
// own record by the request id.
func (s *Service) recordOpen(ctx context.Context, r api.RecordOpenRequest) (api.RecordOpenResponse, error) {
	var none api.RecordOpenResponse
	if err := checkRecord("open record", r.Record); err != nil {
		return none, err
	}
	if _, err := s.lead(ctx); err != nil {
		return none, err
	}
	cmd := &recordOpenCommand{Record: r.Record, Limits: s.cfg.Limits.Records}
	return propose[api.RecordOpenResponse](ctx, s, cmd)
}

// recordEnd answers control.record.end.
func (s *Service) recordEnd(ctx context.Context, r api.RecordEndRequest) (api.Empty, error) {
	var none api.Empty
	if err := checkRecord("end record", r.Record); err != nil {
		return none, err
	}
	switch r.Record.State {
	case api.RecordComplete, api.RecordUnknown, api.RecordNotRun:
	default:
		return none, refuse(errs.Invalid, "end record", "state %q does not end a record", r.Record.State)
	}
	if _, err := s.lead(ctx); err != nil {
		return none, err
	}
	cmd := &recordEndCommand{Record: r.Record, Limits: s.cfg.Limits.Records}
	return propose[api.Empty](ctx, s, cmd)
}

// recordGet answers control.record.get.
func (s *Service) recordGet(ctx context.Context, r api.RecordGetRequest) (api.RecordGetResponse, error) {
	var none api.RecordGetResponse
	if err := checkWait("get record", r.WaitMillis); err != nil {
		return none, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	var response api.RecordGetResponse
	ended := func() bool {
		response.Record, response.Found = s.state.records.get(recordKey{account: r.Account, key: r.Key})
		return !response.Found || response.Record.State != api.RecordRunning
	}
	s.wait(ctx, s.deadline(r.WaitMillis), s.state.recorded, ended)
	return response, s.confirmLeading(lead)
}

// suspect answers control.suspect.
func (s *Service) suspect(ctx context.Context, r api.SuspectRequest) (api.SuspectResponse, error) {
	var none api.SuspectResponse
	if err := checkSuspect(r); err != nil {
		return none, err
	}
	if _, err := s.lead(ctx); err != nil {
		return none, err
	}
	cmd := &suspectCommand{Suspect: r, Limits: s.cfg.Limits.Quarantine}
	q, err := propose[api.Quarantine](ctx, s, cmd)
	return api.SuspectResponse{Quarantine: q}, err
}

func checkRecord(step string, r api.Record) error {
	var f Faults
	if r.Account == "" || len(r.Account) > maxNameLength {
		f.add("record.account", r.Account, "must have 1 to %d characters", maxNameLength)
	}
	if r.Key == "" || len(r.Key) > maxKeyLength {
		f.add("record.key", r.Key, "must have 1 to %d characters", maxKeyLength)
	}
	if r.Request == "" || len(r.Request) > maxNameLength {
		f.add("record.request", r.Request, "must have 1 to %d characters", maxNameLength)
	}
	if r.Entry == "" {
		f.add("record.entry", r.Entry, "must not be empty")
	}
	if r.Incarnation == 0 {
		f.add("record.incarnation", r.Incarnation, "must be 1 or more")
	}
	return f.err(step)
}

func checkSuspect(r api.SuspectRequest) error {
	var f Faults
	if r.Fingerprint == "" || len(r.Fingerprint) > maxFingerprintLength {
		f.add("fingerprint", r.Fingerprint, "must have 1 to %d characters", maxFingerprintLength)
	}
	if r.Group == "" {
		f.add("group", r.Group, "must not be empty")
	}
	if r.Fencing == 0 {
		f.add("fencing", r.Fencing, "must be 1 or more")
	}
	return f.err("suspect request")
}
