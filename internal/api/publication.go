package api

import (
	"fmt"
	"strconv"
	"strings"
)

// CallKind classifies the calls of a route by how often they may run.
type CallKind string

// Kinds of calls.
const (
	// CallIdempotent may run any number of times.
	CallIdempotent CallKind = "idempotent"
	// CallOnce may run at most once for each caller request.
	CallOnce CallKind = "once"
	// CallStream is answered by a stream of numbered events. It counts as
	// CallOnce unless its route is resumable.
	CallStream CallKind = "stream"
)

// Publication is a complete routing configuration with a version that the
// operator assigns. The highest version replaces all others.
type Publication struct {
	Version  uint64             `json:"version"`
	Routes   []Route            `json:"routes,omitempty"`
	Services []PublishedService `json:"services,omitempty"`
	// Accounts are the client accounts whose keys non-public routes accept. If
	// empty, every route is public.
	Accounts []PublishedAccount `json:"accounts,omitempty"`
	Limits   CallerLimits       `json:"limits"`
}

// Route maps the requests for one host and path prefix to services.
type Route struct {
	Name       string   `json:"name"`
	Host       string   `json:"host"`
	PathPrefix string   `json:"path_prefix"`
	Kind       CallKind `json:"kind"`
	// Resumable streams may continue on another replica after a given event.
	Resumable bool `json:"resumable,omitempty"`
	// TimeoutMillis bounds a request from its receipt to the end of its answer.
	TimeoutMillis int64 `json:"timeout_millis"`
	// ObjectiveMillis is the target time to the answer, or to the first event of a
	// stream; GapObjectiveMillis the target for the longest gap between two events.
	ObjectiveMillis    int64 `json:"objective_millis,omitempty"`
	GapObjectiveMillis int64 `json:"gap_objective_millis,omitempty"`
	// Urgency orders routes and accounts; 0 is served first.
	Urgency int          `json:"urgency"`
	Split   []RouteShare `json:"split"`
	// MaxAttempts is the maximum number of replicas that one request may run on.
	MaxAttempts int `json:"max_attempts"`
	// Public routes accept requests without a key.
	Public bool `json:"public,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == CallIdempotent || r.Kind == CallStream && r.Resumable
}

// RouteShare is the fraction of a route's requests that goes to one service.
type RouteShare struct {
	Service string `json:"service"`
	// Weight is relative to the sum over the route.
	Weight int `json:"weight"`
}

// PublishedAccount is a client account with its keys.
type PublishedAccount struct {
	ID AccountID `json:"id"`
	// KeyHashes are SHA-256 digests of API keys, in lower-case hexadecimal.
	KeyHashes []string `json:"key_hashes"`
	// Urgency overrides that of the route; nil keeps the route's.
	Urgency *int `json:"urgency,omitempty"`
}

// CallerLimits bounds the size and duration of caller requests. 0 selects the
// default of the daemon.
type CallerLimits struct {
	MaxHeaderBytes      int   `json:"max_header_bytes,omitempty"`
	MaxBodyBytes        int   `json:"max_body_bytes,omitempty"`
	HeaderTimeoutMillis int64 `json:"header_timeout_millis,omitempty"`
	IdleTimeoutMillis   int64 `json:"idle_timeout_millis,omitempty"`
}

// PublishedService describes the backend servers of one service.
type PublishedService struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections bounds the connections to one backend server, over all callers.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdStartMillis is the duration of a cold start; ColdRate is the maximum
	// rate of requests per second meanwhile, over all entries.
	ColdStartMillis int64   `json:"cold_start_millis,omitempty"`
	ColdRate        float64 `json:"cold_rate,omitempty"`
	// Engine is set for model engines.
	Engine *EngineProfile `json:"engine,omitempty"`
}

// EngineProfile is the performance model of the replicas of a model engine.
// Times apply to a replica at pace 1.
type EngineProfile struct {
	// Slots is the number of requests that one replica runs concurrently.
	Slots int `json:"slots"`
	// MemoryTokens is the KV cache capacity of one replica, in tokens.
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// Stride is the number of decode steps in one pass, and so the number of
	// tokens that arrive together.
	Stride int           `json:"stride,omitempty"`
	Models []EngineModel `json:"models"`
	// StepMillis is the base time of a decode step. Each running request adds
	// SequenceMillis, and each thousand tokens of context add ContextMillis.
	StepMillis     float64 `json:"step_millis,omitempty"`
	SequenceMillis float64 `json:"sequence_millis,omitempty"`
	ContextMillis  float64 `json:"context_millis,omitempty"`
	// PrefillRate is the number of prompt tokens processed per second; PairMillis
	// is added for each million pairs of a token and an earlier one.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	PairMillis  float64 `json:"pair_millis,omitempty"`
	// Chunk is the maximum number of prompt tokens processed in one step.
	Chunk int `json:"chunk,omitempty"`
	// LoadsPerSecond is the maximum rate of started loads, and LoadsAtOnce the
	// number of concurrent loads that run at full speed.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty"`
	LoadsAtOnce    int     `json:"loads_at_once,omitempty"`
	// FormMillis is the time from the open order until a replica serves.
	FormMillis int64 `json:"form_millis,omitempty"`
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int `json:"usual_prompt,omitempty"`
	UsualAnswer int `json:"usual_answer,omitempty"`
}

