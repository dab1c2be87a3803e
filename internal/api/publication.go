package api

// CallKind tells how often the calls of a route may run.
type CallKind string

// Kinds of calls.
const (
	// CallIdempotent may run any number of times.
	CallIdempotent CallKind = "idempotent"
	// CallOnce may run at most once for each request of a caller.
	CallOnce CallKind = "once"
	// CallStream is answered by a stream of numbered events. It counts as
	// CallOnce unless its route is resumable.
	CallStream CallKind = "stream"
)

// Publication is a whole routing configuration under the operator's own version.
// A publication replaces the one before; the highest version is in force.
type Publication struct {
	Version  uint64             `json:"version"`
	Routes   []Route            `json:"routes,omitempty"`
	Services []PublishedService `json:"services,omitempty"`
	// Accounts are the client accounts whose keys non-public routes accept.
	// Without any, every route is public.
	Accounts []PublishedAccount `json:"accounts,omitempty"`
	Limits   CallerLimits       `json:"limits"`
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name       string   `json:"name"`
	Host       string   `json:"host"`
	PathPrefix string   `json:"path_prefix"`
	Kind       CallKind `json:"kind"`
	// Resumable streams may go on at another replica behind a given event.
	Resumable bool `json:"resumable,omitempty"`
	// TimeoutMillis bounds a request from its receipt to the end of its answer.
	TimeoutMillis int64 `json:"timeout_millis"`
	// ObjectiveMillis is the wanted time to the answer, of a stream to its first
	// event; GapObjectiveMillis the longest wanted pause between two events.
	ObjectiveMillis    int64 `json:"objective_millis,omitempty"`
	GapObjectiveMillis int64 `json:"gap_objective_millis,omitempty"`
	// Urgency orders routes and accounts; 0 goes first.
	Urgency int          `json:"urgency"`
	Split   []RouteShare `json:"split"`
	// MaxAttempts is the number of replicas that one request may run on.
	MaxAttempts int `json:"max_attempts"`
	// Public routes take requests without a key.
	Public bool `json:"public,omitempty"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == CallIdempotent || r.Kind == CallStream && r.Resumable
}

// RouteShare is the part of a route's requests that goes to one service.
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
	// Urgency goes before that of the route; nil leaves the route's.
	Urgency *int `json:"urgency,omitempty"`
}

// CallerLimits bound what a caller may send and how long it may take. 0 stands
// for the default of the daemon.
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
	// MaxConnections bounds the connections to one server, over all callers.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdStartMillis is how long a server stays cold; ColdRate is the number of
	// requests a second that it bears meanwhile, over all entries.
	ColdStartMillis int64   `json:"cold_start_millis,omitempty"`
	ColdRate        float64 `json:"cold_rate,omitempty"`
	// Engine is set for model engines.
	Engine *EngineProfile `json:"engine,omitempty"`
}

// EngineProfile describes how the replicas of a model engine work. Times are of
// a replica at pace 1.
type EngineProfile struct {
	// Slots is the number of requests that one replica runs at once.
	Slots int `json:"slots"`
	// MemoryTokens is the number of tokens that one replica holds.
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// Stride is the number of decode steps in one pass, and so of the tokens that
	// arrive together.
	Stride int           `json:"stride,omitempty"`
	Models []EngineModel `json:"models"`
	// StepMillis is the time of a decode step, to which each running request adds
	// SequenceMillis, and each thousand tokens of context ContextMillis.
	StepMillis     float64 `json:"step_millis,omitempty"`
	SequenceMillis float64 `json:"sequence_millis,omitempty"`
	ContextMillis  float64 `json:"context_millis,omitempty"`
	// PrefillRate is the number of prompt tokens read in a second; PairMillis is
	// added for each million pairs of a token and an earlier one.
	PrefillRate float64 `json:"prefill_rate,omitempty"`
	PairMillis  float64 `json:"pair_millis,omitempty"`
	// Chunk is the number of prompt tokens read in one step at most.
	Chunk int `json:"chunk,omitempty"`
	// LoadsPerSecond is the number of loads that may begin in a second, and
	// LoadsAtOnce the number that run at full speed.
	LoadsPerSecond float64 `json:"loads_per_second,omitempty"`
	LoadsAtOnce    int     `json:"loads_at_once,omitempty"`
	// FormMillis is the time from the order to open until a replica serves.
	FormMillis int64 `json:"form_millis,omitempty"`
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int `json:"usual_prompt,omitempty"`
	UsualAnswer int `json:"usual_answer,omitempty"`
}

// EngineModel is one model of an engine service.
type EngineModel struct {
	Name string `json:"name"`
	// Hosts is the number of hosts that form one replica.
	Hosts int `json:"hosts"`
	// Share is the model's part of the work, relative to the other models.
	Share float64 `json:"share,omitempty"`
	// Pace multiplies the times of the profile; 0 stands for 1.
	Pace float64 `json:"pace,omitempty"`
	// LoadMillis is the time of a load from the weight store, WarmMillis from the
	// host's own copy.
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

// EngineGroupName names the serving group of one model of an engine service.
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
// and not bytes. It is above 1 so that rates may be fractions.
const LoadUnit = 1000

// Departure tells that a backend server announced that it leaves. It holds for
// the incarnation and every earlier one.
type Departure struct {
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
	// UnixMillis is when it was accepted.
	UnixMillis int64 `json:"unix_millis"`
}

// PublishRequest offers a publication. Source is the operator's own text, which
// reads return as it was sent.
type PublishRequest struct {
	Publication Publication `json:"publication"`
	Source      []byte      `json:"source"`
}

// PublishResponse acknowledges a publication that is stored, or that a higher or
// equal version already stored supersedes.
type PublishResponse struct {
	// Stored is the highest version that is stored.
	Stored uint64 `json:"stored"`
	// Changed is set if this call stored the publication.
	Changed  bool     `json:"changed"`
	Revision Revision `json:"revision"`
}

// PublicationResponse carries the source of the publication in force, empty
// before the first one.
type PublicationResponse struct {
	Version uint64 `json:"version"`
	Source  []byte `json:"source,omitempty"`
}

// DomainRequest sets the state of a failure domain without a plan.
type DomainRequest struct {
	Domain   Domain `json:"domain"`
	Operator string `json:"operator"`
}

// DomainResponse carries the revision at which the state is accepted.
type DomainResponse struct {
	Revision Revision `json:"revision"`
}

// DepartRequest reports that a backend server leaves.
type DepartRequest struct {
	Host        HostID      `json:"host"`
	Incarnation Incarnation `json:"incarnation"`
	// Final is set if the server announces itself no more.
	Final bool `json:"final,omitempty"`
}

// EnrollRequest tells the leader of a control daemon that runs.
type EnrollRequest struct {
	Voter   VoterID       `json:"voter"`
	Address string        `json:"address"`
	Domain  FailureDomain `json:"domain"`
}

// EnrollResponse names the peer addresses of the control daemons.
type EnrollResponse struct {
	Members []string `json:"members"`
}

// LoadReport tells other entries what an entry has in progress on replicas and
// servers, and which of them it suspects.
type LoadReport struct {
	Entry       EntryID     `json:"entry"`
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	// Publication is the version that the entry obeys.
	Publication uint64 `json:"publication,omitempty"`
	// Domain is the failure domain of the entry.
	Domain FailureDomain `json:"domain,omitempty"`
	Loads  []Load        `json:"loads,omitempty"`
	// Sums are the work of all entries of other failure domains than the receiver's.
	Sums []DomainLoads `json:"sums,omitempty"`
	// Crashes are those that no earlier report named.
	Crashes []Crash `json:"crashes,omitempty"`
}

// DomainLoads is what all entries of a failure domain have in progress together.
type DomainLoads struct {
	Domain FailureDomain `json:"domain"`
	Loads  []Load        `json:"loads"`
}

// Crash is a server that went down under a request. Content is a hash of what the
// request asks for.
type Crash struct {
	Content    uint64 `json:"c"`
	Target     string `json:"t"`
	Generation uint64 `json:"g"`
}

// Load is the work of one entry on one replica or server.
type Load struct {
	Target string `json:"t"`
	// Running counts requests in progress, Prefill the prompt tokens of those
	// whose first event has not arrived.
	Running int `json:"r,omitempty"`
	Prefill int `json:"p,omitempty"`
	// Context is the number of tokens that the running requests hold.
	Context int `json:"c,omitempty"`
	// SuspectMillis is for how much longer the entry sends nothing there.
	SuspectMillis int64 `json:"s,omitempty"`
}

// ProgressReport tells the control leader what an entry sees of replicas that it
// has requests on.
type ProgressReport struct {
	Entry  EntryID         `json:"entry"`
	Groups []GroupProgress `json:"groups"`
}

// GroupProgress is what one entry sees of one replica.
type GroupProgress struct {
	Group   GroupID `json:"g"`
	Fencing Fencing `json:"f"`
	// AnsweredMillis is the age of the newest byte of an answer, -1 without one.
	AnsweredMillis int64 `json:"a"`
	// Stalled is set while requests wait there and nothing arrives.
	Stalled bool `json:"s,omitempty"`
}
