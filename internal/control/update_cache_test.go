package control

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func watched(from, to api.Revision, full bool) api.WatchResponse {
	u := api.ViewUpdate{From: from, To: to, Full: full}
	u.Upsert.Revision = to
	u.Upsert.Servers = []api.ServiceServer{{Host: api.HostID(fmt.Sprint("h", to))}}
	return api.WatchResponse{Update: u}
}

// A repeated update is encoded once, and more updates than the cache holds are
// encoded correctly.
func TestUpdateIsEncodedOnce(t *testing.T) {
	var c updateCache
	first, err := c.encode(watched(1, 2, false))
	require.NoError(t, err)
	again, err := c.encode(watched(1, 2, false))
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0])
	for i := range api.Revision(3 * cachedUpdates) {
		for _, full := range []bool{false, true} {
			raw, err := c.encode(watched(i, i+1, full))
			require.NoError(t, err)
			var back api.WatchResponse
			require.NoError(t, json.Unmarshal(raw, &back))
			require.Equal(t, watched(i, i+1, full), back)
		}
	}
	require.Len(t, c.rows, cachedUpdates)
}
