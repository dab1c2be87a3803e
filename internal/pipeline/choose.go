package pipeline

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
)

// choose selects the backend server of this attempt from the newest view.
type choose struct{ *Server }

func (f choose) apply(c *call) error {
	c.snapshot = f.cfg.State.Snapshot()
	if c.kind == callService && !c.target.granted {
		return f.chooseServer(c)
	}
	if c.isModel() {
		if err := f.recheckQuarantine(c); err != nil {
			return err
		}
	}
	return f.checkReplica(c)
}

// checkReplica checks that the granted replica is still ready and has the same
// fencing.
func (f choose) checkReplica(c *call) error {
	g := c.snapshot.Group(c.target.grant.Group)
	if g == nil || g.Fencing != c.target.grant.Fencing || g.Phase != api.GroupReady {
		return &attemptError{cause: errors.New("the replica changed after the grant")}
	}
	c.target.resume = g.Capabilities.Resume
	return nil
}

// chooseServer takes the next server of the service in rotation, preferring this
// entry's failure domain.
func (f choose) chooseServer(c *call) error {
	candidates, others := f.serversWithoutGrant(c)
	if len(candidates) == 0 {
		candidates = others
	}
	if len(candidates) == 0 {
		return unavailable("no_server", "no server of the service can take the call now", nil)
	}
	srv := candidates[f.nextServer.Add(1)%uint64(len(candidates))]
	c.target = target{address: srv.Address, host: srv.Host}
	return nil
}

// serversWithoutGrant returns the servers that may take the call without a
// grant: those of this entry's failure domain, and the others.
func (s *Server) serversWithoutGrant(c *call) (own, others []*api.ServiceServer) {
	for i := range c.snapshot.Servers {
		srv := &c.snapshot.Servers[i]
		if srv.Service != c.service.name || !mayServe(c, srv) {
			continue
		}
		if srv.Domain == s.cfg.Self.Domain {
			own = append(own, srv)
			continue
		}
		others = append(others, srv)
	}
	return own, others
}

func mayServe(c *call, srv *api.ServiceServer) bool {
	return !srv.Limited() && !srv.Leaving && !c.snapshot.Drained(srv.Domain) && !slices.Contains(c.service.excluded, srv.Host)
}
