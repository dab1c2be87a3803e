package control

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// maxMembers is the number of hosts that one replica may span.
const maxMembers = 16

const stepGroup = "change group"

// groupCommand changes groups and assignments.
type groupCommand struct {
	Change api.GroupChange `cbor:"1,keyasint"`
}

func (*groupCommand) kind() commandKind { return kindGroup }

func (c *groupCommand) apply(t *tx) (any, error) {
	group, err := c.dispatch(t)
	if err != nil {
		return nil, err
	}
	revision := t.Revision()
	if t.changed {
		revision = t.nextRevision()
	}
	return api.GroupChangeResult{Revision: revision, Group: group}, nil
}

func (c *groupCommand) dispatch(t *tx) (api.Group, error) {
	switch c.Change.Kind {
	case api.GroupForm:
		return c.form(t)
	case api.GroupReform:
		return c.reform(t)
	case api.GroupSetPhase:
		return c.setPhase(t)
	case api.GroupUpdate:
		return c.update(t)
	case api.GroupRelease:
		return c.release(t)
	case api.GroupFree:
		return c.free(t)
	}
	return api.Group{}, refuse(errs.Invalid, stepGroup, "unknown kind %q", c.Change.Kind)
}

// currentGroup returns the group of the change if the fencing numbers match.
func (c *groupCommand) currentGroup(t *tx) (api.Group, error) {
	group, ok := t.groups.get(c.Change.Group.ID)
	if !ok {
		return api.Group{}, refuse(errs.Stale, stepGroup, "group %s is not known", c.Change.Group.ID)
	}
	if group.Fencing != c.Change.Fencing {
		return api.Group{}, refuse(errs.Stale, stepGroup, "group %s has fencing number %d, not %d", group.ID, group.Fencing, c.Change.Fencing)
	}
	return group, nil
}

// changeableGroup is currentGroup for a group that is not being released.
func (c *groupCommand) changeableGroup(t *tx) (api.Group, error) {
	group, err := c.currentGroup(t)
	if err == nil && group.Phase == api.GroupReleasing {
		err = refuse(errs.Conflict, stepGroup, "group %s is being released", group.ID)
	}
	return group, err
}

func checkMembers(members []api.HostID) error {
	if len(members) == 0 || len(members) > maxMembers {
		return refuse(errs.Invalid, stepGroup, "%d members, must be 1 to %d", len(members), maxMembers)
	}
	sorted := slices.Sorted(slices.Values(members))
	if len(slices.Compact(sorted)) != len(members) {
		return refuse(errs.Invalid, stepGroup, "a host is listed more than once")
	}
	if slices.Contains(members, "") {
		return refuse(errs.Invalid, stepGroup, "a host has no name")
	}
	return nil
}

func (c *groupCommand) form(t *tx) (api.Group, error) {
	group := c.Change.Group
	if err := checkMembers(group.Members); err != nil {
		return group, err
	}
	if _, ok := t.groups.get(group.ID); ok {
		return group, refuse(errs.Conflict, stepGroup, "group %s exists", group.ID)
	}
	if _, ok := t.config.servingGroups.get(group.ServingGroup); !ok {
		return group, refuse(errs.Conflict, stepGroup, "serving group %q is not known", group.ServingGroup)
	}
	if err := t.guards.free(t, group.Members); err != nil {
		return group, err
	}
	group.Fencing = t.counters.nextFencing()
	if group.ID == "" {
		group.ID = api.GroupID(fmt.Sprintf("%s-%d", group.ServingGroup, group.Fencing))
	}
	group.Phase = api.GroupLoading
	t.assign(group)
	t.putGroup(group)
	return group, nil
}

func (c *groupCommand) reform(t *tx) (api.Group, error) {
	group, err := c.changeableGroup(t)
	if err != nil {
		return group, err
	}
	members := c.Change.Group.Members
	if err := checkMembers(members); err != nil {
		return group, err
	}
	var added []api.HostID
	for _, host := range members {
		if !slices.Contains(group.Members, host) {
			added = append(added, host)
		}
	}
	if err := t.guards.free(t, added); err != nil {
		return group, err
	}
	old := group.Members
	group = reformed(group, c.Change.Group)
	group.Fencing = t.counters.nextFencing()
	t.releaseHosts(group, dropped(old, members))
	t.assign(group)
	t.putGroup(group)
	return group, nil
}

