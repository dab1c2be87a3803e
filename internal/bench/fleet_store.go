package bench

import (
	"cmp"
	"context"
	"slices"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// FleetStore is a stand-in for the replicated state of groups: one copy in
// memory, with the checks of api.GroupChange. It is not safe for concurrent
// use.
type FleetStore struct {
	Revision      api.Revision
	ServingGroups []api.ServingGroup
	Domains       []api.Domain
	Weights       api.Weights
	groups        map[api.GroupID]*api.Group
	assignments   map[api.HostID]*api.Assignment
	// OnChange, when set, is called with each change before it is applied.
	OnChange func(c api.GroupChange)
	// sortedGroups and sortedHosts are valid until the next change.
	sortedGroups []api.Group
	sortedHosts  []api.Assignment
}

// NewFleetStore returns a store without groups.
func NewFleetStore(sgs ...api.ServingGroup) *FleetStore {
	return &FleetStore{
		ServingGroups: sgs,
		groups:        make(map[api.GroupID]*api.Group),
		assignments:   make(map[api.HostID]*api.Assignment),
	}
}

// Groups returns the groups, sorted by identifier. The caller must not change
// them.
func (s *FleetStore) Groups() []api.Group {
	if s.sortedGroups != nil {
		return s.sortedGroups
	}
	out := make([]api.Group, 0, len(s.groups))
	for _, g := range s.groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b api.Group) int { return cmp.Compare(a.ID, b.ID) })
	s.sortedGroups = out
	return out
}

// Assignments returns the assignments, sorted by host. The caller must not
// change them.
func (s *FleetStore) Assignments() []api.Assignment {
	if s.sortedHosts != nil {
		return s.sortedHosts
	}
	out := make([]api.Assignment, 0, len(s.assignments))
	for _, a := range s.assignments {
		out = append(out, *a)
	}
	slices.SortFunc(out, func(a, b api.Assignment) int { return cmp.Compare(a.Host, b.Host) })
	s.sortedHosts = out
	return out
}

// Assignment returns the assignment of a host, or nil.
func (s *FleetStore) Assignment(id api.HostID) *api.Assignment { return s.assignments[id] }

// Group returns a group, or nil.
func (s *FleetStore) Group(id api.GroupID) *api.Group { return s.groups[id] }

// ChangeGroup applies one change.
func (s *FleetStore) ChangeGroup(_ context.Context, c api.GroupChange) (api.GroupChangeResult, error) {
	if err := s.apply(&c); err != nil {
		return api.GroupChangeResult{}, err
	}
	res := api.GroupChangeResult{Revision: s.Revision}
	if g := s.groups[c.Group.ID]; g != nil {
		res.Group = *g
	}
	return res, nil
}

func (s *FleetStore) apply(c *api.GroupChange) error {
	switch c.Kind {
	case api.GroupForm:
		return s.form(c)
	case api.GroupFree:
		return s.free(c)
	case api.GroupReform, api.GroupRelease, api.GroupSetPhase, api.GroupUpdate:
	default:
		return errs.New(errs.Invalid, "change group", "", "unknown kind %q", c.Kind)
	}
	g := s.groups[c.Group.ID]
	if g == nil || g.Fencing != c.Fencing {
		return errs.New(errs.Stale, "change group", "", "group %s is not at fencing number %d", c.Group.ID, c.Fencing)
	}
	if g.Phase == api.GroupReleasing {
		return errs.New(errs.Conflict, "change group", "", "group %s is releasing", c.Group.ID)
	}
	return s.changeExisting(c, g)
}

func (s *FleetStore) changeExisting(c *api.GroupChange, g *api.Group) error {
	if c.Kind == api.GroupReform {
		return s.reform(c, g)
	}
	s.commit(c)
	switch c.Kind {
	case api.GroupSetPhase:
		g.Phase = c.Group.Phase
	case api.GroupUpdate:
		setAttributes(g, &c.Group)
	case api.GroupRelease:
		g.Phase, g.Fencing = api.GroupReleasing, s.fencing()
		for _, id := range g.Members {
			s.releaseHost(id, g)
		}
	case api.GroupForm, api.GroupReform, api.GroupFree:
	}
	return nil
}

func setAttributes(g, to *api.Group) {
	g.Address, g.Warm, g.Leaving = to.Address, to.Warm, to.Leaving
	g.BearableLoad, g.WarmLoad = to.BearableLoad, to.WarmLoad
	g.Capabilities = to.Capabilities
}

// commit accepts a change: it calls OnChange and increments the revision.
func (s *FleetStore) commit(c *api.GroupChange) {
	if s.OnChange != nil {
		s.OnChange(*c)
	}
	s.Revision++
	s.sortedGroups, s.sortedHosts = nil, nil
}

// fencing returns the fencing number of the change being applied.
func (s *FleetStore) fencing() api.Fencing { return api.Fencing(s.Revision) }

func (s *FleetStore) releaseHost(id api.HostID, g *api.Group) {
	if a := s.assignments[id]; a != nil && a.Group == g.ID {
		a.Releasing, a.Fencing = true, g.Fencing
	}
}

func (s *FleetStore) form(c *api.GroupChange) error {
	if s.groups[c.Group.ID] != nil {
		return errs.New(errs.Conflict, "change group", "", "group %s exists", c.Group.ID)
	}
	if err := s.checkFree(c.Group.Members, ""); err != nil {
		return err
	}
	s.commit(c)
	g := c.Group
	g.Phase, g.Fencing = api.GroupLoading, s.fencing()
	s.groups[g.ID] = &g
	s.assign(&g)
	return nil
}

// checkFree returns a conflict for hosts that are releasing or assigned to a
// group other than self.
func (s *FleetStore) checkFree(members []api.HostID, self api.GroupID) error {
	for _, id := range members {
		a := s.assignments[id]
		if a != nil && (a.Group != self || a.Releasing) {
			return errs.New(errs.Conflict, "change group", "", "host %s is not free", id)
		}
	}
	return nil
}

func (s *FleetStore) assign(g *api.Group) {
	for _, id := range g.Members {
		s.assignments[id] = &api.Assignment{Host: id, Group: g.ID, Fencing: g.Fencing}
	}
}

func (s *FleetStore) reform(c *api.GroupChange, g *api.Group) error {
	if err := s.checkFree(c.Group.Members, g.ID); err != nil {
		return err
	}
	s.commit(c)
	old := g.Members
	g.Members = slices.Clone(c.Group.Members)
	setAttributes(g, &c.Group)
	g.Phase, g.Fencing = api.GroupLoading, s.fencing()
	for _, id := range old {
		if !slices.Contains(g.Members, id) {
			s.releaseHost(id, g)
		}
	}
	s.assign(g)
	return nil
}

func (s *FleetStore) free(c *api.GroupChange) error {
	a := s.assignments[c.Host]
	if a == nil || a.Fencing != c.Fencing || !a.Releasing {
		return errs.New(errs.Stale, "free host", "", "host %s is not releasing at fencing number %d", c.Host, c.Fencing)
	}
	s.commit(c)
	delete(s.assignments, c.Host)
	g := s.groups[a.Group]
	if g != nil && g.Phase == api.GroupReleasing && !s.hasAssignments(g.ID) {
		delete(s.groups, g.ID)
	}
	return nil
}

func (s *FleetStore) hasAssignments(id api.GroupID) bool {
	for _, a := range s.assignments {
		if a.Group == id {
			return true
		}
	}
	return false
}
