package api

// Method names one peer call.
type Method string

// Peer calls. Control methods are answered by the leader; another voter
// answers with errs.NotLeader and the leader's peer address.
const (
	MethodConsensus  Method = "consensus.messages"
	MethodRenew      Method = "control.renew"
	MethodWatch      Method = "control.watch"
	MethodAnnounce   Method = "control.announce"
	MethodPlan       Method = "control.plan"
	MethodDecide     Method = "control.decide"
	MethodPlans      Method = "control.plans"
	MethodStatus     Method = "control.status"
	MethodHistory    Method = "control.history"
	MethodMember     Method = "control.member"
	MethodRecordOpen Method = "control.record.open"
	MethodRecordEnd  Method = "control.record.end"
	MethodRecordGet  Method = "control.record.get"
	MethodSuspect    Method = "control.suspect"
	MethodQuarantine Method = "control.quarantine"
	MethodAcquire    Method = "shard.acquire"
	MethodSettle     Method = "shard.settle"
	MethodReport     Method = "shard.report"
	// MethodRevoke is answered by the entry that holds the grant.
	MethodRevoke Method = "shard.revoke"

	MethodPublish     Method = "control.publish_packed"
	MethodPublication Method = "control.publication"
	MethodDomain      Method = "control.domain"
	MethodDepart      Method = "control.depart"
	MethodEnroll      Method = "control.enroll"
	MethodProgress    Method = "control.progress"
	// Older daemons don't know the following two methods.
	MethodDomainPrecondition Method = "control.domain.precondition"
	MethodIncarnation        Method = "control.incarnation"
	// MethodLoads and MethodView are answered by entries.
	MethodLoads Method = "entry.loads"
	MethodView  Method = "entry.view"
)

// RenewRequest renews the work lease of an entry.
//
// It is refused with errs.Stale if a newer incarnation is known, and with
// errs.Unavailable and RetryAfterMillis while an older incarnation may still
// hold a lease, or while Applied is below the newest configuration change or any
// change accepted a lease duration ago: the entry then keeps its present lease,
// applies the newer view and renews again.
type RenewRequest struct {
	Entry   EntryInfo `json:"entry"`
	Applied Revision  `json:"applied"`
	// Announce carries the heartbeats of an entry with a Stretch above 1. Its
	// Entry and Incarnation are omitted: those of the renewal apply.
	Announce *AnnounceBatch `json:"announce,omitempty"`
	// Release ends the lease at the end of a graceful shutdown. The entry does no
	// more work; Entry.Leaving must be set.
	Release bool `json:"release,omitempty"`
	// Finished is set with Release when no grant of the entry is in use.
	Finished bool `json:"finished,omitempty"`
	// Service counts the requests during failure domain changes since the start
	// of the entry; nil if there were none.
	Service *ServiceCount `json:"service,omitempty"`
}

// ServiceCount counts the requests that arrived while a failure domain was
// leaving or returning. Requests refused for a fault of the caller are not
// counted.
type ServiceCount struct {
	Ended int64 `json:"ended"`
	// Served is the number of those that ended complete with the first token in time.
	Served int64 `json:"served"`
}

// RenewResponse grants a work lease. LeaseMillis starts when the entry sent the
// request.
type RenewResponse struct {
	LeaseMillis int64 `json:"lease_millis"`
	// Stretch is the factor on the intervals of the entry's calls to control. It
	// grows with the number of entries; 0 means 1.
	Stretch int `json:"stretch,omitempty"`
	// Session is the response to Announce, see AnnounceBatchResponse.
	Session uint64 `json:"session,omitempty"`
	// Revision is the newest accepted revision.
	Revision Revision `json:"revision"`
	// Members are the peer addresses of the control daemons.
	Members []string `json:"members,omitempty"`
}

// WatchRequest asks for the changes after From, waiting up to WaitMillis.
type WatchRequest struct {
	Entry      EntryID  `json:"entry"`
	From       Revision `json:"from"`
	WaitMillis int64    `json:"wait_millis"`
}

// WatchResponse carries the update, which is empty when To equals From.
type WatchResponse struct {
	Update ViewUpdate `json:"update"`
}

