package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

func TestPackedPublicationIsUnchanged(t *testing.T) {
	p := publication()
	packed, err := Pack(p)
	require.NoError(t, err)
	require.Equal(t, p.Version, packed.Version)
	unpacked, err := Unpack(packed)
	require.NoError(t, err)
	require.Equal(t, p, unpacked)
	text, err := Decompress(nil)
	require.NoError(t, err)
	require.Empty(t, text)
}

func TestUnreadablePublicationsAreRefused(t *testing.T) {
	packed, err := Pack(publication())
	require.NoError(t, err)
	for name, bad := range map[string]api.PackedPublication{
		"no data":           {Version: packed.Version},
		"not compressed":    {Version: packed.Version, Data: []byte("text")},
		"cut short":         {Version: packed.Version, Data: packed.Data[:len(packed.Data)/2]},
		"another version":   {Version: packed.Version + 1, Data: packed.Data},
		"not a publication": {Version: packed.Version, Data: Compress([]byte("[1]"))},
		"too large":         {Version: packed.Version, Data: Compress(make([]byte, maxUnpackedBytes+1))},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Unpack(bad)
			require.True(t, errs.Is(err, errs.Invalid), "%v", err)
		})
	}
}
