package api

// DomainState is the state that an operator requests for a failure domain.
type DomainState string

// States of a failure domain.
const (
	DomainActive  DomainState = "active"
	DomainDrained DomainState = "drained"
)

// Intent is a configuration change that an operator requests. Listed items are
// created or replaced, items in Remove are deleted, all others stay unchanged.
type Intent struct {
	ServingGroups []ServingGroup `json:"serving_groups,omitempty" validate:"dive"`
	Accounts      []Account      `json:"accounts,omitempty" validate:"dive"`
	Domains       []Domain       `json:"domains,omitempty" validate:"dive"`
	Services      []Service      `json:"services,omitempty" validate:"dive"`
	Weights       *Weights       `json:"weights,omitempty"`
	Remove        Removal        `json:"remove,omitzero"`
}

// Removal lists items that an intent deletes, by name.
type Removal struct {
	ServingGroups []ServingGroupName `json:"serving_groups,omitempty"`
	Accounts      []AccountID        `json:"accounts,omitempty"`
	Services      []string           `json:"services,omitempty"`
}

// ServingGroup describes the replicas that serve one model.
type ServingGroup struct {
	Name ServingGroupName `json:"name" validate:"required,max=64"`
	// Model is the model that callers request and that members load.
	Model string `json:"model" validate:"required,max=128"`
	// Replicas is the desired number of complete replicas over all failure domains.
	Replicas int `json:"replicas" validate:"min=0,max=10000"`
	// HostsPerReplica is the number of hosts that form one replica.
	HostsPerReplica int `json:"hosts_per_replica" validate:"min=1,max=16"`
	// Domains restricts placement; empty allows every failure domain.
	Domains []FailureDomain `json:"domains,omitempty" validate:"max=64"`
	// Spares is the number of idle hosts to keep in each fabric domain that
	// holds a replica of this serving group.
	Spares int `json:"spares,omitempty" validate:"min=0,max=64"`
	// ChecksFencing is set if the backend servers refuse orders with an old
	// fencing number. Otherwise hosts are reassigned only after the order horizon.
	ChecksFencing bool `json:"checks_fencing"`
	// LoadBytes is the size of the weights that one host loads, in bytes.
	LoadBytes int64 `json:"load_bytes,omitempty" validate:"min=0"`
	// Importance weights a replica's downtime relative to other serving groups,
	// 1 to 100; 0 means 1.
	Importance int `json:"importance,omitempty" validate:"min=0,max=100"`
	// Service is the engine service of the serving group, empty if there is none.
	Service string `json:"service,omitempty" validate:"max=64"`
	// Share is the weight of the serving group when the hosts of its service are
	// divided among its serving groups. If above 0, it replaces Replicas.
	Share float64 `json:"share,omitempty" validate:"min=0,max=1000000"`
	// LoadsAtOnce is the number of hosts that can load at full speed concurrently;
	// 0 if unknown.
	LoadsAtOnce int `json:"loads_at_once,omitempty" validate:"min=0,max=100000"`
}

// Account describes a client account.
type Account struct {
	ID AccountID `json:"id" validate:"required,max=64"`
	// KeyHashes are SHA-256 digests of API keys, in lower-case hexadecimal.
	KeyHashes []string `json:"key_hashes" validate:"min=1,max=8,dive,len=64,hexadecimal"`
	// Class orders accounts in a queue, 0 to 9: a higher class is served first.
	Class int `json:"class" validate:"min=0,max=9"`
	// Share is the purchased number of concurrent requests that the account may
	// claim at any time, over all shards of a serving group.
	Share int `json:"share" validate:"min=0,max=100000"`
}

// Domain is the desired state of one failure domain.
type Domain struct {
	Name  FailureDomain `json:"name" validate:"required,max=64"`
	State DomainState   `json:"state" validate:"oneof=active drained"`
}

// Service describes a plain service, which runs beside the engines.
type Service struct {
	Name string `json:"name" validate:"required,max=64"`
	// RepeatablePaths lists path prefixes whose calls may be repeated even with
	// a method that is not idempotent by the HTTP standard.
	RepeatablePaths []string `json:"repeatable_paths,omitempty" validate:"max=64"`
}

// Weights sets the trade-off between the three objectives of the planner. Each is
// a factor of 0 or more; the units are per replica-second of downtime, per
// host-second stranded and per request lost in a domain change.
type Weights struct {
	Downtime     float64 `json:"downtime" validate:"min=0,max=1000"`
	Stranded     float64 `json:"stranded" validate:"min=0,max=1000"`
	DomainChange float64 `json:"domain_change" validate:"min=0,max=1000"`
}

// PlanState is the progress of a plan.
type PlanState string

// States of a plan.
const (
	PlanPending   PlanState = "pending"
	PlanConfirmed PlanState = "confirmed"
	PlanRejected  PlanState = "rejected"
)

// Plan is the evaluation of an intent. Base is the revision of the configuration
// that it was evaluated against; a confirmation compares it.
type Plan struct {
	ID       PlanID    `json:"id"`
	Base     Revision  `json:"base"`
	State    PlanState `json:"state"`
	Operator string    `json:"operator"`
	// Key is the idempotency key of the request that recorded the plan.
	Key    string `json:"key,omitempty"`
	Intent Intent `json:"intent"`
	// Consequences lists every expected effect of the plan.
	Consequences []Consequence `json:"consequences"`
	// Decided is the revision of the confirmation or rejection; 0 if pending.
	Decided Revision `json:"decided,omitempty"`
}

// ConsequenceKind classifies an effect of a plan.
type ConsequenceKind string

// Kinds of consequences.
const (
	ConsequenceCreate   ConsequenceKind = "create"
	ConsequenceChange   ConsequenceKind = "change"
	ConsequenceRemove   ConsequenceKind = "remove"
	ConsequenceMove     ConsequenceKind = "move"
	ConsequenceStop     ConsequenceKind = "stop"
	ConsequenceCapacity ConsequenceKind = "capacity"
	ConsequenceUnmet    ConsequenceKind = "unmet"
	ConsequenceFencing  ConsequenceKind = "fencing"
)

// Consequence is one effect of a plan, described for operators.
type Consequence struct {
	Kind    ConsequenceKind `json:"kind"`
	Subject string          `json:"subject"`
	Detail  string          `json:"detail"`
}

// HistoryItem is one accepted change.
type HistoryItem struct {
	Revision Revision `json:"revision"`
	Plan     PlanID   `json:"plan"`
	Operator string   `json:"operator"`
	// UnixMillis is the wall clock of the leader that accepted the change.
	UnixMillis int64  `json:"unix_millis"`
	Summary    string `json:"summary"`
}
