package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// Renewals of one entry repeat, the entry restarts, and the leader first sees
// it after it has already counted requests.
func TestServiceCountsGrow(t *testing.T) {
	first, second := api.EntryInfo{ID: "e1", Incarnation: 1}, api.EntryInfo{ID: "e1", Incarnation: 2}
	s := newServiceCounts()
	for i, tc := range []struct {
		entry    api.EntryInfo
		count    *api.ServiceCount
		increase api.ServiceCount
	}{
		{first, &api.ServiceCount{Ended: 50, Served: 40}, api.ServiceCount{}},
		{first, &api.ServiceCount{Ended: 53, Served: 42}, api.ServiceCount{Ended: 3, Served: 2}},
		{first, &api.ServiceCount{Ended: 53, Served: 42}, api.ServiceCount{}},
		{second, nil, api.ServiceCount{}},
		{second, &api.ServiceCount{Ended: 4, Served: 4}, api.ServiceCount{Ended: 4, Served: 4}},
	} {
		require.Equal(t, tc.increase, s.increase(tc.entry, tc.count), "renewal %d", i)
	}
}
