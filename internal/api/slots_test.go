package api

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSlotsRoundTrip(t *testing.T) {
	for _, slots := range [][]uint64{{}, {0}, {7}, {300, 2, 1 << 60}, {5, 5}} {
		got, err := DecodeSlots(EncodeSlots(slices.Clone(slots)))
		require.NoError(t, err)
		slices.Sort(slots)
		require.Equal(t, slots, got)
	}
}

func FuzzDecodeSlots(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x80})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x01})
	f.Add(EncodeSlots([]uint64{1, 2, 300}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		slots, err := DecodeSlots(raw)
		if err != nil {
			return
		}
		require.True(t, slices.IsSorted(slots))
		again, err := DecodeSlots(EncodeSlots(slices.Clone(slots)))
		require.NoError(t, err)
		require.Equal(t, slots, again)
	})
}
