package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// TestServiceCountsGrow follows one entry over renewals that repeat, a restart
// and a leader that meets it late.
func TestServiceCountsGrow(t *testing.T) {
	first, second := api.EntryInfo{ID: "e1", Incarnation: 1}, api.EntryInfo{ID: "e1", Incarnation: 2}
	s := newServiceCounts()
	for i, tc := range []struct {
		entry api.EntryInfo
		count *api.ServiceCount
		grown api.ServiceCount
	}{
		{first, &api.ServiceCount{Ended: 50, Served: 40}, api.ServiceCount{}},
		{first, &api.ServiceCount{Ended: 53, Served: 42}, api.ServiceCount{Ended: 3, Served: 2}},
		{first, &api.ServiceCount{Ended: 53, Served: 42}, api.ServiceCount{}},
		{second, nil, api.ServiceCount{}},
		{second, &api.ServiceCount{Ended: 4, Served: 4}, api.ServiceCount{Ended: 4, Served: 4}},
	} {
		require.Equal(t, tc.grown, s.increase(tc.entry, tc.count), "renewal %d", i)
	}
}
