package control

import (
	"context"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/faults"
)

const (
	// maxKeyLength is the longest idempotency key, in bytes.
	maxKeyLength = 255
	// maxFingerprintLength is the longest request fingerprint, in bytes.
	maxFingerprintLength = 128
)

// recordOpen handles control.record.open. Created is set only for the call that
// created the record; a caller that resends after a lost answer recognises its
// own record by the request ID.
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

// recordEnd handles control.record.end.
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

// recordGet handles control.record.get.
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
	s.wait(ctx, s.deadline(r.WaitMillis), s.state.recordChanged, ended)
	return response, s.confirmLeading(lead)
}

// suspect handles control.suspect. On request it waits until the state is in
// force, that is, applied by every entry that may work.
func (s *Service) suspect(ctx context.Context, r api.SuspectRequest) (api.SuspectResponse, error) {
	var none api.SuspectResponse
	if err := checkSuspect(r); err != nil {
		return none, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	until := s.deadline(r.WaitMillis)
	wait := r.WaitMillis > 0
	r.WaitMillis = 0
	cmd := &suspectCommand{Suspect: r, Limits: s.cfg.Limits.Quarantine}
	q, err := propose[api.Quarantine](ctx, s, cmd)
	if err != nil || !wait {
		return api.SuspectResponse{Quarantine: q}, err
	}
	revision := s.state.Revision()
	inForce := func() bool { return len(lead.leases.lagging(revision, s.cfg.Clock.Now())) == 0 }
	done := s.wait(ctx, until, s.renewed, inForce)
	return api.SuspectResponse{Quarantine: q, InForce: done}, s.confirmLeading(lead)
}

func checkRecord(step string, r api.Record) error {
	var f faults.List
	if r.Account == "" || len(r.Account) > maxNameLength {
		f.Add("record.account", r.Account, "of 1 to %d characters", maxNameLength)
	}
	if r.Key == "" || len(r.Key) > maxKeyLength {
		f.Add("record.key", r.Key, "of 1 to %d characters", maxKeyLength)
	}
	if r.Request == "" || len(r.Request) > maxNameLength {
		f.Add("record.request", r.Request, "of 1 to %d characters", maxNameLength)
	}
	if r.Entry == "" {
		f.Add("record.entry", r.Entry, "set")
	}
	if r.Incarnation == 0 {
		f.Add("record.incarnation", r.Incarnation, "1 or more")
	}
	return f.Err(step, "")
}

func checkSuspect(r api.SuspectRequest) error {
	var f faults.List
	if r.Fingerprint == "" || len(r.Fingerprint) > maxFingerprintLength {
		f.Add("fingerprint", r.Fingerprint, "of 1 to %d characters", maxFingerprintLength)
	}
	if r.Group == "" {
		f.Add("group", r.Group, "set")
	}
	if r.Fencing == 0 {
		f.Add("fencing", r.Fencing, "1 or more")
	}
	if r.WaitMillis < 0 {
		f.Add("wait_millis", r.WaitMillis, "0 or more")
	}
	return f.Err("suspect request", "")
}
