package elector

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// capacityDivisor sets the least capacity of a host that is chosen, as a part of the largest capacity among the hosts. A task
// of the whole fleet takes a small host's processor for a noticeable time, so it goes to a large one where there are some.
const capacityDivisor = 2

// Choose returns the host for a key by rendezvous hashing among the hosts with the most processor time, so that a change of
// the hosts moves few keys; it returns false if no host remains. The choice is only a hint, since hosts with different live
// members may choose differently.
func Choose(key string, hosts []codec.Member, excluded ...identifier.HostID) (codec.Member, bool) {
	ranked := Rank(key, hosts, 1, excluded...)
	if len(ranked) == 0 {
		return codec.Member{}, false
	}
	return ranked[0], true
}

// Rank returns at most count hosts for a key, the one that Choose returns first and then those that replace it, in order.
func Rank(key string, hosts []codec.Member, count int, excluded ...identifier.HostID) []codec.Member {
	var ranked []codec.Member
	without := slices.Clone(excluded)
	for len(ranked) < count {
		members := eligible(hosts, without)
		if len(members) == 0 {
			break
		}
		ids := make([]string, 0, len(members))
		for id := range members {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		chosen := members[rendezvous.New(ids, xxhash.Sum64String).Lookup(key)]
		ranked = append(ranked, chosen)
		without = append(without, chosen.ID)
	}
	return ranked
}

// eligible returns the hosts with enough capacity by id.
func eligible(hosts []codec.Member, excluded []identifier.HostID) map[string]codec.Member {
	largest := 0
	for _, member := range hosts {
		if !slices.Contains(excluded, member.ID) {
			largest = max(largest, member.Capacity)
		}
	}
	members := make(map[string]codec.Member, len(hosts))
	for _, member := range hosts {
		if !slices.Contains(excluded, member.ID) && capacityDivisor*member.Capacity >= largest {
			members[string(member.ID)] = member
		}
	}
	return members
}

// Find returns the host with an id, or false if the list does not contain it.
func Find(id identifier.HostID, hosts []codec.Member) (codec.Member, bool) {
	i := slices.IndexFunc(hosts, func(member codec.Member) bool { return member.ID == id })
	if i < 0 {
		return codec.Member{}, false
	}
	return hosts[i], true
}
