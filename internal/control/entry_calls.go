package control

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/faults"
)

// renew handles control.renew.
func (s *Service) renew(ctx context.Context, r api.RenewRequest) (api.RenewResponse, error) {
	var none api.RenewResponse
	if err := checkRenew(r); err != nil {
		return none, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	if row, ok := s.state.entries.get(r.Entry.ID); ok && r.Entry.Incarnation < row.Info.Incarnation {
		return none, refuse(errs.Stale, "renew lease", "incarnation %d is older than %d", r.Entry.Incarnation, row.Info.Incarnation)
	}
	if r.Release {
		return none, s.release(ctx, lead, r)
	}
	session, err := s.applyHeartbeats(lead, r)
	if err != nil {
		return none, err
	}
	stretch := lead.stretch.current()
	length := s.stretched(stretch)
	if err := lead.leases.renew(r, length+s.cfg.DriftMargin, s.cfg.Clock.Now(), s.requiredRevision(lead)); err != nil {
		s.renewed.wake()
		return none, err
	}
	if err := s.register(ctx, r); err != nil {
		return none, err
	}
	if err := s.confirmLeading(lead); err != nil {
		return none, err
	}
	s.renewed.wake()
	lead.measures.count(s.cfg.Clock.Now(), lead.service.increase(r.Entry, r.Service))
	return api.RenewResponse{
		LeaseMillis: length.Milliseconds(),
		Stretch:     stretch,
		Session:     session,
		Revision:    s.state.Revision(),
		Members:     s.memberAddresses(),
	}, nil
}

// applyHeartbeats applies the heartbeats of a renewal, whether or not the
// renewal is granted, and returns the session to continue.
func (s *Service) applyHeartbeats(lead *leadership, r api.RenewRequest) (uint64, error) {
	if r.Announce == nil {
		return 0, nil
	}
	batch := *r.Announce
	batch.Entry = r.Entry.ID
	batch.Incarnation = r.Entry.Incarnation
	response, err := s.applyBatch(lead, batch)
	return response.Session, err
}

// requiredRevision returns the revision that an entry must have applied to
// renew its lease: the newest configuration change, or whatever was accepted a
// lease duration ago if that is newer. So every change is in force within two
// lease durations.
func (s *Service) requiredRevision(lead *leadership) func() api.Revision {
	return func() api.Revision {
		old := lead.revisions.acceptedBy(s.cfg.Clock.Now().Add(-s.cfg.LeaseDuration))
		return max(s.state.Required(), old)
	}
}

// register replicates the registration of an entry before its lease is granted:
// the next leader must know every entry that may hold one.
func (s *Service) register(ctx context.Context, r api.RenewRequest) error {
	info := r.Entry
	info.Live = true
	info.Finished = false
	row, known := s.state.entries.get(info.ID)
	if known && row.Info == info {
		return nil
	}
	cmd := &entryPutCommand{
		Info:            info,
		RetentionMillis: s.cfg.Limits.Records.RetentionMillis,
		Applied:         r.Applied,
	}
	_, err := propose[entryRow](ctx, s, cmd)
	if err == nil {
		level.Info(s.logger).Log("msg", "Entry registered", "entry", info.ID, "incarnation", info.Incarnation, "leaving", info.Leaving)
	}
	return err
}

// release ends the lease of a leaving entry at its request.
func (s *Service) release(ctx context.Context, lead *leadership, r api.RenewRequest) error {
	if err := lead.leases.release(r.Entry, s.cfg.Clock.Now()); err != nil {
		return err
	}
	row, ok := s.state.entries.get(r.Entry.ID)
	if !ok || !row.Info.Live {
		return nil
	}
	return s.expireEntry(ctx, lead, row, r.Finished)
}

// watch handles control.watch.
func (s *Service) watch(ctx context.Context, r api.WatchRequest) (api.WatchResponse, error) {
	var none api.WatchResponse
	if err := checkWait("watch", r.WaitMillis); err != nil {
		return none, err
	}
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	changed := func() bool { return s.state.Revision() != r.From || !s.stillLeading(lead) }
	s.wait(ctx, s.deadline(r.WaitMillis), s.state.viewChanged, changed)
	update := s.state.Update(r.From)
	if err := s.confirmLeading(lead); err != nil {
		return none, err
	}
	return api.WatchResponse{Update: update}, nil
}

// announce handles control.announce. Invalid announcements are dropped.
func (s *Service) announce(ctx context.Context, r api.AnnounceBatch) (api.AnnounceBatchResponse, error) {
	var none api.AnnounceBatchResponse
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	response, err := s.applyBatch(lead, r)
	if err != nil {
		return none, err
	}
	return response, s.confirmLeading(lead)
}

// applyBatch applies the announcements, heartbeats and silent hosts of a batch.
func (s *Service) applyBatch(lead *leadership, r api.AnnounceBatch) (api.AnnounceBatchResponse, error) {
	var none api.AnnounceBatchResponse
	if len(r.Announcements) > s.cfg.Limits.MaxBatch {
		return none, refuse(errs.Invalid, "announce", "%d announcements, the limit is %d", len(r.Announcements), s.cfg.Limits.MaxBatch)
	}
	if len(r.Slots) > 0 && len(r.Slots) != len(r.Announcements) {
		return none, refuse(errs.Invalid, "announce", "%d slots, must be %d, one for each announcement", len(r.Slots), len(r.Announcements))
	}
	heartbeats, err := api.DecodeSlots(r.Heartbeats)
	if err != nil {
		return none, err
	}
	silent, err := api.DecodeSlots(r.Silent)
	if err != nil {
		return none, err
	}
	report := s.livenessReport(lead, r.Entry)
	accepted, changed := s.applyAnnouncements(lead, r.Announcements, report)
	lead.slots.record(r)
	session, returned := s.touchAll(lead, r, heartbeats, report)
	lost := s.markAllSilent(lead, r, silent, report)
	if changed || returned || lost {
		s.requestReconcile()
	}
	return api.AnnounceBatchResponse{Accepted: accepted, Session: session}, nil
}

// markAllSilent marks the hosts that an entry reports as silent. It returns
// whether one of them had counted as alive.
func (s *Service) markAllSilent(lead *leadership, r api.AnnounceBatch, silent []uint64, report livenessReport) (lost bool) {
	if r.Session != lead.term {
		return false
	}
	hosts, _ := lead.slots.resolve(r, silent)
	for _, h := range hosts {
		lost = lead.hosts.markSilent(h, report) || lost
	}
	return lost
}

// touchAll counts the hosts of heartbeats as seen. It returns the session to
// continue, 0 to request whole announcements, and whether a host that had
// counted as lost returned. Heartbeats of another session refer to slots of
// another leader.
func (s *Service) touchAll(lead *leadership, r api.AnnounceBatch, heartbeats []uint64, report livenessReport) (session uint64, returned bool) {
	if r.Session != lead.term {
		return lead.term, false
	}
	hosts, all := lead.slots.resolve(r, heartbeats)
	for _, h := range hosts {
		known, hostReturned := lead.hosts.touch(h, report)
		all = all && known
		returned = returned || hostReturned
	}
	if !all {
		return 0, returned
	}
	return lead.term, returned
}

func (s *Service) applyAnnouncements(lead *leadership, announcements []api.Announcement, report livenessReport) (accepted int, changed bool) {
	dropped := 0
	var first faults.List
	for _, a := range announcements {
		if faults := announcementFaults(lead.hosts, &a); len(faults) > 0 {
			dropped++
			if first == nil {
				first = faults
			}
			continue
		}
		kept, significant := lead.hosts.update(a, report)
		if kept {
			accepted++
		}
		changed = changed || significant
	}
	if dropped > 0 {
		level.Warn(s.logger).Log("msg", "Announcements dropped", "count", dropped, "first", first.Error())
	}
	return accepted, changed
}

// announcementFaults validates an announcement. If only its sequence and load
// differ from the stored one, only those are checked.
func announcementFaults(hosts *hostTable, a *api.Announcement) faults.List {
	row, ok := hosts.get(a.Host)
	if ok && a.Sequence > 0 && a.Running >= 0 && a.Queued >= 0 && row.announcement.Significant() == a.Significant() {
		return nil
	}
	return checker.Check(a)
}

func checkRenew(r api.RenewRequest) error {
	var f faults.List
	if r.Entry.ID == "" || len(r.Entry.ID) > maxNameLength {
		f.Add("entry.id", r.Entry.ID, "of 1 to %d characters", maxNameLength)
	}
	if r.Entry.Incarnation == 0 {
		f.Add("entry.incarnation", r.Entry.Incarnation, "1 or more")
	}
	if r.Release && !r.Entry.Leaving {
		f.Add("release", r.Release, "false for an entry that is not leaving")
	}
	return f.Err("renew lease", "")
}

// maxNameLength is the longest name in a call, in bytes.
const maxNameLength = 64

func checkWait(step string, waitMillis int64) error {
	if waitMillis < 0 {
		return refuse(errs.Invalid, step, "wait_millis = %d: must be 0 or more", waitMillis)
	}
	return nil
}
