package control

import (
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// viewCache keeps the sorted views until the next command.
type viewCache struct {
	mu     sync.Mutex
	viewed *api.View
	fleets *api.FleetView
}

func (c *viewCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.viewed = nil
	c.fleets = nil
}

func (c *viewCache) view(build func() api.View) api.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.viewed == nil {
		v := build()
		c.viewed = &v
	}
	return *c.viewed
}

func (c *viewCache) fleet(build func() api.FleetView) api.FleetView {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleets == nil {
		f := build()
		c.fleets = &f
	}
	return *c.fleets
}
