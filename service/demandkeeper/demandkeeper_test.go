package demandkeeper_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/demandkeeper"
	"celerygap.example/service/elector"
)

const leaseKey = "leases/orders"

// Guards against demand that outlives its sender, is counted twice when it is repeated, or loses the part of another host.
func TestKeeperSumsWhatHolds(t *testing.T) {
	now := time.Now()
	k := demandkeeper.New()
	stated := func(from identifier.HostID, arriving float64, due time.Duration, late bool) codec.PlacementDemand {
		return codec.PlacementDemand{From: from, Models: []codec.ModelDemand{{
			Pool: "p", Model: "m", Arriving: arriving, WaitingItems: 1, DueIn: identifier.Duration(due), Late: late,
		}}}
	}
	require.True(t, k.State(now, stated("a", 100, 5*time.Second, false)))
	require.True(t, k.State(now, stated("a", 100, 5*time.Second, false)))
	require.True(t, k.State(now.Add(time.Second), stated("b", 50, 2*time.Second, true)))
	sum := k.Demand(now.Add(time.Second))["p"]["m"]
	require.InDelta(t, 150, sum.Arriving, 0.01)
	require.Equal(t, 2, sum.WaitingItems)
	require.EqualValues(t, 2*time.Second, sum.DueIn)
	require.True(t, sum.Late)
	require.InDelta(t, 50, k.Demand(now.Add(5500 * time.Millisecond))["p"]["m"].Arriving, 0.01)
	require.Empty(t, k.Demand(now.Add(7*time.Second)))
}

// Guards against a load that replaces a newer one, because its host reported later.
func TestNewestLoadCounts(t *testing.T) {
	now := time.Now()
	k := demandkeeper.New()
	k.State(now, codec.PlacementDemand{From: "a", Loads: []codec.HeardLoad{{Engine: "e", Requests: 3, Age: identifier.Duration(100 * time.Millisecond)}}})
	k.State(now.Add(time.Second), codec.PlacementDemand{From: "b", Loads: []codec.HeardLoad{
		{Engine: "e", Requests: 9, Age: identifier.Duration(2 * time.Second)}, {Engine: "f", Requests: 1},
	}})
	loads := k.Loads(now.Add(time.Second))
	require.Equal(t, 3, loads["e"].Requests)
	require.Equal(t, 1, loads["f"].Requests)
	require.Empty(t, k.Loads(now.Add(7*time.Second)))
}

// Guards against memory that grows with what hosts send.
func TestKeeperIsBounded(t *testing.T) {
	now := time.Now()
	k := demandkeeper.New()
	many := make([]codec.ModelDemand, 1000)
	for i := range many {
		many[i] = codec.ModelDemand{Pool: "p", Model: identifier.ModelName(fmt.Sprint(i))}
	}
	require.True(t, k.State(now, codec.PlacementDemand{From: "a", Models: many}))
	require.Len(t, k.Demand(now)["p"], 256)
	kept := 1
	for i := range 1000 {
		if k.State(now, codec.PlacementDemand{From: identifier.HostID(fmt.Sprint("h", i))}) {
			kept++
		}
	}
	require.Equal(t, 512, kept)
}

// network connects the hosts of a test; hosts that are old lack the method, and links can be cut.
type network struct {
	mu       sync.Mutex
	hosts    []codec.Member
	handlers map[identifier.HostID]connector.Handler
	cut      map[identifier.HostID]bool
	calls    map[identifier.HostID]int
	holder   identifier.HostID
}

type endpoint struct {
	network *network
	id      identifier.HostID
}

func (p endpoint) Self() codec.Member   { return codec.Member{ID: p.id} }
func (p endpoint) Live() []codec.Member { return p.network.hosts }

func (p endpoint) Handle(_ string, handler connector.Handler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.handlers[p.id] = handler
}

func (p endpoint) Call(ctx context.Context, to codec.Member, _ string, params, result any) error {
	p.network.mu.Lock()
	handler, ok := p.network.handlers[to.ID]
	cut := p.network.cut[to.ID]
	p.network.calls[to.ID]++
	p.network.mu.Unlock()
	if !ok {
		return errors.New("method not found")
	}
	if cut {
		return errors.New("unreachable")
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := handler(ctx, text)
	if err != nil {
		return err
	}
	if text, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

func (n *network) add(id identifier.HostID) *demandkeeper.Driver {
	return demandkeeper.NewDriver(demandkeeper.DriverConfig{
		Members: endpoint{n, id}, Peers: endpoint{n, id}, OnDemand: func(demandkeeper.Demand, map[identifier.UpstreamID]demandkeeper.Load) {},
		Demand: func() []codec.ModelDemand { return []codec.ModelDemand{{Pool: "p", Model: "m", Arriving: 1}} },
		Loads:  func() []codec.HeardLoad { return nil },
		Leases: []demandkeeper.Lease{{Key: leaseKey, Holds: func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.holder == id
		}}},
	})
}

func newNetwork(hosts int) *network {
	n := &network{
		handlers: make(map[identifier.HostID]connector.Handler), cut: make(map[identifier.HostID]bool),
		calls: make(map[identifier.HostID]int),
	}
	for i := range hosts {
		n.hosts = append(n.hosts, codec.Member{ID: identifier.HostID(fmt.Sprint("h", i))})
	}
	return n
}

func (n *network) setHolder(id identifier.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holder = id
}

// Guards against a holder that never learns the demand, because it kept its lease when hosts with a higher rank joined; against
// a substitute without it; and against calls that grow with the number of hosts.
func TestDemandReachesHolderAndSubstitute(t *testing.T) {
	n := newNetwork(8)
	drivers := make(map[identifier.HostID]*demandkeeper.Driver)
	for _, host := range n.hosts {
		drivers[host.ID] = n.add(host.ID)
	}
	ranked := elector.Rank(leaseKey, n.hosts, 8)
	sender, holder := drivers[ranked[7].ID], ranked[5].ID
	n.setHolder(holder)
	knows := func(id identifier.HostID) bool { return len(drivers[id].Demand()) > 0 }
	report := func() {
		sender.Report()
		time.Sleep(50 * time.Millisecond)
	}
	report()
	require.True(t, knows(ranked[0].ID))
	require.True(t, knows(ranked[1].ID))
	for range 8 {
		report()
	}
	require.True(t, knows(holder))
	n.mu.Lock()
	before := n.calls[holder]
	total := 0
	for _, calls := range n.calls {
		total += calls
	}
	n.mu.Unlock()
	require.LessOrEqual(t, total, 3*9)
	for range 3 {
		report()
	}
	n.mu.Lock()
	require.Equal(t, before+3, n.calls[holder], "a known holder gets every report")
	n.cut[holder] = true
	n.mu.Unlock()
	n.setHolder(ranked[2].ID)
	for range 9 {
		report()
	}
	require.True(t, knows(ranked[2].ID), "the next holder is found")
}

// Guards against reports that fail, or stop, because the hosts that should get them run an older build without the method.
func TestOlderHostsAreSkipped(t *testing.T) {
	n := newNetwork(3)
	ranked := elector.Rank(leaseKey, n.hosts, 3)
	sender := n.add(ranked[2].ID)
	n.setHolder(ranked[2].ID)
	for range 4 {
		sender.Report()
		time.Sleep(50 * time.Millisecond)
	}
	require.NotEmpty(t, sender.Demand(), "this host holds the lease itself")
}
