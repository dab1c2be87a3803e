package daemon

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// TestAlternativesAreBounded asks for many hosts at the planned size of a region.
func TestAlternativesAreBounded(t *testing.T) {
	entries := []api.EntryInfo{{CallerAddress: "gone"}, {CallerAddress: "leaving", Live: true, Leaving: true}}
	for i := range 83 {
		entries = append(entries, api.EntryInfo{CallerAddress: fmt.Sprint(i), Live: true})
	}
	named := make(map[string]bool)
	for i := range 1000 {
		some := alternatives(entries, api.HostID(fmt.Sprintf("host-%d", i)))
		require.Len(t, some, maxAlternatives)
		for _, address := range some {
			named[address] = true
		}
	}
	require.Len(t, named, 83, "every live entry is named to some host, no other is")
	require.Len(t, alternatives(entries[:6], "h"), 4)
}
