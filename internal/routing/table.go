// Package routing looks up the route and the client account of a request in a
// publication. A Table is immutable.
package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strings"

	"github.com/crocusway/crocusway/internal/api"
)

// Table is a publication with indexes for the request path.
type Table struct {
	publication *api.Publication
	// routes maps hosts to their routes by path prefix.
	routes   map[string]map[string]*api.Route
	accounts map[string]*api.PublishedAccount
	services map[string]*api.PublishedService
}

// Compile indexes a publication, which must not change afterwards.
func Compile(p *api.Publication) *Table {
	t := &Table{
		publication: p,
		routes:      make(map[string]map[string]*api.Route),
		accounts:    make(map[string]*api.PublishedAccount),
		services:    make(map[string]*api.PublishedService, len(p.Services)),
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*api.Route)
		}
		t.routes[host][r.PathPrefix] = r
	}
	for i := range p.Accounts {
		for _, hash := range p.Accounts[i].KeyHashes {
			t.accounts[hash] = &p.Accounts[i]
		}
	}
	for i := range p.Services {
		t.services[p.Services[i].Name] = &p.Services[i]
	}
	return t
}

// Version returns the version of the publication.
func (t *Table) Version() uint64 { return t.publication.Version }

// Limits returns the limits for callers' requests.
func (t *Table) Limits() api.CallerLimits { return t.publication.Limits }

// Services returns the services of the publication.
func (t *Table) Services() []api.PublishedService { return t.publication.Services }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *api.PublishedService { return t.services[name] }

// Route returns the route of the host with the longest prefix of the path, or nil. A
// port in host is ignored. Prefixes begin and end with a slash.
func (t *Table) Route(host, path string) *api.Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	byPrefix := t.routes[strings.ToLower(host)]
	if byPrefix == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Account returns the client account that holds a key, or nil.
func (t *Table) Account(key string) *api.PublishedAccount {
	if key == "" {
		return nil
	}
	return t.accounts[HashKey(key)]
}

// NeedsKey reports whether requests of a route need the key of an account.
func (t *Table) NeedsKey(r *api.Route) bool { return !r.Public && len(t.publication.Accounts) > 0 }

// HashKey returns the digest of a key as it appears in a publication.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Pick selects the service of one request at random by the weights of the route.
func Pick(r *api.Route) string {
	sum := 0
	for _, share := range r.Split {
		sum += share.Weight
	}
	if sum <= 0 {
		return ""
	}
	n := rand.IntN(sum)
	for _, share := range r.Split {
		if n < share.Weight {
			return share.Service
		}
		n -= share.Weight
	}
	return ""
}
