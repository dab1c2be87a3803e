package pipeline

import (
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/shard"
)

// admit waits for a place: a grant of a replica, or a free place in the calls
// to a plain service.
type admit struct{ *Server }

func (f admit) apply(c *call) error {
	if c.kind == callService {
		return f.service(c)
	}
	return f.model(c)
}

func (f admit) service(c *call) error {
	if c.service.entered {
		return nil
	}
	if !f.limits.enter(c.service.name) {
		return unavailable("service_busy", "too many calls to the service are in progress", nil)
	}
	c.service.entered = true
	return nil
}

func (f admit) model(c *call) error {
	var last error
	for _, sg := range f.cfg.State.Snapshot().Model(c.generation.model) {
		g, err := f.acquire(c, sg.Name)
		if err == nil {
			c.target = target{grant: g, granted: true, address: g.Address}
			return nil
		}
		last = err
	}
	return admitRefusal(last)
}

func (f admit) acquire(c *call, name api.ServingGroupName) (api.Grant, error) {
	wait := c.deadline.Sub(f.cfg.Clock.Now())
	if !c.hasBegun() {
		wait = min(wait, f.cfg.Settings.QueueWait)
	}
	return f.cfg.Grants.Acquire(c.ctx, shard.Request{
		ServingGroup: name,
		ID:           c.id,
		Account:      c.account.ID,
		PrefixHashes: c.generation.blocks,
		Wait:         wait,
		Exclude:      c.excluded,
		Alone:        c.alone,
		Revocable:    c.generation.stream || !c.takenBack,
		Resumed:      c.hasBegun(),
	})
}

// admitRefusal refuses a call that got no grant.
func admitRefusal(err error) *refusal {
	if errs.Is(err, errs.Full) {
		r := unavailable("overloaded", "no replica became free in time", err)
		r.status = fasthttp.StatusTooManyRequests
		return r
	}
	return unavailable("no_replica", "no replica of the model can serve now", err)
}