// AnnounceBatch carries announcements that an entry collected. A changed
// announcement is sent whole with a new slot; an unchanged one is sent as the
// slot alone.
type AnnounceBatch struct {
	Entry       EntryID     `json:"entry,omitempty"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// Session is that of the last response, 0 to start a new one.
	Session       uint64         `json:"session,omitempty"`
	Announcements []Announcement `json:"announcements,omitempty"`
	// Slots are the slots of Announcements, in the same order. An entry process
	// never reuses a slot.
	Slots []uint64 `json:"slots,omitempty"`
	// Heartbeats are the slots of unchanged announcements, encoded by EncodeSlots.
	Heartbeats []byte `json:"heartbeats,omitempty"`
	// Silent are the slots of hosts that stopped announcing themselves to this
	// entry, encoded by EncodeSlots.
	Silent []byte `json:"silent,omitempty"`
}

// AnnounceBatchResponse acknowledges a batch.
type AnnounceBatchResponse struct {
	Accepted int `json:"accepted"`
	// Session is to be sent with the next batch. If it differs from that of the
	// request, the leader can't resolve the slots and requires whole announcements.
	Session uint64 `json:"session"`
}

// PlanRequest asks for a plan.
type PlanRequest struct {
	Operator string `json:"operator"`
	Intent   Intent `json:"intent"`
	// Key makes the request idempotent: a request with the key of a recorded plan
	// returns that plan. An empty key records a new plan.
	Key string `json:"key,omitempty"`
}

// PlanResponse carries one plan.
type PlanResponse struct {
	Plan Plan `json:"plan"`
}

// DecideRequest confirms or rejects a plan. It is idempotent.
type DecideRequest struct {
	Operator string `json:"operator"`
	Plan     PlanID `json:"plan"`
	Confirm  bool   `json:"confirm"`
	// WaitMillis bounds the wait for the change to be in force.
	WaitMillis int64 `json:"wait_millis"`
}

// DecideResponse reports the outcome of a decision.
type DecideResponse struct {
	Plan Plan `json:"plan"`
	// InForce is set once every entry that may take work has applied the plan.
	InForce bool `json:"in_force"`
	// HeldOut lists the entries whose older work lease has not yet expired.
	HeldOut []EntryID `json:"held_out,omitempty"`
}

// PlansResponse lists plans, newest first.
type PlansResponse struct {
	Plans []Plan `json:"plans"`
}

// HistoryRequest asks for the newest accepted changes.
type HistoryRequest struct {
	Limit int `json:"limit"`
}

// HistoryResponse lists accepted changes, newest first.
type HistoryResponse struct {
	Items []HistoryItem `json:"items"`
}

// VoterStatus describes one voter.
type VoterStatus struct {
	ID      VoterID `json:"id"`
	Address string  `json:"address"`
	Role    string  `json:"role"`
	Match   uint64  `json:"match"`
}

// MeasureStatus reports the measurements of the last hour.
type MeasureStatus struct {
	// GroupDowntime is in replica-seconds.
	GroupDowntime float64 `json:"group_downtime_replica_seconds"`
	// Stranded is the time in which hosts were idle because their group was
	// incomplete, in host-seconds.
	Stranded float64 `json:"stranded_host_seconds"`
	// NotServing is the time in which replicas were missing and hosts beyond the
	// spares did not serve, in host-seconds.
	NotServing float64 `json:"not_serving_host_seconds"`
	// Service counts the requests during failure domain changes.
	Service ServiceCount `json:"service_during_domain_changes"`
}

// StatusResponse is the leader's summary for operators.
type StatusResponse struct {
	Leader      VoterID       `json:"leader"`
	Term        uint64        `json:"term"`
	Voters      []VoterStatus `json:"voters"`
	View        View          `json:"view"`
	Hosts       []HostStatus  `json:"hosts"`
	Assignments []Assignment  `json:"assignments"`
	Measures    MeasureStatus `json:"measures"`
}

// HostStatus is the unreplicated state of one backend server at the leader.
type HostStatus struct {
	Announcement Announcement `json:"announcement"`
	// AgeMillis is the time since the last announcement.
	AgeMillis int64 `json:"age_millis"`
	Alive     bool  `json:"alive"`
	// AssumedMillis is the age of the leadership if the host has not announced itself
	// to it; 0 otherwise.
	AssumedMillis int64 `json:"-"`
}

// MemberRequest changes the voters, one at a time.
type MemberRequest struct {
	// Action is "add-learner", "promote" or "remove".
	Action  string  `json:"action" validate:"oneof=add-learner promote remove"`
	Voter   VoterID `json:"voter" validate:"required"`
	Address string  `json:"address"`
}

// RecordState is the state of an idempotency record.
type RecordState string

// States of an idempotency record. A record that ends as not-run is deleted.
const (
	RecordRunning  RecordState = "running"
	RecordComplete RecordState = "complete"
	RecordUnknown  RecordState = "unknown"
	RecordNotRun   RecordState = "not-run"
)

// Record is the idempotency record of one request, stored by account and key.
type Record struct {
	Account     AccountID   `json:"account"`
	Key         string      `json:"key"`
	BodyHash    string      `json:"body_hash"`
	Request     RequestID   `json:"request"`
	Entry       EntryID     `json:"entry"`
	Incarnation Incarnation `json:"incarnation"`
	State       RecordState `json:"state"`
	Status      int         `json:"status,omitempty"`
	ContentType string      `json:"content_type,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	// ExpiresUnixMillis is the time after which the record may be deleted.
	ExpiresUnixMillis int64 `json:"expires_unix_millis"`
}

