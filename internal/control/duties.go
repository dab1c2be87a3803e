package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// dutyTimeout bounds one round of leader duties.
	dutyTimeout = 2 * time.Second
	// slowInterval is the time between two rounds of slow duties.
	slowInterval = time.Second
	// expireBatch bounds the records that one command deletes.
	expireBatch = 1000
)

// tick runs one round of duties if this voter leads, and wakes waiting calls so
// that they check their deadlines.
func (s *Service) tick(ctx context.Context) {
	s.tickMu.Lock()
	defer s.tickMu.Unlock()
	defer s.ticks.wake()
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	lead, err := s.leadNow(ctx)
	if err != nil {
		return
	}
	s.expireEntries(ctx, lead)
	if !s.cfg.DisableShardLeases {
		s.assignShards(ctx)
	}
	s.syncServers(ctx, lead)
	s.expire(ctx)
	now := s.cfg.Clock.Now()
	lead.revisions.add(now, s.state.Revision(), now.Add(-s.cfg.LeaseDuration))
	// Every step of a replacement is a round of its own, and until the last one
	// control does not bear a further loss.
	s.manageMembers(ctx, lead)
	s.slowDuties(ctx, lead, now)
}

// slowDuties runs the duties that need at most one round a second. The caller
// holds tickMu.
func (s *Service) slowDuties(ctx context.Context, lead *leadership, now time.Time) {
	if now.Sub(lead.lastSlowRound) < slowInterval {
		return
	}
	lead.lastSlowRound = now
	s.stretchLeases(ctx, lead, now)
	s.measure(ctx, lead)
	lead.hosts.evict(now, s.isAssigned)
	lead.progress.evict(s.groupExists)
}

func (s *Service) groupExists(id api.GroupID) bool {
	_, ok := s.state.groups.get(id)
	return ok
}

// markDepartures marks the hosts whose departure is replicated as leaving.
func (s *Service) markDepartures(hosts []api.HostStatus) {
	for i := range hosts {
		a := &hosts[i].Announcement
		if d, ok := s.state.departures.get(a.Host); ok && a.Incarnation <= d.Incarnation {
			a.Leaving = true
		}
	}
}

func (s *Service) isAssigned(host api.HostID) bool {
	_, ok := s.state.assignments.get(host)
	return ok
}

// logFailure logs a failed duty, which the next round retries.
func (s *Service) logFailure(duty string, err error) {
	if err != nil {
		level.Warn(s.logger).Log("msg", "Duty failed", "duty", duty, "err", err)
	}
}

// expireEntries expires the entries whose work lease has run out.
func (s *Service) expireEntries(ctx context.Context, lead *leadership) {
	lead.leases.endExpiries(s.isLive)
	for _, row := range s.state.entries.list() {
		if !row.Info.Live || !lead.leases.beginExpiry(row.Info.ID, s.cfg.Clock.Now()) {
			continue
		}
		s.logFailure("expire entry", s.expireEntry(ctx, lead, row, false))
	}
}

// expireEntry commits the end of a lease. When the outcome is unknown the lease
// stays marked, so that it can't be renewed, until the next round finds the
// entry not live or tries again.
func (s *Service) expireEntry(ctx context.Context, lead *leadership, row entryRow, finished bool) error {
	cmd := &entryExpireCommand{
		ID:              row.Info.ID,
		Registered:      row.Registered,
		RetentionMillis: s.cfg.Limits.Records.RetentionMillis,
		Term:            lead.term,
		Finished:        finished,
	}
	if _, err := propose[entryRow](ctx, s, cmd); err != nil {
		return err
	}
	lead.leases.endExpiries(s.isLive)
	s.renewed.wake()
	level.Info(s.logger).Log("msg", "Entry lease ended", "entry", row.Info.ID, "incarnation", row.Info.Incarnation)
	return nil
}

// isLive reports whether an entry is registered as live.
func (s *Service) isLive(id api.EntryID) bool {
	row, ok := s.state.entries.get(id)
	return ok && row.Info.Live
}

// assignShards leases the shards without an eligible owner.
func (s *Service) assignShards(ctx context.Context) {
	cmd := assignShards(s.state.View())
	if len(cmd.Assign) == 0 && len(cmd.Remove) == 0 {
		return
	}
	_, err := propose[api.Empty](ctx, s, &cmd)
	s.logFailure("assign shards", err)
}

// syncServers updates the replicated service servers from the announcements.
func (s *Service) syncServers(ctx context.Context, lead *leadership) {
	cmd := diffServers(s.state.View().Servers, lead.hosts, s.cfg.Clock.Now())
	if len(cmd.Put) == 0 && len(cmd.Remove) == 0 {
		return
	}
	_, err := propose[api.Empty](ctx, s, &cmd)
	s.logFailure("update service servers", err)
}

// diffServers returns the command that makes servers match the live hosts. A
// server that has not announced itself to this leader is kept for the detection
// bound after assumedSeen.
func diffServers(servers []api.ServiceServer, hosts *hostTable, now time.Time) serversCommand {
	var cmd serversCommand
	known := make(map[api.HostID]api.ServiceServer, len(servers))
	for _, server := range servers {
		known[server.Host] = server
		row, ok := hosts.get(server.Host)
		seen := hosts.assumedSeen()
		if ok {
			seen = row.seen
		}
		if !hosts.alive(seen, now) || (ok && row.announcement.Kind != api.BackendService) {
			cmd.Remove = append(cmd.Remove, server.Host)
		}
	}
	for _, status := range hosts.services(now) {
		server := serverOf(status.Announcement)
		if old, ok := known[server.Host]; !ok || old != server {
			cmd.Put = append(cmd.Put, server)
		}
	}
	return cmd
}

func serverOf(a api.Announcement) api.ServiceServer {
	server := api.ServiceServer{
		Host:         a.Host,
		Service:      a.Service,
		Domain:       a.Domain,
		Address:      a.Address,
		Leaving:      a.Leaving,
		BearableLoad: a.BearableLoad,
		WarmLoad:     a.WarmLoad,
	}
	server.Slots = a.Slots
	if server.Limited() || a.Slots > 0 {
		server.Incarnation = a.Incarnation
		server.Warm = a.Warm
	}
	return server
}

// expire deletes records, quarantines and entries whose retention is over.
func (s *Service) expire(ctx context.Context) {
	retention := s.cfg.Limits.EntryRetention.Milliseconds()
	if !s.state.hasExpired(s.cfg.Clock.Now().UnixMilli(), retention) {
		return
	}
	_, err := propose[api.Empty](ctx, s, &expireCommand{MaxRecords: expireBatch, EntryRetentionMillis: retention})
	s.logFailure("expire", err)
}

// measure samples group downtime, stranded hosts and non-serving hosts.
func (s *Service) measure(ctx context.Context, lead *leadership) {
	fleet := s.fleet(lead)
	now := s.cfg.Clock.Now()
	amount := lead.measures.sample(now, &fleet)
	s.metrics.downtime.Add(ctx, amount.downtime)
	s.metrics.stranded.Add(ctx, amount.stranded)
	s.metrics.notServing.Add(ctx, amount.notServing)
}