// EngineModel is one model of an engine service.
type EngineModel struct {
	Name string `json:"name"`
	// Hosts is the number of hosts of one replica.
	Hosts int `json:"hosts"`
	// Share is the model's part of the load, relative to the other models.
	Share float64 `json:"share,omitempty"`
	// Pace multiplies the times of the profile; 0 means 1.
	Pace float64 `json:"pace,omitempty"`
	// LoadMillis is the time of a load from the weight store, WarmMillis from the
	// local copy of the host.
	LoadMillis int64 `json:"load_millis,omitempty"`
	WarmMillis int64 `json:"warm_millis,omitempty"`
}

// Service returns a service by name, or nil.
func (p *Publication) Service(name string) *PublishedService {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// EngineGroupName returns the name of the serving group of an engine service's
// model.
func EngineGroupName(service, model string) ServingGroupName {
	return ServingGroupName(service + "/" + model)
}

// ServingGroups returns one serving group for each model of the engine services.
func (p *Publication) ServingGroups() []ServingGroup {
	var out []ServingGroup
	for _, service := range p.Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			out = append(out, ServingGroup{
				Name:            EngineGroupName(service.Name, model.Name),
				Service:         service.Name,
				Model:           model.Name,
				HostsPerReplica: model.Hosts,
				ChecksFencing:   true,
				LoadBytes:       LoadUnit,
				Share:           model.Share,
				LoadsAtOnce:     service.Engine.LoadsAtOnce,
			})
		}
	}
	return out
}

// LoadUnit is the size of one host's load where the weight store counts loads
// instead of bytes. It is above 1 so that rates may be fractional.
const LoadUnit = 1000

// Departure records that a backend server announced that it leaves. It applies
// to the incarnation and every earlier one.
type Departure struct {
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
	// UnixMillis is the time at which it was accepted.
	UnixMillis int64 `json:"unix_millis"`
}

// PackedPublication is a publication in compressed form. Control needs only its version
// and its serving groups, so the rest stays compressed on its way to the entries.
type PackedPublication struct {
	Version uint64 `json:"version" cbor:"1,keyasint"`
	// Data is the compressed JSON of the Publication.
	Data []byte `json:"data" cbor:"2,keyasint"`
}

// PublishRequest submits a publication.
type PublishRequest struct {
	Publication   PackedPublication `json:"publication"`
	ServingGroups []ServingGroup    `json:"serving_groups,omitempty"`
	// Source is the compressed text of the operator, which reads return unchanged.
	Source []byte `json:"source"`
}

// PublishResponse acknowledges a publication that is stored, or superseded by a
// stored publication of an equal or higher version.
type PublishResponse struct {
	// Stored is the highest stored version.
	Stored uint64 `json:"stored"`
	// Changed is set if this call stored the publication.
	Changed  bool     `json:"changed"`
	Revision Revision `json:"revision"`
}

// PublicationResponse carries the compressed source of the publication in force, empty
// if there is none yet.
type PublicationResponse struct {
	Version uint64 `json:"version"`
	Source  []byte `json:"source,omitempty"`
}

// DomainRequest sets the state of a failure domain without a plan.
type DomainRequest struct {
	Domain   Domain `json:"domain"`
	Operator string `json:"operator"`
	// Precondition is what the change rests on. Older daemons refuse it, and send none.
	Precondition *DomainPrecondition `json:"precondition,omitempty"`
}

// DomainPrecondition identifies the last change of a failure domain: the leader's term,
// and the number of changes since its election. It is valid until the next change of the
// domain, or of the leader.
type DomainPrecondition struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// String returns "TERM-SEQUENCE".
func (p DomainPrecondition) String() string { return fmt.Sprintf("%d-%d", p.Term, p.Sequence) }

// ParseDomainPrecondition parses what String returns. ok is false for any other text.
func ParseDomainPrecondition(text string) (p DomainPrecondition, ok bool) {
	term, sequence, _ := strings.Cut(text, "-")
	var errTerm, errSequence error
	p.Term, errTerm = strconv.ParseUint(term, 10, 64)
	p.Sequence, errSequence = strconv.ParseUint(sequence, 10, 64)
	return p, errTerm == nil && errSequence == nil
}