// RecordOpenRequest creates a record before dispatch.
type RecordOpenRequest struct {
	Record Record `json:"record"`
}

// RecordOpenResponse reports whether this call created the record. Only the
// call that created it may dispatch the request.
type RecordOpenResponse struct {
	Created bool   `json:"created"`
	Record  Record `json:"record"`
}

// RecordEndRequest stores the outcome of a record. Request must match the record.
type RecordEndRequest struct {
	Record Record `json:"record"`
}

// RecordGetRequest reads a record, waiting up to WaitMillis for its outcome.
type RecordGetRequest struct {
	Account    AccountID `json:"account"`
	Key        string    `json:"key"`
	WaitMillis int64     `json:"wait_millis"`
}

// RecordGetResponse carries the record, if it exists.
type RecordGetResponse struct {
	Found  bool   `json:"found"`
	Record Record `json:"record"`
}

// SuspectRequest reports a request that was running on a replica when it failed.
type SuspectRequest struct {
	Fingerprint string    `json:"fingerprint"`
	Request     RequestID `json:"request"`
	Group       GroupID   `json:"group"`
	Fencing     Fencing   `json:"fencing"`
	// Alone is set when no other request ran on the replica.
	Alone bool `json:"alone"`
	// WaitMillis bounds the wait until the state is in force at every entry that
	// may work; 0 does not wait.
	WaitMillis int64 `json:"wait_millis,omitempty"`
}

// QuarantineAction is what an entry asks of the quarantine of some keys.
type QuarantineAction string

// Actions on a quarantine.
const (
	// QuarantineImpose begins it: servers crashed under requests with the keys.
	QuarantineImpose QuarantineAction = "impose"
	// QuarantineTry asks to send one request with the keys, to see whether it is harmless.
	QuarantineTry QuarantineAction = "try"
	// QuarantineExtend reports that the trial crashed its server.
	QuarantineExtend QuarantineAction = "extend"
	// QuarantineLift reports that a server survived a request with the keys.
	QuarantineLift QuarantineAction = "lift"
)

// QuarantineRequest changes the quarantine of requests that have every one of the keys.
type QuarantineRequest struct {
	Action      QuarantineAction `json:"action"`
	Fingerprint string           `json:"fingerprint"`
	Keys        []string         `json:"keys"`
	Entry       EntryID          `json:"entry"`
	// Deaths is the number of servers that crashed, for QuarantineImpose.
	Deaths int `json:"deaths,omitempty"`
}

// QuarantineResponse returns the state of the quarantine.
type QuarantineResponse struct {
	Quarantine Quarantine `json:"quarantine"`
	// Granted is set if the entry may send the one request that it asked for.
	Granted bool `json:"granted,omitempty"`
	// RetryAfterMillis is the time until the next trial may be asked for.
	RetryAfterMillis int64 `json:"retry_after_millis,omitempty"`
}

