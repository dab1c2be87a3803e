package pipeline

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
)

// choose fixes the backend server of this attempt by the newest view.
type choose struct{ *Server }

func (f choose) apply(c *call) error {
	c.snapshot = f.cfg.State.Snapshot()
	if c.kind == callService && !c.target.granted {
		return f.server(c)
	}
	if c.isModel() {
		if err := f.judgeAgain(c); err != nil {
			return err
		}
	}
	return f.replica(c)
}

// replica checks that the granted replica still is what was granted.
func (f choose) replica(c *call) error {
	g := c.snapshot.Group(c.target.grant.Group)
	if g == nil || g.Fencing != c.target.grant.Fencing || g.Phase != api.GroupReady {
		return &attemptError{cause: errors.New("the replica changed after the grant")}
	}
	c.target.resume = g.Capabilities.Resume
	return nil
}

// server takes the next server of the service, of the own failure domain if it
// has one.
func (f choose) server(c *call) error {
	own, others := f.freeServers(c)
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return unavailable("no_server", "no server of the service can take the call now", nil)
	}
	srv := own[f.next.Add(1)%uint64(len(own))]
	c.target = target{address: srv.Address, host: srv.Host}
	return nil
}

// freeServers lists the servers that may take the call without a grant, those
// of the own failure domain apart.
func (s *Server) freeServers(c *call) (own, others []*api.ServiceServer) {
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
