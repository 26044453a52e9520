package scheduler

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// ownerRanks is how many hosts are considered for a trainer: the owner, its backup and one more.
const ownerRanks = 3

// rank returns the hosts that may schedule a trainer, the owner first. The second takes over when the first is gone.
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
	for len(names) > 0 && len(ranked) < ownerRanks {
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

// others returns the ranked hosts without this one.
func (d *Driver) others(trainer identifier.EntryName) []codec.Member {
	self := d.config.Members.Self().ID
	var rest []codec.Member
	for _, member := range rank(trainer, d.config.Members.Live()) {
		if member.ID != self {
			rest = append(rest, member)
		}
	}
	return rest
}