// SuspectResponse returns the state of the fingerprint.
type SuspectResponse struct {
	Quarantine Quarantine `json:"quarantine"`
	// InForce is set once every entry that may work has applied the state.
	InForce bool `json:"in_force,omitempty"`
}

// AcquireRequest asks a shard owner for a grant and waits in its queue.
type AcquireRequest struct {
	Shard       ShardID     `json:"shard"`
	Epoch       Revision    `json:"epoch"`
	Entry       EntryID     `json:"entry"`
	Incarnation Incarnation `json:"incarnation"`
	Request     RequestID   `json:"request"`
	Account     AccountID   `json:"account"`
	// PrefixHashes are hashes of the leading prompt blocks, longest last.
	PrefixHashes []uint64 `json:"prefix_hashes,omitempty"`
	// WaitMillis bounds the wait in the queue.
	WaitMillis int64 `json:"wait_millis"`
	// WaitedMillis is the time that the request has already waited, in this queue
	// or another. It determines the position in the queue.
	WaitedMillis int64 `json:"waited_millis,omitempty"`
	// PatienceMillis is the remaining time that the request may wait, in this queue
	// or another; 0 means WaitMillis.
	PatienceMillis int64 `json:"patience_millis,omitempty"`
	// Exclude lists replicas already tried for this request.
	Exclude []GroupID `json:"exclude,omitempty"`
	// Alone asks for a replica that runs nothing else.
	Alone bool `json:"alone,omitempty"`
	// Revocable is set when the entry can stop the request and resume it later.
	Revocable bool `json:"revocable,omitempty"`
	// Resumed is set for a request that has already started: it precedes the other
	// waiting requests of its account, and a full queue does not refuse it.
	Resumed bool `json:"resumed,omitempty"`
}

// Grant allows one request on one replica until it expires.
type Grant struct {
	ID    string   `json:"id"`
	Shard ShardID  `json:"shard"`
	Epoch Revision `json:"epoch"`
	// OwnerIncarnation is that of the owner process that issued the grant: an
	// owner that restarts may keep its epoch.
	OwnerIncarnation Incarnation `json:"owner_incarnation"`
	Request          RequestID   `json:"request"`
	Account          AccountID   `json:"account"`
	Group            GroupID     `json:"group"`
	Fencing          Fencing     `json:"fencing"`
	Address          string      `json:"address"`
	// ExpiresMillis is the lifetime, counted from when the request was sent.
	ExpiresMillis int64 `json:"expires_millis"`
	Priority      int   `json:"priority"`
	// Alone is set when nothing else runs on the replica.
	Alone bool `json:"alone,omitempty"`
}

// AcquireResponse carries a grant.
type AcquireResponse struct {
	Grant Grant `json:"grant"`
}

// SettleRequest returns a grant to the shard owner.
type SettleRequest struct {
	Grant   Grant   `json:"grant"`
	Entry   EntryID `json:"entry"`
	Outcome Outcome `json:"outcome"`
	// Failed is set when the replica broke the connection or answered 5xx.
	Failed bool `json:"failed,omitempty"`
	// FirstTokenMicros is 0 when no token arrived.
	FirstTokenMicros int64 `json:"first_token_micros,omitempty"`
}

// RevokeRequest revokes a grant: the entry stops the request on the engine,
// settles the grant, and may resume the request under a new one.
type RevokeRequest struct {
	Grant Grant `json:"grant"`
}

// ReportRequest reports to a shard owner every grant that an entry still holds.
type ReportRequest struct {
	Shard       ShardID     `json:"shard"`
	Epoch       Revision    `json:"epoch"`
	Entry       EntryID     `json:"entry"`
	Incarnation Incarnation `json:"incarnation"`
	// OwnerIncarnation identifies the owner process that the report addresses.
	OwnerIncarnation Incarnation `json:"owner_incarnation"`
	Grants           []Grant     `json:"grants"`
}

// ReportResponse renews the reported grants.
type ReportResponse struct {
	// RenewMillis is the new lifetime of every reported grant that is not
	// listed in Refused, counted from when the report was sent.
	RenewMillis int64 `json:"renew_millis"`
	// Refused lists the ids of grants that the owner does not recognize. Their
	// requests must be stopped.
	Refused []string `json:"refused,omitempty"`
}

// Empty is the result of calls that return nothing.
type Empty struct{}
