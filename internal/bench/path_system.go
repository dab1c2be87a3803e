package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/local"
	"github.com/crocusway/crocusway/internal/standin"
	"github.com/crocusway/crocusway/internal/standin/network"
)

const (
	pathModel   = "scribe"
	pathDaemons = 4
	pathVoters  = 3
	// pathStartTimeout bounds the time until a system is ready.
	pathStartTimeout = 60 * time.Second
	// pathTimeout bounds one request.
	pathTimeout = 30 * time.Second
)

var pathDomains = []api.FailureDomain{"domain-a", "domain-b", "domain-c"}

// pathSpec describes the replicas, accounts and services of an experiment.
type pathSpec struct {
	preset          Preset
	replicas        int
	hostsPerReplica int
	// spares is the number of idle hosts in each fabric domain.
	spares   int
	engine   standin.Engine
	accounts []api.Account
	services []standin.Service
	// network is put between the daemons, if not nil.
	network *network.Network
	// attach names daemons that run elsewhere, nil for own ones.
	attach *local.Attachment
}

// Sizes of the request path experiments. They are below those of the
// deployments, so that one host can run the load and the stand-ins.
const (
	pathReplicas      = 9
	nilecraftHosts    = 2
	tabrakHosts       = 3
	pathTokens        = 20
	pathTokenTime     = 15 * time.Millisecond
	pathFirstToken    = 20 * time.Millisecond
	pathWarmLoad      = 4
	pathPromptVariety = 1000
)

// newPathSpec returns the common spec of a preset with one account.
func newPathSpec(o Options) pathSpec {
	hosts := nilecraftHosts
	if o.Preset == PresetTabrak {
		hosts = tabrakHosts
	}
	return pathSpec{
		preset:          o.Preset,
		attach:          o.Attach,
		replicas:        pathReplicas,
		hostsPerReplica: hosts,
		engine: standin.Engine{
			ChecksFencing: true,
			Capabilities:  standin.AllCapabilities,
			LoadTime:      200 * time.Millisecond,
			RestartTime:   500 * time.Millisecond,
			WarmLoad:      pathWarmLoad,
			TokenTime:     pathTokenTime,
			FirstToken:    pathFirstToken,
			ColdFactor:    2,
		},
		accounts: []api.Account{pathAccount("counter", 5, pathReplicas*pathWarmLoad)},
	}
}

// capacity returns the number of requests that all warm replicas run at once.
func (s pathSpec) capacity() int { return s.replicas * s.engine.WarmLoad }

// requestTime returns how long a full replica runs one request of pathTokens.
func (s pathSpec) requestTime() time.Duration {
	factor := 1 + standin.DefaultBatchFactor*float64(s.engine.WarmLoad-1)
	alone := s.engine.FirstToken + (pathTokens-1)*s.engine.TokenTime
	return time.Duration(factor * float64(alone))
}

// rate returns the number of requests a second that all warm replicas complete.
func (s pathSpec) rate() float64 { return float64(s.capacity()) / s.requestTime().Seconds() }

// pathAccount returns an account whose API key is its name.
func pathAccount(name string, class, share int) api.Account {
	sum := sha256.Sum256([]byte(name))
	return api.Account{ID: api.AccountID(name), KeyHashes: []string{hex.EncodeToString(sum[:])}, Class: class, Share: share}
}

// fleet returns the settings of the backend servers: one fabric domain in each
// failure domain.
func (s pathSpec) fleet() standin.Config {
	perDomain := (s.replicas + len(pathDomains) - 1) / len(pathDomains)
	return standin.Config{
		Fabrics:        len(pathDomains),
		HostsPerFabric: perDomain*s.hostsPerReplica + s.spares,
		Engine:         s.engine,
		Services:       s.services,
	}
}

// placement assigns the hosts of each fabric domain to replicas.
func (s pathSpec) placement(f *standin.Fleet) [][]*standin.Host {
	out := make([][]*standin.Host, 0, s.replicas)
	for i := range s.replicas {
		hosts := f.InDomain(pathDomains[i%len(pathDomains)])
		first := i / len(pathDomains) * s.hostsPerReplica
		out = append(out, hosts[first:first+s.hostsPerReplica])
	}
	return out
}

