package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// TestAbandonedGrantIsReportedToNewOwners checks that an abandoned grant is not
// renewed by its owner, but is reported to a later owner.
func TestAbandonedGrantIsReportedToNewOwners(t *testing.T) {
	h := NewHeldGrants()
	g := api.Grant{ID: "3-1", Shard: testShard, Epoch: 3, ExpiresMillis: 8000}
	require.True(t, h.Add(testStart, testStart, g))
	h.Abandon(g)
	require.False(t, h.Valid(testStart, g))
	require.Empty(t, h.beginReport(testShard, term{epoch: 3}))
	reported := h.beginReport(testShard, term{epoch: 4})
	require.Equal(t, []api.Grant{g}, reported)
	h.applyReport(testShard, term{epoch: 4}, reported, api.ReportResponse{RenewMillis: 60_000}, testStart)
	h.Expire(testStart.Add(8 * time.Second))
	require.Empty(t, h.grants)
}
