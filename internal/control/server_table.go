package control

import "github.com/crocusway/crocusway/internal/api"

// serversCommand changes the replicated backend servers of plain services.
type serversCommand struct {
	Put    []api.ServiceServer `cbor:"1,keyasint,omitempty"`
	Remove []api.HostID        `cbor:"2,keyasint,omitempty"`
}

func (*serversCommand) kind() commandKind { return kindServers }

func (c *serversCommand) apply(t *tx) (any, error) {
	for _, server := range c.Put {
		if old, ok := t.servers.get(server.Host); ok && old == server {
			continue
		}
		t.servers.put(server.Host, server)
		t.markChanged(tableServers, string(server.Host))
	}
	for _, host := range c.Remove {
		if _, ok := t.servers.get(host); !ok {
			continue
		}
		t.servers.del(host)
		t.markChanged(tableServers, string(host))
	}
	return api.Empty{}, nil
}
