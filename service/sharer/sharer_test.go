package sharer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

func shareOf(commands []Command, entry identifier.EntryName) float64 {
	share := -1.0
	for _, command := range commands {
		switch c := command.(type) {
		case SetDefault:
			if share < 0 {
				share = c.Share
			}
		case SetShare:
			if c.Entry == entry {
				share = c.Share
			}
		}
	}
	return share
}

// Guards against shares that do not add up to one among hosts that know the same members and demand: a larger sum exceeds
// the entry's limit, a smaller one leaves a part of it unused.
func TestSharesAddUpToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		var live []identifier.HostID
		sharers := map[identifier.HostID]*Sharer{}
		for i := range hosts {
			id := identifier.HostID(fmt.Sprintf("h%d", i))
			live = append(live, id)
			sharers[id] = New(Config{Self: id})
		}
		counts := make([]int64, hosts)
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(200, 4000).Draw(t, "ms")) * time.Millisecond)
			var statuses []codec.HostStatus
			for i, id := range live {
				counts[i] += int64(rapid.IntRange(0, 500).Draw(t, "requests"))
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					counts[i] = 0
				}
				statuses = append(statuses, codec.HostStatus{
					Member: codec.Member{ID: id}, Demand: []codec.EntryDemand{{Entry: "e", Requests: counts[i]}},
				})
			}
			var sum float64
			for _, id := range live {
				sharers[id].Handle(now, MembersChanged{Live: live})
				share := shareOf(sharers[id].Handle(now, DemandReported{At: now, Hosts: statuses}), "e")
				require.Positive(t, share)
				sum += share
			}
			require.InDelta(t, 1, sum, 1e-9)
		}
	})
}

// Guards against a busy host that gets only an even share of the limit while the others are idle.
func TestShareFollowsDemand(t *testing.T) {
	s := New(Config{Self: "a"})
	live := []identifier.HostID{"a", "b", "c"}
	now := time.Unix(1000, 0)
	s.Handle(now, MembersChanged{Live: live})
	var commands []Command
	for i := range 10 {
		now = now.Add(time.Second)
		commands = s.Handle(now, DemandReported{At: now, Hosts: []codec.HostStatus{
			{Member: codec.Member{ID: "a"}, Demand: []codec.EntryDemand{{Entry: "e", Requests: int64(i) * 90}}},
			{Member: codec.Member{ID: "b"}, Demand: []codec.EntryDemand{{Entry: "e", Requests: int64(i) * 10}}},
		}})
	}
	require.InDelta(t, 0.3/3+0.7*0.9, shareOf(commands, "e"), 0.01)
	require.InDelta(t, 1.0/3, shareOf(s.Handle(now.Add(time.Minute), MembersChanged{Live: live}), "e"), 1e-9, "old demand must not count")
}