// DomainPreconditionRequest asks for the precondition of the next change of a failure
// domain.
type DomainPreconditionRequest struct {
	Name FailureDomain `json:"name"`
}

// DomainResponse carries the revision at which the state was accepted.
type DomainResponse struct {
	Revision Revision `json:"revision"`
}

// DepartRequest reports that a backend server leaves.
type DepartRequest struct {
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
	// Final is set if the server sends no further announcements.
	Final bool `json:"final,omitempty"`
}

// IncarnationRequest asks for the newest incarnation of a backend server.
type IncarnationRequest struct {
	Host HostID `json:"host"`
}

// IncarnationResponse holds the incarnation that has announced itself, or the current
// Unix time in milliseconds if none has.
type IncarnationResponse struct {
	Incarnation Incarnation `json:"incarnation"`
}

// EnrollRequest announces a running control daemon to the leader.
type EnrollRequest struct {
	Voter   VoterID       `json:"voter"`
	Address string        `json:"address"`
	Domain  FailureDomain `json:"domain"`
	// Leaving is set while the daemon shuts down. It is omitted otherwise, because
	// daemons refuse fields that they don't know.
	Leaving bool `json:"leaving,omitempty"`
}

// EnrollResponse lists the peer addresses of the control daemons.
type EnrollResponse struct {
	Members []string `json:"members"`
	// Replacing is set in the response to a voter that shuts down while another daemon
	// is about to take its place. Until then the voter should keep running.
	Replacing bool `json:"replacing,omitempty"`
}

// LoadReport reports to other entries the work that an entry has in progress on
// replicas and backend servers, and which of them it suspects.
type LoadReport struct {
	Entry       EntryID     `json:"entry"`
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	// Publication is the version of the publication that the entry applies.
	Publication uint64 `json:"publication,omitempty"`
	// Domain is the failure domain of the entry.
	Domain FailureDomain `json:"domain,omitempty"`
	// LinksLost is set while the entry has no links to any server.
	LinksLost bool   `json:"links_lost,omitempty"`
	Loads     []Load `json:"loads,omitempty"`
	// Sums are the totals of failure domains other than the receiver's.
	Sums []DomainLoads `json:"sums,omitempty"`
	// Crashes lists the crashes that no earlier report included.
	Crashes []Crash `json:"crashes,omitempty"`
	// Answers lists those to requests with keys under which servers had crashed.
	Answers []HarmlessAnswer `json:"answers,omitempty"`
}

// DomainLoads is the total work in progress of all entries of a failure domain.
type DomainLoads struct {
	Domain FailureDomain `json:"domain"`
	Loads  []Load        `json:"loads"`
}

// Crash reports a replica or backend server that failed while it ran a request.
type Crash struct {
	// Pool names the targets among which the server was chosen.
	Pool string `json:"p"`
	// Keys are what the request shares with others: the parts of its prompt, its content.
	Keys       []string `json:"k"`
	Target     string   `json:"t"`
	Generation uint64   `json:"g"`
	// AgeMillis is the time since the crash, HeldMillis that from the sending of the
	// request to the crash.
	AgeMillis  int64 `json:"a,omitempty"`
	HeldMillis int64 `json:"h,omitempty"`
}

// HarmlessAnswer reports a complete answer to a request with the keys.
type HarmlessAnswer struct {
	Pool       string   `json:"p"`
	Keys       []string `json:"k"`
	Target     string   `json:"t"`
	Generation uint64   `json:"g"`
	AgeMillis  int64    `json:"a,omitempty"`
}

// Load is the work in progress on one replica or backend server.
type Load struct {
	Target string `json:"t"`
	// Running is the number of requests in progress, Prefill the number of prompt
	// tokens of those whose first event has not arrived.
	Running int `json:"r,omitempty"`
	Prefill int `json:"p,omitempty"`
	// Context is the number of tokens that the running requests hold.
	Context int `json:"c,omitempty"`
	// SuspectMillis is the remaining time in which the entry sends no requests there.
	SuspectMillis int64 `json:"s,omitempty"`
	// Limit is the rate over all entries that the target has named, in requests a second;
	// nil without one.
	Limit *float64 `json:"l,omitempty"`
}

// ProgressReport reports to the control leader the progress that an entry
// observes on the replicas that run its requests.
type ProgressReport struct {
	Entry  EntryID         `json:"entry"`
	Groups []GroupProgress `json:"groups"`
}

// GroupProgress is the observed progress of one replica.
type GroupProgress struct {
	Group   GroupID `json:"g"`
	Fencing Fencing `json:"f"`
	// AnsweredMillis is the age of the newest byte of an answer, -1 if there is none.
	AnsweredMillis int64 `json:"a"`
	// Stalled is set while requests wait on the replica and no byte arrives.
	Stalled bool `json:"s,omitempty"`
}
