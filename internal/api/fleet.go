package api

// FleetView is the immutable snapshot of the state that the group planner
// evaluates.
type FleetView struct {
	Revision      Revision       `json:"revision"`
	ServingGroups []ServingGroup `json:"serving_groups"`
	Domains       []Domain       `json:"domains"`
	Weights       Weights        `json:"weights"`
	Groups        []Group        `json:"groups"`
	Assignments   []Assignment   `json:"assignments"`
	Hosts         []HostStatus   `json:"hosts"`
	// Progress is what entries observe of the groups that run their requests.
	Progress []GroupProgress `json:"progress,omitempty"`
	// Traffic is set once an entry has reported requests to this leadership. Until
	// then, loads from the weight store delay no request and are not limited.
	Traffic bool `json:"traffic,omitempty"`
}

// GroupChangeKind names the operation of a GroupChange.
type GroupChangeKind string

// Kinds of group changes.
const (
	// GroupForm creates Group from free hosts and assigns a new fencing number.
	GroupForm GroupChangeKind = "form"
	// GroupReform gives Group.ID new members and a new, higher fencing number.
	// Removed hosts become releasing, new ones must be free. The assignments of
	// members and of removed hosts all carry the new number.
	GroupReform GroupChangeKind = "reform"
	// GroupSetPhase sets Group.Phase.
	GroupSetPhase GroupChangeKind = "phase"
	// GroupUpdate sets Address, Warm, BearableLoad, WarmLoad, Leaving, Retiring and
	// Capabilities.
	GroupUpdate GroupChangeKind = "update"
	// GroupRelease marks the group and every member as releasing, at a new, higher
	// fencing number that the group, the assignments and the release order carry.
	// The group is deleted with its last releasing member.
	GroupRelease GroupChangeKind = "release"
	// GroupFree deletes the assignment of Host, whose release is proven.
	GroupFree GroupChangeKind = "free"
)

// GroupChange is one replicated change of groups and assignments. It is
// refused with errs.Stale when Fencing is not the current number of the group
// (for GroupFree: of the assignment), and with errs.Conflict when a host is not
// free.
type GroupChange struct {
	Kind    GroupChangeKind `json:"kind"`
	Fencing Fencing         `json:"fencing"`
	Group   Group           `json:"group"`
	Host    HostID          `json:"host,omitempty"`
}

// GroupChangeResult carries the group after the change.
type GroupChangeResult struct {
	Revision Revision `json:"revision"`
	Group    Group    `json:"group"`
}
