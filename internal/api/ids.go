// Package api defines the typed messages and records that the roles of crocusway
// exchange: intents and plans of operators, announcements of backend servers,
// the replicated view, and the parameters of every peer call.
//
// The package contains only types, validation rules and small accessors, so that
// every other package can depend on it.
package api

// HostID names one host that runs a backend server.
type HostID string

// FailureDomain names a set of hosts that an operator can drain together.
type FailureDomain string

// FabricDomain names a set of hosts that share one fast interconnect. A
// replica never spans two fabric domains.
type FabricDomain string

// AccountID names a client account.
type AccountID string

// ServingGroupName names the set of identical replicas that serve one model.
type ServingGroupName string

// GroupID names one replica: a fixed set of hosts that serves as a unit.
type GroupID string

// EntryID names one daemon that runs the entry role.
type EntryID string

// VoterID names one daemon that runs the control role.
type VoterID string

// PlanID numbers a plan. It is the revision at which the plan was recorded.
type PlanID uint64

// Revision numbers accepted changes of the replicated state in ascending order.
type Revision uint64

// Fencing orders the generations of group membership across the whole system.
// A backend server that checks it refuses orders with a lower number.
type Fencing uint64

// Incarnation orders the starts of one process or backend server.
type Incarnation uint64

// RequestID identifies a caller request from its receipt to its settlement.
type RequestID string

// ShardID names the unit of admission: the replicas of one serving group in
// one failure domain.
type ShardID struct {
	ServingGroup ServingGroupName `json:"serving_group"`
	Domain       FailureDomain    `json:"domain"`
}

// String returns "servingGroup/domain".
func (s ShardID) String() string { return string(s.ServingGroup) + "/" + string(s.Domain) }
