package scheduler

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// rankedHosts is how many hosts are considered for a trainer: the owner, its successor and one more.
const rankedHosts = 3

// rank returns the hosts that may schedule a trainer by rendezvous hashing, the owner first. If the owner is gone, the
// second takes over.
func rank(trainer identifier.EntryName, live []codec.Member) []codec.Member {
	byID := make(map[string]codec.Member, len(live))
	var names []string
	for _, member := range live {
		if member.State == codec.MemberStateDead || member.State == codec.MemberStateLeft {
			continue
		}
		byID[string(member.ID)] = member
		names = append(names, string(member.ID))
	}
	var ranked []codec.Member
	for len(names) > 0 && len(ranked) < rankedHosts {
		winner := rendezvous.New(names, xxhash.Sum64String).Lookup(string(trainer))
		ranked = append(ranked, byID[winner])
		names = without(names, winner)
	}
	return ranked
}

func without(names []string, name string) []string {
	rest := make([]string, 0, len(names))
	for _, other := range names {
		if other != name {
			rest = append(rest, other)
		}
	}
	return rest
}

// otherHosts returns the ranked hosts of a trainer without this one.
func (d *Driver) otherHosts(trainer identifier.EntryName) []codec.Member {
	self := d.config.Members.Self().ID
	var rest []codec.Member
	for _, member := range rank(trainer, d.config.Members.Live()) {
		if member.ID != self {
			rest = append(rest, member)
		}
	}
	return rest
}
