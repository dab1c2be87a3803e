package daemon

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// TestAlternativesAreBounded covers many hosts at the planned size of a region.
func TestAlternativesAreBounded(t *testing.T) {
	entries := make([]api.EntryInfo, 85)
	for i := range entries {
		entries[i] = api.EntryInfo{CallerAddress: fmt.Sprint(i), Live: true}
	}
	entries[0].Live, entries[1].Leaving = false, true
	named := make(map[string]bool)
	for i := range 1000 {
		some := alternatives(entries, api.HostID(fmt.Sprintf("host-%d", i)))
		require.Len(t, some, maxAlternatives)
		for _, address := range some {
			named[address] = true
		}
	}
	require.Len(t, named, 83, "every live entry is returned to some host, and no other entry is")
	require.Len(t, alternatives(entries[:6], "h"), 4)
}
