package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func route(host, prefix string) api.Route {
	return api.Route{
		Name: host + prefix, Host: host, PathPrefix: prefix, Kind: api.CallIdempotent, TimeoutMillis: 1000,
		Split: []api.RouteShare{{Service: "ledger", Weight: 1}},
	}
}

func publication() *api.Publication {
	return &api.Publication{
		Version:  3,
		Routes:   []api.Route{route("a.example", "/"), route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/")},
		Services: []api.PublishedService{{Name: "ledger"}},
		Accounts: []api.PublishedAccount{{ID: "shop", KeyHashes: []string{HashKey("k1")}}},
	}
}

func TestRouteTakesTheLongestPrefix(t *testing.T) {
	table := Compile(publication())
	cases := []struct{ host, path, want string }{
		{"a.example", "/", "a.example/"},
		{"a.example", "/x", "a.example/"},
		{"a.example", "/x/", "a.example/x/"},
		{"A.Example:8080", "/x/y", "a.example/x/"},
		{"a.example", "/x/y/z/1", "a.example/x/y/"},
		{"a.example", "/xx/y/", "a.example/"},
		{"b.example", "/", ""},
		{"b.example", "/x/1", "b.example/x/"},
		{"c.example", "/x/1", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			r := table.Route(c.host, c.path)
			if c.want == "" {
				require.Nil(t, r)
				return
			}
			require.NotNil(t, r)
			require.Equal(t, c.want, r.Name)
		})
	}
}

func TestAccountOfKey(t *testing.T) {
	table := Compile(publication())
	require.Equal(t, api.AccountID("shop"), table.Account("k1").ID)
	require.Nil(t, table.Account("k2"))
	require.Nil(t, table.Account(""))
}

func TestPickFollowsWeights(t *testing.T) {
	r := route("a", "/")
	r.Split = []api.RouteShare{{Service: "a", Weight: 3}, {Service: "b", Weight: 0}, {Service: "c", Weight: 1}}
	seen := make(map[string]int)
	for range 4000 {
		seen[Pick(&r)]++
	}
	require.Zero(t, seen["b"])
	require.InDelta(t, 3000, seen["a"], 200)
}

func TestCheckNamesEveryFault(t *testing.T) {
	cases := []struct {
		name   string
		change func(*api.Publication)
		field  string
	}{
		{"valid", func(*api.Publication) {}, ""},
		{"unknown service", func(p *api.Publication) { p.Routes[1].Split[0].Service = "none" }, "routes[1].split.service"},
		{"same host and path", func(p *api.Publication) { p.Routes[1].PathPrefix = "/" }, "routes[1].path_prefix"},
		{"no weight", func(p *api.Publication) { p.Routes[2].Split[0].Weight = 0 }, "routes[2].split"},
		{"negative weight", func(p *api.Publication) {
			p.Routes[2].Split = append(p.Routes[2].Split, api.RouteShare{Service: "ledger", Weight: -1}, api.RouteShare{Service: "ledger", Weight: 5})
		}, "routes[2].split.weight"},
		{"no timeout", func(p *api.Publication) { p.Routes[0].TimeoutMillis = 0 }, "routes[0].timeout_millis"},
		{"prefix", func(p *api.Publication) { p.Routes[0].PathPrefix = "x" }, "routes[0].path_prefix"},
		{"kind", func(p *api.Publication) { p.Routes[0].Kind = "other" }, "routes[0].kind"},
		{"shared key", func(p *api.Publication) {
			p.Accounts = append(p.Accounts, api.PublishedAccount{ID: "school", KeyHashes: []string{HashKey("k1")}})
		}, "accounts[1].keys"},
		{"service twice", func(p *api.Publication) { p.Services = append(p.Services, p.Services[0]) }, "services[1].name"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := publication()
			c.change(p)
			list := Check(p)
			if c.field == "" {
				require.Empty(t, list)
				return
			}
			require.NotEmpty(t, list)
			require.Equal(t, c.field, list[0].Field)
		})
	}
}
