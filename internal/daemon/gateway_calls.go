package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/routing"
)

// Announce queues an announcement of a backend server for the control leader. It
// fails with errs.Unavailable while this daemon can't reach the leader, so that the
// server tries another daemon.
func (g *Gateway) Announce(ann api.Announcement) error { return g.agent.Announce(ann) }

// Depart reports that a backend server leaves. It returns once the report is
// replicated.
func (g *Gateway) Depart(ctx context.Context, r api.DepartRequest) error {
	ctx, cancel := context.WithTimeout(ctx, gatewayCallTimeout)
	defer cancel()
	return g.leader.Call(ctx, api.MethodDepart, r, &api.Empty{})
}

// Incarnation returns the newest incarnation of a backend server that control knows. It is
// 0 while the leader is an older daemon, which can't tell.
func (g *Gateway) Incarnation(ctx context.Context, host api.HostID) (api.Incarnation, error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayCallTimeout)
	defer cancel()
	var response api.IncarnationResponse
	err := g.leader.Call(ctx, api.MethodIncarnation, api.IncarnationRequest{Host: host}, &response)
	if errs.Is(err, errs.NotFound) {
		return 0, nil
	}
	return response.Incarnation, err
}

// Publish validates a publication and stores it unless a version at least as high is
// stored. An invalid one fails with errs.Invalid and all of its faults.
func (g *Gateway) Publish(ctx context.Context, p api.Publication, source []byte) (api.PublishResponse, error) {
	var response api.PublishResponse
	if err := routing.Check(&p).Err("check publication", ""); err != nil {
		level.Warn(g.logger).Log("msg", "Invalid publication rejected", "version", p.Version, "err", err)
		return response, err
	}
	request, err := packRequest(&p, source)
	if err != nil {
		return response, err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*gatewayCallTimeout)
	defer cancel()
	started := time.Now()
	err = g.leader.Call(ctx, api.MethodPublish, request, &response)
	if err != nil {
		level.Warn(g.logger).Log("msg", "Publication not acknowledged", "version", p.Version, "routes", len(p.Routes),
			"source_bytes", len(source), "took", time.Since(started), "leader", g.leader.Leader(), "err", err)
	}
	return response, err
}

// packRequest compresses a publication and its source.
func packRequest(p *api.Publication, source []byte) (api.PublishRequest, error) {
	packed, err := routing.Pack(p)
	if err != nil {
		return api.PublishRequest{}, err
	}
	return api.PublishRequest{Publication: packed, ServingGroups: p.ServingGroups(), Source: routing.Compress(source)}, nil
}

// Publication returns the publication in force by a linearizable read, with its source as
// the operator sent it.
func (g *Gateway) Publication(ctx context.Context) (api.PublicationResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayCallTimeout)
	defer cancel()
	var response api.PublicationResponse
	err := g.leader.Call(ctx, api.MethodPublication, api.Empty{}, &response)
	if err != nil {
		level.Warn(g.logger).Log("msg", "Reading the publication failed", "leader", g.leader.Leader(), "err", err)
		return response, err
	}
	response.Source, err = routing.Decompress(response.Source)
	return response, err
}

// DomainPrecondition returns what the next change of a failure domain rests on: the
// changes before it. It is zero while the leader is an older daemon, which knows none.
func (g *Gateway) DomainPrecondition(ctx context.Context, name api.FailureDomain) (api.DomainPrecondition, error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayCallTimeout)
	defer cancel()
	var response api.DomainPrecondition
	err := g.leader.Call(ctx, api.MethodDomainPrecondition, api.DomainPreconditionRequest{Name: name}, &response)
	if errs.Is(err, errs.NotFound) {
		return api.DomainPrecondition{}, nil
	}
	if err != nil {
		level.Warn(g.logger).Log("msg", "Reading the failure domain failed", "domain", name, "leader", g.leader.Leader(), "err", err)
	}
	return response, err
}

// SetDomain sets the state of a failure domain. It fails with errs.Stale if the domain
// or the leader has changed since the precondition was read.
func (g *Gateway) SetDomain(ctx context.Context, domain api.Domain, operator string, p api.DomainPrecondition) error {
	ctx, cancel := context.WithTimeout(ctx, gatewayCallTimeout)
	defer cancel()
	request := api.DomainRequest{Domain: domain, Operator: operator, Precondition: &p}
	err := g.leader.Call(ctx, api.MethodDomain, request, &api.DomainResponse{})
	if errs.Is(err, errs.Invalid) {
		// An older leader refuses the field. A precondition of another leader has passed.
		if p != (api.DomainPrecondition{}) {
			return errs.New(errs.Stale, "set domain", string(domain.Name), "the leader has changed")
		}
		request.Precondition = nil
		err = g.leader.Call(ctx, api.MethodDomain, request, &api.DomainResponse{})
	}
	if err != nil {
		level.Warn(g.logger).Log("msg", "Setting the failure domain failed", "domain", domain.Name, "state", domain.State,
			"precondition", p, "leader", g.leader.Leader(), "err", err)
	}
	return err
}

// Entries returns the caller addresses of the entries that accept requests, those in
// the given failure domain first. It is empty before the first view.
func (g *Gateway) Entries(domain api.FailureDomain) []string {
	var local, remote []string
	seen := make(map[string]bool)
	for _, e := range g.state.Snapshot().Entries {
		if !e.Live || e.Leaving || seen[e.CallerAddress] {
			continue
		}
		seen[e.CallerAddress] = true
		if e.Domain == domain {
			local = append(local, e.CallerAddress)
			continue
		}
		remote = append(remote, e.CallerAddress)
	}
	return append(local, remote...)
}

// Ready returns the reason why the daemon is not ready, or nil.
func (g *Gateway) Ready() error {
	const step = "check readiness"
	switch {
	case g.isStopping():
		return errs.New(errs.Unavailable, step, "", "the daemon is shutting down")
	case g.ingress != nil && !g.ingress.Ready():
		return errs.New(errs.Unavailable, step, "", "no publication is known")
	case g.control != nil && g.control.log.Status().Leader == "":
		return errs.New(errs.Unavailable, step, "", "no control leader is known")
	}
	return nil
}
