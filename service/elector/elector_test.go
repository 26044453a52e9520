package elector_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/elector"
)

// Guards against hosts that choose differently because they list the same members in another order, and against keys that
// move when another host is lost.
func TestChoiceIsStable(t *testing.T) {
	var hosts []codec.Member
	for i := range 9 {
		hosts = append(hosts, codec.Member{ID: identifier.HostID(fmt.Sprint("h", i))})
	}
	for i := range 50 {
		key := fmt.Sprint("key", i)
		chosen, ok := elector.Choose(key, hosts)
		require.True(t, ok)
		reversed := make([]codec.Member, 0, len(hosts))
		for j := range hosts {
			reversed = append(reversed, hosts[len(hosts)-1-j])
		}
		again, _ := elector.Choose(key, reversed)
		require.Equal(t, chosen, again)
		for _, other := range hosts {
			if other.ID == chosen.ID {
				continue
			}
			kept, _ := elector.Choose(key, hosts, other.ID)
			require.Equal(t, chosen, kept, "the loss of %s moved the key", other.ID)
		}
	}
	_, ok := elector.Choose("key", nil)
	require.False(t, ok)
	_, ok = elector.Find("absent", hosts)
	require.False(t, ok)
}

// Guards against tasks of the whole fleet on hosts with little processor time while larger ones are live.
func TestLargeHostsAreChosen(t *testing.T) {
	hosts := []codec.Member{{ID: "large1", Capacity: 800}, {ID: "large2", Capacity: 600}}
	for i := range 20 {
		hosts = append(hosts, codec.Member{ID: identifier.HostID(fmt.Sprint("small", i)), Capacity: 192})
	}
	for i := range 50 {
		ranked := elector.Rank(fmt.Sprint("key", i), hosts, 3)
		require.Len(t, ranked, 3)
		require.NotContains(t, string(ranked[0].ID), "small")
		require.NotContains(t, string(ranked[1].ID), "small")
		require.NotEqual(t, ranked[0].ID, ranked[1].ID)
		require.Contains(t, string(ranked[2].ID), "small", "without large hosts a small one must serve")
		chosen, _ := elector.Choose(fmt.Sprint("key", i), hosts)
		require.Equal(t, ranked[0], chosen)
	}
	require.Len(t, elector.Rank("key", hosts[:2], 3), 2)
}
