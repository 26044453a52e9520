package elector

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// Choose returns the host for a key by rendezvous hashing, so that a change of the hosts moves few keys; it returns false if
// no host remains. The choice is only a hint, since hosts with different live members may choose differently.
func Choose(key string, hosts []codec.Member, excluded ...identifier.HostID) (codec.Member, bool) {
	members := make(map[string]codec.Member, len(hosts))
	ids := make([]string, 0, len(hosts))
	for _, member := range hosts {
		if !slices.Contains(excluded, member.ID) {
			members[string(member.ID)] = member
			ids = append(ids, string(member.ID))
		}
	}
	if len(ids) == 0 {
		return codec.Member{}, false
	}
	return members[rendezvous.New(ids, xxhash.Sum64String).Lookup(key)], true
}

// Find returns the host with an id, or false if the list does not contain it.
func Find(id identifier.HostID, hosts []codec.Member) (codec.Member, bool) {
	i := slices.IndexFunc(hosts, func(member codec.Member) bool { return member.ID == id })
	if i < 0 {
		return codec.Member{}, false
	}
	return hosts[i], true
}
