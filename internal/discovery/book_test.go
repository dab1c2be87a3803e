package discovery

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBookPutsMembersBeforeSeeds(t *testing.T) {
	b := NewAddressBook([]string{"s1", "s2"})
	require.Equal(t, []string{"s1", "s2"}, b.Addresses())
	require.True(t, b.SetMembers([]string{"m1", "s2"}))
	require.False(t, b.SetMembers([]string{"m1", "s2"}), "unchanged members")
	require.False(t, b.SetMembers(nil), "an empty list is ignored")
	require.Equal(t, []string{"m1", "s2", "s1"}, b.Addresses())
	require.True(t, b.SetSeeds([]string{"s3"}))
	require.False(t, b.SetSeeds([]string{"s3"}))
	require.Equal(t, []string{"m1", "s2", "s3"}, b.Addresses())
}
