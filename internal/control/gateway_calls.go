package control

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// departureRetention is how long a departure is kept: far longer than the delay
// of a late heartbeat of a server that has left.
const departureRetention = 2 * time.Minute

// publish handles control.publish. The publication has been validated by the
// daemon that received it from the operator. A stored or superseded version is
// acknowledged without a command, and a version in progress is proposed once: operators
// resend what was not acknowledged in time, and each copy in the log would delay it more.
func (s *Service) publish(ctx context.Context, r api.PublishRequest) (api.PublishResponse, error) {
	var none api.PublishResponse
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	if row := s.state.publication.load(); row != nil && r.Publication.Version <= row.Publication.Version {
		response := api.PublishResponse{Stored: row.Publication.Version, Revision: s.state.Revision()}
		return response, s.confirmLeading(lead)
	}
	call := lead.publishing.DoChan(strconv.FormatUint(r.Publication.Version, 10), func() (any, error) {
		return s.proposePublication(lead, r)
	})
	select {
	case result := <-call:
		if result.Err != nil {
			return none, result.Err
		}
		return result.Val.(api.PublishResponse), nil
	case <-ctx.Done():
		return none, errs.New(errs.Timeout, "publish", "", "outcome unknown: %w", ctx.Err())
	}
}

// proposePublication commits a publication. It does not end with the call that started
// it, so that a resend can wait for it.
func (s *Service) proposePublication(lead *leadership, r api.PublishRequest) (api.PublishResponse, error) {
	started := s.cfg.Clock.Now()
	cmd := &publishCommand{publicationRow{Publication: r.Publication, ServingGroups: r.ServingGroups, Source: r.Source}}
	response, err := propose[api.PublishResponse](lead.ctx, s, cmd)
	took := s.cfg.Clock.Now().Sub(started)
	if err != nil {
		level.Warn(s.logger).Log("msg", "Publication not committed", "version", r.Publication.Version, "term", lead.term,
			"bytes", len(r.Publication.Data)+len(r.Source), "took", took, "err", err)
		return api.PublishResponse{}, err
	}
	s.requestReconcile()
	level.Info(s.logger).Log("msg", "Publication processed", "version", r.Publication.Version, "stored", response.Stored,
		"changed", response.Changed, "revision", response.Revision, "term", lead.term,
		"bytes", len(r.Publication.Data)+len(r.Source), "took", took)
	return response, nil
}

// publicationInForce handles control.publication, a linearizable read.
func (s *Service) publicationInForce(ctx context.Context, _ api.Empty) (api.PublicationResponse, error) {
	var none api.PublicationResponse
	lead, err := s.lead(ctx)
	if err != nil {
		return none, err
	}
	if err := s.log.ReadBarrier(ctx); err != nil {
		return none, errs.Wrap(err, "read publication", "")
	}
	row := s.state.publication.load()
	if err := s.confirmLeading(lead); err != nil {
		return none, err
	}
	if row == nil {
		return none, nil
	}
	return api.PublicationResponse{Version: row.Publication.Version, Source: row.Source}, nil
}

// depart handles control.depart. It returns once the departure is replicated: a
// new leader must know of it even if the server no longer announces itself.
func (s *Service) depart(ctx context.Context, r api.DepartRequest) (api.Empty, error) {
	lead, err := s.lead(ctx)
	if err != nil {
		return api.Empty{}, err
	}
	if r.Incarnation == 0 {
		r.Incarnation = s.currentIncarnation(lead, r.Host)
	}
	old, known := s.state.departures.get(r.Host)
	if !known || old.Incarnation < r.Incarnation {
		cmd := &departCommand{Host: r.Host, Incarnation: r.Incarnation, RetentionMillis: departureRetention.Milliseconds()}
		if _, err := propose[api.Empty](ctx, s, cmd); err != nil {
			return api.Empty{}, err
		}
		level.Info(s.logger).Log("msg", "Backend server departing", "host", r.Host, "incarnation", r.Incarnation, "final", r.Final)
	}
	lead.hosts.depart(r.Host, r.Incarnation)
	s.requestReconcile()
	return api.Empty{}, s.confirmLeading(lead)
}

// incarnation handles control.incarnation.
func (s *Service) incarnation(ctx context.Context, r api.IncarnationRequest) (api.IncarnationResponse, error) {
	lead, err := s.lead(ctx)
	if err != nil {
		return api.IncarnationResponse{}, err
	}
	return api.IncarnationResponse{Incarnation: s.currentIncarnation(lead, r.Host)}, s.confirmLeading(lead)
}

// currentIncarnation is used for a host that departs without naming its
// incarnation. It is the announced one, or else the current Unix time in
// milliseconds, which covers any incarnation started by now.
func (s *Service) currentIncarnation(lead *leadership, host api.HostID) api.Incarnation {
	if row, ok := lead.hosts.get(host); ok {
		return row.announcement.Incarnation
	}
	return api.Incarnation(s.cfg.Clock.Now().UnixMilli())
}

// progress handles control.progress.
func (s *Service) progress(ctx context.Context, r api.ProgressReport) (api.Empty, error) {
	lead, err := s.lead(ctx)
	if err != nil {
		return api.Empty{}, err
	}
	if lead.progress.update(r, s.cfg.Clock.Now()) {
		s.requestReconcile()
	}
	return api.Empty{}, nil
}
