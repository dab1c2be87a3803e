package standin

import (
	"time"

	"github.com/go-kit/log"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/logging"
)

// Engine are the settings of the model engines. A zero value stands for the
// default.
type Engine struct {
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	Capabilities  api.Capabilities
	// LoadTime is how long a host loads a model.
	LoadTime time.Duration
	// RestartTime is how long a host that fell over stays away.
	RestartTime time.Duration
	// ColdLoad and WarmLoad are the concurrent requests borne by a replica.
	ColdLoad int
	WarmLoad int
	// WarmAfter is the number of completed requests that end a cold start.
	WarmAfter int
	// FirstToken is the time to the first token of an empty prompt; each block
	// of the prompt that is not cached adds BlockTime.
	FirstToken time.Duration
	BlockTime  time.Duration
	// CacheBlocks bounds the prefix cache, in blocks of BlockBytes.
	CacheBlocks int
	// TokenTime is the time between two tokens of a request that runs alone.
	TokenTime time.Duration
	// BatchFactor is the share of TokenTime that each further request adds.
	BatchFactor float64
	// ColdFactor multiplies the times during a cold start.
	ColdFactor float64
	// ReportLag is the age of the load that is announced.
	ReportLag time.Duration
}

// Defaults of Engine.
const (
	DefaultLoadTime    = 50 * time.Millisecond
	DefaultRestartTime = 100 * time.Millisecond
	DefaultColdLoad    = 2
	DefaultWarmLoad    = 8
	DefaultWarmAfter   = 4
	DefaultFirstToken  = 4 * time.Millisecond
	DefaultBlockTime   = 200 * time.Microsecond
	DefaultCacheBlocks = 4096
	DefaultTokenTime   = 2 * time.Millisecond
	DefaultBatchFactor = 0.05
	DefaultColdFactor  = 3
	DefaultReportLag   = 200 * time.Millisecond
)

// Service are the settings of one plain service.
type Service struct {
	Name string
	// PerDomain is the number of servers in each failure domain.
	PerDomain int
	// Time is how long one call runs.
	Time time.Duration
	// ColdLoad and WarmLoad are the concurrent calls borne by a server, which
	// falls over above them. 0 for ColdLoad sets no limit and announces none.
	ColdLoad int
	WarmLoad int
	// WarmAfter is the number of completed calls that end a cold start.
	WarmAfter int
}

// Config are the settings of a fleet.
type Config struct {
	// Entries are caller addresses of entries to announce to.
	Entries []string
	// Token is the bearer token of the backends.
	Token   string
	Domains []api.FailureDomain
	// Fabrics is the number of fabric domains, dealt over the failure domains in
	// turn; each has HostsPerFabric hosts.
	Fabrics        int
	HostsPerFabric int
	// Prefix begins the names of hosts and fabric domains.
	Prefix   string
	Engine   Engine
	Services []Service
	// AnnounceInterval applies until an entry asks for another one.
	AnnounceInterval time.Duration
	Clock            clock.Clock
	Logger           log.Logger
}

// DefaultAnnounceInterval is the time between two announcements of a host.
const DefaultAnnounceInterval = 500 * time.Millisecond

// AllCapabilities are the optional parts that the stand-in engine models.
var AllCapabilities = api.Capabilities{Resume: true, Cancel: true, Priority: true}

func (c Config) withDefaults() Config {
	if c.AnnounceInterval == 0 {
		c.AnnounceInterval = DefaultAnnounceInterval
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Logger == nil {
		c.Logger = logging.Discard()
	}
	c.Engine = c.Engine.withDefaults()
	return c
}

func (e Engine) withDefaults() Engine {
	setDefault(&e.LoadTime, DefaultLoadTime)
	setDefault(&e.RestartTime, DefaultRestartTime)
	setDefault(&e.ColdLoad, DefaultColdLoad)
	setDefault(&e.WarmLoad, DefaultWarmLoad)
	setDefault(&e.WarmAfter, DefaultWarmAfter)
	setDefault(&e.FirstToken, DefaultFirstToken)
	setDefault(&e.BlockTime, DefaultBlockTime)
	setDefault(&e.CacheBlocks, DefaultCacheBlocks)
	setDefault(&e.TokenTime, DefaultTokenTime)
	setDefault(&e.BatchFactor, DefaultBatchFactor)
	setDefault(&e.ColdFactor, DefaultColdFactor)
	setDefault(&e.ReportLag, DefaultReportLag)
	return e
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