func (s pathSpec) intent() api.Intent {
	intent := api.Intent{
		ServingGroups: []api.ServingGroup{{
			Name:            pathModel,
			Model:           pathModel,
			Replicas:        s.replicas,
			HostsPerReplica: s.hostsPerReplica,
			ChecksFencing:   s.engine.ChecksFencing,
		}},
		Accounts: s.accounts,
	}
	for _, name := range pathDomains {
		intent.Domains = append(intent.Domains, api.Domain{Name: name, State: api.DomainActive})
	}
	for _, service := range s.services {
		intent.Services = append(intent.Services, api.Service{Name: service.Name})
	}
	return intent
}

// pathSystem is a system with its callers.
type pathSystem struct {
	spec   pathSpec
	system *local.System

	mu      sync.Mutex
	clients map[string]*caller.Client
}

// startPathSystem starts the daemons and the fleet, confirms the intent and
// waits until every replica is ready.
func startPathSystem(ctx context.Context, spec pathSpec) (*pathSystem, error) {
	fleet := spec.fleet()
	if spec.attach != nil {
		// The daemons still hold the hosts of earlier runs with their
		// incarnations, so that each run needs new names.
		fleet.Prefix = "bench-" + strings.ToLower(ulid.Make().String()) + "-"
	}
	system, err := local.Start(local.Config{
		Daemons: pathDaemons,
		Voters:  pathVoters,
		Domains: pathDomains,
		Fleet:   fleet,
		Attach:  spec.attach,
		Network: spec.network,
		Adjust:  func(s *config.Serve) { s.Preset = string(spec.preset) },
	})
	if err != nil {
		return nil, err
	}
	p := &pathSystem{spec: spec, system: system, clients: make(map[string]*caller.Client)}
	if err = p.await(ctx); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *pathSystem) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pathStartTimeout)
	defer cancel()
	if err := p.checkDomains(); err != nil {
		return err
	}
	if _, _, err := p.system.Confirm(ctx, p.spec.intent()); err != nil {
		return errors.Wrap(err, "confirm the intent")
	}
	_, err := p.system.Await(ctx, "all replicas", func(s api.StatusResponse) bool {
		return local.ReadyGroups(s, pathModel) == p.spec.replicas && p.hasEntries(s)
	})
	return err
}

// checkDomains returns an error unless daemons that run elsewhere have a live
// entry in each failure domain of the backend servers: an entry prefers its own
// domain, so that the load would not reach the others.
func (p *pathSystem) checkDomains() error {
	if p.spec.attach == nil {
		return nil
	}
	status, err := p.system.Client.Status()
	if err != nil {
		return errors.Wrap(err, "read the entries")
	}
	covered := make(map[api.FailureDomain]bool)
	for _, e := range status.View.Entries {
		covered[e.Domain] = covered[e.Domain] || e.Live
	}
	for _, d := range pathDomains {
		if !covered[d] {
			return errors.Newf("daemons: no live entry in failure domain %q, must be one in each of %v", d, pathDomains)
		}
	}
	return nil
}

// hasEntries reports whether the entries that the load needs are live.
func (p *pathSystem) hasEntries(s api.StatusResponse) bool {
	if p.spec.attach != nil {
		return local.LiveEntries(s) > 0
	}
	return local.LiveEntries(s) == pathDaemons
}

// close stops the system. From daemons that run elsewhere it removes the
// objects of the intent.
func (p *pathSystem) close() {
	if p.spec.attach != nil {
		ctx, cancel := context.WithTimeout(context.Background(), pathStartTimeout)
		defer cancel()
		_, _, _ = p.system.Confirm(ctx, local.RemovalOf(p.spec.intent()))
	}
	p.system.Close()
}

// client returns the caller of an account.
func (p *pathSystem) client(account string) *caller.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[account]
	if !ok {
		c = caller.New(account, p.system.Entries())
		p.clients[account] = c
	}
	return c
}

// call implements pathTarget.
func (p *pathSystem) call(ctx context.Context, c pathCall) pathResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeout(pathTimeout))
	defer cancel()
	began := time.Now()
	answer, err := p.client(c.account).Chat(ctx, pathModel, c.prompt, c.tokens)
	r := pathResult{
		ending:     classifyAnswer(answer, err, c.tokens, answer.IsComplete()),
		status:     answer.Status,
		firstToken: answer.FirstToken,
		gaps:       answer.Gaps,
	}
	if (r.ending == endCut || r.ending == endFailed) && c.timedOut(began) {
		r.ending = endGaveUp
	}
	return r
}
