package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

const changedDomain api.FailureDomain = "cairo"

// confirmedDomain returns the precondition of the next change.
func (f *fixture) confirmedDomain(t *testing.T) api.DomainPrecondition {
	t.Helper()
	p, err := f.service().domainPrecondition(ctx, api.DomainPreconditionRequest{Name: changedDomain})
	require.NoError(t, err)
	return p
}

func (f *fixture) changeDomain(state api.DomainState, p *api.DomainPrecondition) error {
	_, err := f.service().setDomain(ctx, api.DomainRequest{Domain: api.Domain{Name: changedDomain, State: state}, Operator: "o", Precondition: p})
	return err
}

func (f *fixture) domainState() api.DomainState {
	for _, d := range f.states[f.leader].View().Domains {
		if d.Name == changedDomain {
			return d.State
		}
	}
	return api.DomainActive
}

// A change that had been held up undid a later one.
func TestLateDomainChangeIsRefused(t *testing.T) {
	between := map[string]func(t *testing.T, f *fixture){
		"another change": func(t *testing.T, f *fixture) {
			p := f.confirmedDomain(t)
			require.NoError(t, f.changeDomain(api.DomainDrained, &p))
		},
		"the same change, resent": func(t *testing.T, f *fixture) {
			p := f.confirmedDomain(t)
			require.NoError(t, f.changeDomain(api.DomainActive, &p))
		},
		"a change by an older daemon": func(t *testing.T, f *fixture) {
			require.NoError(t, f.changeDomain(api.DomainDrained, nil))
		},
		"a change with an unknown outcome": func(t *testing.T, f *fixture) {
			p := f.confirmedDomain(t)
			f.setFaults(true, false)
			require.Error(t, f.changeDomain(api.DomainDrained, &p))
		},
		"a change that is not committed yet": func(t *testing.T, f *fixture) {
			p := f.confirmedDomain(t)
			f.setFaults(false, true)
			require.Error(t, f.changeDomain(api.DomainDrained, &p))
			f.setFaults(false, false)
		},
		"another leader":        func(_ *testing.T, f *fixture) { f.elect(1) },
		"the same leader again": func(_ *testing.T, f *fixture) { f.elect(2) },
	}
	for name, happens := range between {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.elect(2)
			late := f.confirmedDomain(t)
			happens(t, f)
			before := f.domainState()
			require.Equal(t, errs.Stale, codeOf(f.changeDomain(api.DomainActive, &late)))
			require.Equal(t, before, f.domainState())
		})
	}
}

// What makes a late change harmless must not refuse the same change when it is due again.
func TestRepeatedDomainChangesAreCarriedOut(t *testing.T) {
	f := newFixture()
	f.elect(2)
	for range 3 {
		for _, state := range []api.DomainState{api.DomainDrained, api.DomainActive, api.DomainActive} {
			p := f.confirmedDomain(t)
			require.NoError(t, f.changeDomain(state, &p))
			require.Equal(t, state, f.domainState())
		}
	}
	other := api.Domain{Name: "tanta", State: api.DomainDrained}
	p := f.confirmedDomain(t)
	_, err := f.service().setDomain(ctx, api.DomainRequest{Domain: other, Operator: "o"})
	require.NoError(t, err)
	require.NoError(t, f.changeDomain(api.DomainDrained, &p), "other failure domains don't count")
}
