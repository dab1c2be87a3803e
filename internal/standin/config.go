package standin

import (
	"time"

	"github.com/go-kit/log"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/logging"
)

// Engine configures the model engines. Zero durations and numbers select the
// defaults.
type Engine struct {
	// ChecksFencing makes hosts reject orders with an old fencing number or for
	// another incarnation, and requests with the fencing number of another
	// generation.
	ChecksFencing bool
	Capabilities  api.Capabilities
	// LoadTime is how long a host loads a model.
	LoadTime time.Duration
	// RestartTime is the downtime of a host after a crash.
	RestartTime time.Duration
	// ColdLoad and WarmLoad are the numbers of requests that a replica can run
	// concurrently during and after a cold start.
	ColdLoad int
	WarmLoad int
	// WarmAfter is the number of completed requests that end a cold start.
	WarmAfter int
	// FirstToken is the time to first token for an empty prompt; each block of
	// the prompt that is not cached adds BlockTime.
	FirstToken time.Duration
	BlockTime  time.Duration
	// CacheBlocks bounds the prefix cache, in blocks of BlockBytes.
	CacheBlocks int
	// TokenTime is the time between two tokens of a request in a batch of one.
	TokenTime time.Duration
	// BatchFactor is the fraction by which each further running request increases
	// the times.
	BatchFactor float64
	// ColdFactor multiplies the times during a cold start.
	ColdFactor float64
	// ReportLag is the minimum age of the announced load.
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

// Service configures one plain service.
type Service struct {
	Name string
	// PerDomain is the number of backend servers in each failure domain.
	PerDomain int
	// Time is the duration of one call.
	Time time.Duration
	// ColdLoad and WarmLoad are the maximum numbers of concurrent calls during and
	// after a cold start; a backend server crashes above them. 0 for ColdLoad sets
	// no limit during the cold start and announces none at all.
	ColdLoad int
	WarmLoad int
	// WarmAfter is the number of completed calls that end a cold start.
	WarmAfter int
}

// Config configures a fleet.
type Config struct {
	// Entries are the caller addresses of the entries to announce to.
	Entries []string
	// Token is the bearer token of the backend servers.
	Token   string
	Domains []api.FailureDomain
	// Fabrics is the number of fabric domains, assigned to the failure domains
	// round-robin; each has HostsPerFabric hosts.
	Fabrics        int
	HostsPerFabric int
	// Prefix is prepended to the names of hosts and fabric domains.
	Prefix   string
	Engine   Engine
	Services []Service
	// AnnounceInterval applies unless an entry requests another interval.
	AnnounceInterval time.Duration
	Clock            clock.Clock
	Logger           log.Logger
}

// DefaultAnnounceInterval is the default of Config.AnnounceInterval.
const DefaultAnnounceInterval = 500 * time.Millisecond

// AllCapabilities are the optional capabilities that the simulated engine
// implements.
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
