package peer

import (
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
)

// TestEncodedResultMatchesLibraryEncoding checks that encodeRaw produces the same
// message as the library.
func TestEncodedResultMatchesLibraryEncoding(t *testing.T) {
	id := jsonrpc2.ID{Num: 42}
	result := map[string]any{"a": 1, "b": []string{"x", "<y>"}}
	raw, err := json.Marshal(result)
	require.NoError(t, err)
	want, err := encodeResult(id, result)
	require.NoError(t, err)
	got, err := encodeResult(id, Encoded(raw))
	require.NoError(t, err)
	require.JSONEq(t, string(want[frameHeader:]), string(got[frameHeader:]))
	require.Len(t, got, len(want))
	require.Equal(t, want[:frameHeader], got[:frameHeader])
}
