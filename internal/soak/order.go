package soak

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// order is an order of control to an engine.
type order struct {
	Op      string   `json:"op"`
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
	Fence   uint64   `json:"fence"`
}

func (s *server) order(ctx *fasthttp.RequestCtx, k fault) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if k == faultLate {
		s.mu.Lock()
		born := s.born
		s.mu.Unlock()
		time.AfterFunc(time.Duration(1+rand.IntN(4))*time.Second, func() { s.applyLate(o, born) })
		s.waitForCaller(ctx)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx.SetStatusCode(s.apply(o))
}

// applyLate carries out an order after newer ones, unless the server has restarted.
func (s *server) applyLate(o order, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.born == born {
		s.oracle.count("orders applied late")
		s.apply(o)
	}
}

// apply carries out an order and returns the status. fleet.mu is held.
func (s *server) apply(o order) int {
	if o.Fence < s.fence {
		return fasthttp.StatusPreconditionFailed
	}
	s.fence = o.Fence
	fits := s.group != nil && s.group.Name == o.Group && s.group.Epoch == o.Epoch
	switch o.Op {
	case "stage":
		return fasthttp.StatusOK
	case "join":
		return s.join(o, fits)
	case "open", "leave", "close":
		if !fits {
			return fasthttp.StatusConflict
		}
	default:
		return fasthttp.StatusBadRequest
	}
	switch {
	case o.Op == "leave":
		s.group = nil
	case s.group.State == "joining" || s.group.State == "broken":
		return fasthttp.StatusConflict
	case o.Op == "close":
		s.group.State = "ready"
	case s.group.Rank == 0:
		s.group.State = "open"
	}
	return fasthttp.StatusAccepted
}

// join takes the server into a group. fleet.mu is held.
func (s *server) join(o order, fits bool) int {
	g := &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, s.id), State: "joining", members: o.Members}
	switch {
	case fits && s.group.key() == g.key():
		return fasthttp.StatusOK
	case fits || o.Epoch < s.epoch:
		return fasthttp.StatusPreconditionFailed
	case g.Rank < 0:
		return fasthttp.StatusBadRequest
	}
	if old := s.group; old != nil {
		head := s.servers[old.members[0]]
		if head != nil && head != s && head.group != nil && head.group.key() == old.key() && head.group.State == "open" &&
			head.fault != faultHang && head.fault != faultClose {
			s.oracle.violation("TWO: %s joins %s while the head of its group %s is open", s.id, g.key(), old.key())
		}
	}
	s.group, s.epoch, s.brokenAt = g, o.Epoch, time.Time{}
	time.AfterFunc(joinTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.group != g {
			return
		}
		s.becomeReady(g)
	})
	return fasthttp.StatusAccepted
}

// becomeReady ends the join of a group. fleet.mu is held.
func (s *server) becomeReady(g *membership) {
	g.State = "ready"
	if s.everReady[s.id] == nil {
		s.everReady[s.id] = make(map[string]bool)
	}
	s.everReady[s.id][g.key()] = true
}

// isWhole reports whether each member of a head's group is in it. fleet.mu is held.
func (s *server) isWhole() bool {
	for _, id := range s.group.members {
		m := s.servers[id]
		if m == nil || m.group == nil || m.group.key() != s.group.key() || m.fault == faultHang || m.fault == faultClose {
			return false
		}
	}
	return true
}

// breakIfIncomplete breaks the replica of a head whose member has been lost for
// stallTime. It reports whether the replica makes progress. fleet.mu is held.
func (s *server) breakIfIncomplete() bool {
	if s.group.Rank != 0 || s.group.State != "open" {
		return false
	}
	if s.isWhole() {
		s.brokenAt = time.Time{}
		return true
	}
	if s.brokenAt.IsZero() {
		s.brokenAt = time.Now().Add(stallTime)
	}
	if time.Now().After(s.brokenAt) {
		s.group.State = "broken"
	}
	return false
}
