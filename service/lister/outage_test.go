package lister_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/lister"
	"celerygap.example/service/storekeeper"
)

// fakeHost implements connector.Peers and connector.Members for one of two hosts in one process.
type fakeHost struct {
	self    codec.Member
	others  []codec.Member
	methods map[string]connector.Handler
}

func (p *fakeHost) Handle(method string, handler connector.Handler) { p.methods[method] = handler }

func (p *fakeHost) Call(ctx context.Context, to codec.Member, method string, _, result any) error {
	reply, err := hosts[to.ID].methods[method](ctx, json.RawMessage("{}"))
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

func (p *fakeHost) Self() codec.Member   { return p.self }
func (p *fakeHost) Live() []codec.Member { return append(p.others, p.self) }

// hosts holds both hosts, so that they can call each other.
var hosts = map[identifier.HostID]*fakeHost{}

func startLister(t *testing.T, p *fakeHost, store connector.Store) *lister.Driver {
	times := timer.New(timer.Config{})
	d := lister.NewDriver(lister.DriverConfig{Store: store, Timer: times, Peers: p, Members: p})
	ctx, cancel := context.WithCancel(t.Context())
	group := grouper.NewGroup(-1)
	group.Go(func() {
		_ = grouper.Supervise(ctx, grouper.Config{}, grouper.Duty{Name: "timer", Run: times.Run}, grouper.Duty{Name: "lister", Run: d.Run})
	})
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return d
}

// Guards against a host that starts while the store is down and serves nothing because it knows no upstream, and
// against a pool that stays empty for a full poll interval after its first upstream appeared.
func TestListComesFromAnotherHostWhileTheStoreIsDown(t *testing.T) {
	running := &fakeHost{self: codec.Member{ID: "running"}, methods: map[string]connector.Handler{}}
	starting := &fakeHost{self: codec.Member{ID: "starting"}, others: []codec.Member{running.self}, methods: map[string]connector.Handler{}}
	hosts[running.self.ID], hosts[starting.self.ID] = running, starting
	store := storekeeper.New()
	first := startLister(t, running, store)
	<-first.Ready()
	store.SetHosts([]codec.ListedHost{{ID: "u", Address: "127.0.0.1:1", Pool: "pool", State: codec.HostStateLive}})
	require.Eventually(t, func() bool { return len(first.Pool("pool")) == 1 }, 1500*time.Millisecond, 10*time.Millisecond)

	store.SetFaults(storekeeper.Faults{Down: true})
	second := startLister(t, starting, store)
	<-second.Ready()
	require.Eventually(t, func() bool { return len(second.Pool("pool")) == 1 }, 1500*time.Millisecond, 10*time.Millisecond)
}
