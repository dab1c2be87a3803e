package control

import (
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// viewCache caches the sorted views until the next command.
type viewCache struct {
	mu          sync.Mutex
	cachedView  *api.View
	cachedFleet *api.FleetView
}

func (c *viewCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedView = nil
	c.cachedFleet = nil
}

func (c *viewCache) view(build func() api.View) api.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cachedView == nil {
		v := build()
		c.cachedView = &v
	}
	return *c.cachedView
}

func (c *viewCache) fleet(build func() api.FleetView) api.FleetView {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cachedFleet == nil {
		f := build()
		c.cachedFleet = &f
	}
	return *c.cachedFleet
}