// reformed returns the group with its new members. The fabric, failure domain
// and model change only when the change names them.
func reformed(group, to api.Group) api.Group {
	group.Members = to.Members
	group.Phase = api.GroupLoading
	if to.Fabric != "" {
		group.Fabric = to.Fabric
	}
	if to.Domain != "" {
		group.Domain = to.Domain
	}
	if to.Model != "" {
		group.Model = to.Model
	}
	group.Address = to.Address
	group.Warm = false
	group.BearableLoad = to.BearableLoad
	group.WarmLoad = to.WarmLoad
	group.Leaving = to.Leaving
	group.Capabilities = to.Capabilities
	return group
}

func dropped(old, members []api.HostID) []api.HostID {
	var out []api.HostID
	for _, host := range old {
		if !slices.Contains(members, host) {
			out = append(out, host)
		}
	}
	return out
}

func (c *groupCommand) setPhase(t *tx) (api.Group, error) {
	phase := c.Change.Group.Phase
	switch phase {
	case api.GroupLoading, api.GroupReady, api.GroupBroken:
	default:
		return api.Group{}, refuse(errs.Invalid, stepGroup, "phase %q can't be set", phase)
	}
	group, err := c.changeableGroup(t)
	if err != nil || group.Phase == phase {
		return group, err
	}
	group.Phase = phase
	t.putGroup(group)
	return group, nil
}

func (c *groupCommand) update(t *tx) (api.Group, error) {
	old, err := c.currentGroup(t)
	if err != nil {
		return old, err
	}
	to := c.Change.Group
	group := old
	group.Address = to.Address
	group.Warm = to.Warm
	group.BearableLoad = to.BearableLoad
	group.WarmLoad = to.WarmLoad
	group.Leaving = to.Leaving
	group.Retiring = to.Retiring
	group.Capabilities = to.Capabilities
	group.Open = to.Open
	group.HeadIncarnation = to.HeadIncarnation
	group.Release = to.Release
	if !reflect.DeepEqual(old, group) {
		t.putGroup(group)
	}
	return group, nil
}

func (c *groupCommand) release(t *tx) (api.Group, error) {
	group, err := c.changeableGroup(t)
	if err != nil {
		return group, err
	}
	group.Previous = group.Fencing
	group.Fencing = t.counters.nextFencing()
	group.Phase = api.GroupReleasing
	t.releaseHosts(group, group.Members)
	t.putGroup(group)
	return group, nil
}

func (c *groupCommand) free(t *tx) (api.Group, error) {
	a, ok := t.assignments.get(c.Change.Host)
	if !ok {
		return api.Group{}, refuse(errs.Stale, stepGroup, "host %s has no assignment", c.Change.Host)
	}
	if a.Fencing != c.Change.Fencing {
		return api.Group{}, refuse(errs.Stale, stepGroup, "host %s has fencing number %d, not %d", a.Host, a.Fencing, c.Change.Fencing)
	}
	if !a.Releasing {
		return api.Group{}, refuse(errs.Conflict, stepGroup, "host %s is a member of group %s", a.Host, a.Group)
	}
	t.assignments.del(a.Host)
	group, ok := t.groups.get(a.Group)
	if ok && group.Phase == api.GroupReleasing && !t.hasAssignments(group) {
		t.groups.del(group.ID)
		t.markChanged(tableGroups, string(group.ID))
	}
	return group, nil
}

// hasAssignments reports whether any host is still assigned to a group,
// including hosts that an earlier reform dropped.
func (t *tx) hasAssignments(group api.Group) bool {
	return t.assignments.any(func(a api.Assignment) bool { return a.Group == group.ID })
}

func (t *tx) assign(group api.Group) {
	for _, host := range group.Members {
		t.assignments.put(host, api.Assignment{Host: host, Group: group.ID, Fencing: group.Fencing})
	}
}

// releaseHosts marks hosts as releasing at the new fencing number of their
// group, so that a host that checks it refuses every older order.
func (t *tx) releaseHosts(group api.Group, hosts []api.HostID) {
	for _, host := range hosts {
		a := api.Assignment{Host: host, Group: group.ID, Fencing: group.Fencing, Releasing: true}
		t.assignments.put(host, a)
	}
}

func (t *tx) putGroup(group api.Group) {
	t.groups.put(group.ID, group)
	t.markChanged(tableGroups, string(group.ID))
}
