package api

import "strings"

// AnnouncementVersion is the version of the announcement and order contract.
const AnnouncementVersion = 1

// BackendKind distinguishes engines from plain services.
type BackendKind string

// Kinds of backend servers.
const (
	BackendEngine  BackendKind = "engine"
	BackendService BackendKind = "service"
)

// LoadState is the progress of a backend server's model load.
type LoadState string

// States of a model load.
const (
	LoadIdle    LoadState = "idle"
	LoadLoading LoadState = "loading"
	LoadReady   LoadState = "ready"
)

// Capabilities lists the optional parts of the engine contract.
type Capabilities struct {
	Resume   bool `json:"resume,omitempty"`
	Cancel   bool `json:"cancel,omitempty"`
	Priority bool `json:"priority,omitempty"`
}

// Announcement is the state that a backend server reports to any entry by
// POST /v1/backends/announce. It is repeated as a heartbeat. The incarnation is the start of
// the server in Unix milliseconds.
type Announcement struct {
	Version     int           `json:"version" validate:"eq=1"`
	Host        HostID        `json:"host" validate:"required,max=64"`
	Incarnation Incarnation   `json:"incarnation" validate:"min=1"`
	Sequence    uint64        `json:"sequence" validate:"min=1"`
	Address     string        `json:"address" validate:"required,hostname_port"`
	Kind        BackendKind   `json:"kind" validate:"oneof=engine service"`
	Service     string        `json:"service,omitempty" validate:"required_if=Kind service,max=64"`
	Fabric      FabricDomain  `json:"fabric,omitempty" validate:"required_if=Kind engine,max=64"`
	Domain      FailureDomain `json:"domain" validate:"required,max=64"`
	// Accelerators is the number of accelerators of the host.
	Accelerators int `json:"accelerators,omitempty" validate:"min=0,max=64"`
	// Group, Fencing and Rank describe the membership that the server holds.
	Group   GroupID   `json:"group,omitempty" validate:"max=128"`
	Fencing Fencing   `json:"fencing,omitempty"`
	Rank    int       `json:"rank,omitempty" validate:"min=0,max=15"`
	Model   string    `json:"model,omitempty" validate:"max=128"`
	Load    LoadState `json:"load,omitempty" validate:"omitempty,oneof=idle loading ready"`
	// Warm is false during a cold start.
	Warm bool `json:"warm,omitempty"`
	// BearableLoad is the present capacity in concurrent requests; 0 if unknown.
	BearableLoad int `json:"bearable_load,omitempty" validate:"min=0,max=100000"`
	// WarmLoad is the warm capacity in concurrent requests; 0 if unknown.
	WarmLoad      int          `json:"warm_load,omitempty" validate:"min=0,max=100000"`
	ChecksFencing bool         `json:"checks_fencing,omitempty"`
	Leaving       bool         `json:"leaving,omitempty"`
	Capabilities  Capabilities `json:"capabilities,omitzero"`
	// Running and Queued are a possibly outdated load report, in requests.
	Running int `json:"running,omitempty" validate:"min=0"`
	Queued  int `json:"queued,omitempty" validate:"min=0"`
	// Stage is the state of the membership; only engines whose replicas serve
	// after an open order set it.
	Stage MemberStage `json:"stage,omitempty" validate:"omitempty,oneof=joining ready open closing broken"`
	// Staged lists the models whose weights the host holds, separated by commas.
	Staged string `json:"staged,omitempty" validate:"max=1024"`
	// Slots is the number of calls that the server runs concurrently; 0 if
	// unknown. Unlike BearableLoad it needs no grants.
	Slots int `json:"slots,omitempty" validate:"min=0,max=100000"`
	// Release is the version of the server's software.
	Release string `json:"release,omitempty" validate:"max=64"`
}

// MemberStage is the state of a membership of an engine whose replicas serve
// only after an open order to their head.
type MemberStage string

// Stages of a membership.
const (
	StageJoining MemberStage = "joining"
	StageReady   MemberStage = "ready"
	StageOpen    MemberStage = "open"
	StageClosing MemberStage = "closing"
	StageBroken  MemberStage = "broken"
)

// HasStaged reports whether the host holds the weights of a model.
func (a *Announcement) HasStaged(model string) bool {
	for staged := range strings.SplitSeq(a.Staged, ",") {
		if staged == model {
			return true
		}
	}
	return false
}

// AnnounceResponse answers an announcement.
type AnnounceResponse struct {
	// NextMillis is the requested time until the next announcement.
	NextMillis int64 `json:"next_millis"`
	// Entries are caller addresses to announce to if this entry fails.
	Entries []string `json:"entries"`
}

// OrderKind names the action that an order requests from a backend server.
type OrderKind string

// Kinds of orders.
const (
	OrderAssign  OrderKind = "assign"
	OrderRelease OrderKind = "release"
	// OrderOpen lets the head of a replica serve. It is sent only to engines that
	// announce a MemberStage.
	OrderOpen OrderKind = "open"
	// OrderStage loads the weights of a model onto a host without a group.
	OrderStage OrderKind = "stage"
)

// Order is sent by the control leader to an engine, by POST /v1/orders.
// Orders are idempotent: the same fencing number repeats the first outcome.
type Order struct {
	Version int       `json:"version"`
	Kind    OrderKind `json:"kind"`
	Host    HostID    `json:"host"`
	Group   GroupID   `json:"group"`
	Fencing Fencing   `json:"fencing"`
	// Incarnation is the one that an assign order addresses; 0 means any.
	Incarnation Incarnation `json:"incarnation,omitempty"`
	Rank        int         `json:"rank,omitempty"`
	Members     []HostID    `json:"members,omitempty"`
	Model       string      `json:"model,omitempty"`
	// ReleasedFencing is the fencing number of the membership that a release order
	// ends, as the host announced it; 0 if it announced none.
	ReleasedFencing Fencing `json:"-"`
	// Term numbers the leadership that sent the order.
	Term uint64 `json:"-"`
}

// OrderResult answers an order.
type OrderResult struct {
	Accepted    bool        `json:"accepted"`
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
	// Fencing is the highest number that the server has accepted.
	Fencing Fencing `json:"fencing"`
	Reason  string  `json:"reason,omitempty"`
}

// Header names of the caller and engine protocols.
const (
	HeaderRequest        = "Crocusway-Request"
	HeaderOutcome        = "Crocusway-Outcome"
	HeaderPriority       = "Crocusway-Priority"
	HeaderDeadlineMillis = "Crocusway-Deadline-Millis"
	HeaderFencing        = "Crocusway-Fencing"
	HeaderOffset         = "Crocusway-Offset"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcome states whether the request of an answer has run.
type Outcome string

// Outcomes of a request. OutcomeNotRun is used only if no byte of the request
// can have reached a backend server.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
)
