package pipeline

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/shard"
)

// admit acquires capacity: a grant of a replica, or for a plain service a slot
// in its limit of concurrent calls and a grant if only limited servers are left.
type admit struct{ *Server }

func (f admit) apply(c *call) error {
	if c.kind == callService {
		return f.service(c)
	}
	return f.model(c)
}

func (f admit) service(c *call) error {
	if err := f.acquireServiceSlot(c); err != nil {
		return err
	}
	return f.acquireServer(c)
}

// acquireServiceSlot takes a slot in this entry's limit of concurrent calls to
// the service.
func (f admit) acquireServiceSlot(c *call) error {
	if c.service.slotHeld {
		return nil
	}
	if !f.limits.acquire(c.service.name) {
		return unavailable("service_busy", "too many calls to the service are in progress", nil)
	}
	c.service.slotHeld = true
	return nil
}

// acquireServer takes a grant of a server with limited capacity, unless another
// server can take the call without one.
func (f admit) acquireServer(c *call) error {
	c.snapshot = f.cfg.State.Snapshot()
	own, others := f.serversWithoutGrant(c)
	name := api.ServiceShards(c.service.name)
	if len(own)+len(others) > 0 || !c.snapshot.HasShard(name) {
		return nil
	}
	wait := min(c.deadline.Sub(f.cfg.Clock.Now()), f.cfg.Settings.QueueWait)
	if err := f.acquire(c, name, wait); err != nil {
		return serverRefusal(err)
	}
	return nil
}

// serverRefusal refuses a call to a plain service that got no grant.
func serverRefusal(err error) *refusal {
	if errs.Is(err, errs.Full) {
		return unavailable("service_busy", "no server of the service became free in time", err)
	}
	return unavailable("no_server", "no server of the service can take the call now", err)
}

func (f admit) model(c *call) error {
	wait := c.deadline.Sub(f.cfg.Clock.Now())
	if !c.hasProgress() {
		// A grant that leaves less time than the estimated run is wasted.
		wait = min(wait-f.runTimes.estimate(c.generation.model, c.generation.tokens), f.cfg.Settings.QueueWait)
		if wait <= 0 {
			return deadlineRefusal()
		}
	}
	groups := f.cfg.State.Snapshot().Model(c.generation.model)
	if len(groups) == 0 {
		return unavailable("no_replica", "no serving group has the model any more", nil)
	}
	if len(groups) > 1 && f.acquireAny(c, groups) {
		return nil
	}
	if err := f.acquire(c, groups[0].Name, wait); err != nil {
		return admitRefusal(err)
	}
	return nil
}

// acquireAny tries every serving group of the model without waiting.
func (f admit) acquireAny(c *call, groups []*api.ServingGroup) bool {
	for _, sg := range groups {
		if f.acquire(c, sg.Name, 0) == nil {
			return true
		}
	}
	return false
}

// acquire makes a grant of one serving group the target of the call.
func (f admit) acquire(c *call, name api.ServingGroupName, wait time.Duration) error {
	g, err := f.cfg.Grants.Acquire(c.ctx, shard.Request{
		ServingGroup: name,
		ID:           c.id,
		Account:      c.account.ID,
		PrefixHashes: c.generation.blocks,
		Wait:         wait,
		Exclude:      c.excluded,
		Alone:        c.alone,
		Revocable:    c.isModel() && (c.generation.stream || !c.interrupted),
		Resumed:      c.hasProgress(),
	})
	if err != nil {
		return err
	}
	c.target = target{grant: g, granted: true, address: g.Address}
	return nil
}

// deadlineRefusal refuses a call that cannot finish before its deadline.
func deadlineRefusal() *refusal {
	r := unavailable("deadline", "the model takes longer than the time that is left", nil)
	r.status = fasthttp.StatusTooManyRequests
	return r
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
