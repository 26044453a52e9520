package updater_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/updater"
)

var errRefused = errors.New("refused")

// farm is a set of engines whose loads take a time.
type farm struct {
	mu        sync.Mutex
	engines   map[identifier.UpstreamID]*engine
	upstreams []connector.Upstream
	loadTime  time.Duration
	fencing   bool
	// readsExpiry makes the engines refuse orders that arrive after their expiry.
	readsExpiry bool
	failLoads   int
	orders      int
	// storeLoads counts the loads from the weight store, and peak the most children that one engine had at a time.
	storeLoads int
	children   map[string]int
	peak       int
	faults     []string
}

type engine struct {
	serving identifier.WeightVersion
	loaded  []identifier.WeightVersion
	token   identifier.Fencing
}

func newFarm(n int, loadTime time.Duration) *farm {
	f := &farm{engines: make(map[identifier.UpstreamID]*engine), children: make(map[string]int), loadTime: loadTime}
	for i := range n {
		id := fmt.Sprintf("e%04d", i)
		region := identifier.Region([]string{"north", "south"}[i%2])
		f.upstreams = append(f.upstreams, connector.Upstream{ID: identifier.UpstreamID(id), Address: id, Region: region})
		f.engines[identifier.UpstreamID(id)] = &engine{serving: 1, loaded: []identifier.WeightVersion{1}}
	}
	return f
}

func (f *farm) Pool(identifier.PoolName) []connector.Upstream        { return f.upstreams }
func (f *farm) Report(identifier.UpstreamID, connector.Evidence)     {}
func (f *farm) Complete(context.Context, connector.EngineCall) error { return errRefused }

func (f *farm) Subscribe() <-chan *codec.Catalogue { return nil }

func (f *farm) Cancel(context.Context, connector.Upstream, identifier.AttemptID) error { return nil }

func (f *farm) CacheEvents(context.Context, connector.Upstream, int64) (codec.CacheEvents, error) {
	return codec.CacheEvents{}, nil
}

func (f *farm) Current() *codec.Catalogue {
	return &codec.Catalogue{
		Pools: []codec.Pool{{Name: "farm", Kind: codec.PoolKindEngine, ChecksFencing: f.fencing}},
		Entries: []codec.Entry{
			{Name: "m", Kind: codec.EntryKindModel, Model: &codec.ModelSpec{Pool: "farm", Model: "tiles"}},
			{Name: "t", Kind: codec.EntryKindTrainer, Trainer: &codec.TrainerSpec{ModelEntry: "m"}},
		},
	}
}

func (f *farm) Load(_ context.Context, upstream connector.Upstream) (codec.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[upstream.ID]
	state := codec.ModelState{Model: "tiles", Serving: e.serving, Loaded: slices.Clone(e.loaded)}
	return codec.LoadReport{ID: upstream.ID, Models: []codec.ModelState{state}}, nil
}

func (f *farm) Order(ctx context.Context, upstream connector.Upstream, order codec.Order) (codec.OrderResult, error) {
	if status, accepted := f.accept(upstream, order); !accepted {
		return codec.OrderResult{OrderID: order.OrderID, Status: status}, nil
	}
	if order.Kind == codec.OrderKindLoad {
		f.transfer(ctx, order)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[upstream.ID]
	switch order.Kind {
	case codec.OrderKindLoad:
		if !slices.Contains(e.loaded, order.Version) {
			e.loaded = append(e.loaded, order.Version)
		}
	case codec.OrderKindServe:
		if order.Version < e.serving {
			f.faults = append(f.faults, fmt.Sprintf("%s moved from %d to %d", upstream.ID, e.serving, order.Version))
		}
		e.serving = order.Version
	case codec.OrderKindUnload:
		e.loaded = slices.DeleteFunc(e.loaded, func(v identifier.WeightVersion) bool { return v == order.Version })
	}
	return codec.OrderResult{OrderID: order.OrderID, Status: codec.OrderStatusDone}, nil
}

func (f *farm) accept(upstream connector.Upstream, order codec.Order) (codec.OrderStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	e := f.engines[upstream.ID]
	if f.fencing && order.Fencing < e.token {
		return codec.OrderStatusFenced, false
	}
	if f.readsExpiry && time.Now().After(order.ExpiresAt) {
		return codec.OrderStatusExpired, false
	}
	e.token = max(e.token, order.Fencing)
	if order.Kind == codec.OrderKindLoad && f.failLoads > 0 {
		f.failLoads--
		return codec.OrderStatusFailed, false
	}
	if order.Kind == codec.OrderKindServe && !slices.Contains(e.loaded, order.Version) {
		return codec.OrderStatusFailed, false
	}
	return "", true
}

func (f *farm) transfer(ctx context.Context, order codec.Order) {
	f.mu.Lock()
	if order.Source == "" {
		f.storeLoads++
	} else {
		f.children[order.Source]++
		f.peak = max(f.peak, f.children[order.Source])
	}
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(f.loadTime):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.children[order.Source]--
}

// serving counts the engines that serve a version.
func (f *farm) serving(version identifier.WeightVersion) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if e.serving == version {
			n++
		}
	}
	return n
}

// cluster connects updaters in one process.
type cluster struct {
	hosts map[identifier.HostID]*node
	order []codec.Member
	// live replaces the membership that all hosts see.
	live atomic.Pointer[[]codec.Member]
}

// gate holds up the calls of a host until a time, as if its process were frozen.
type gate struct {
	connector.Store
	connector.Engines
	until atomic.Int64
}

func (g *gate) freeze(duration time.Duration) { g.until.Store(time.Now().Add(duration).UnixNano()) }

func (g *gate) wait() { time.Sleep(time.Until(time.Unix(0, g.until.Load()))) }

func (g *gate) Get(ctx context.Context, key string) (codec.Object, error) {
	g.wait()
	return g.Store.Get(ctx, key)
}

func (g *gate) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	g.wait()
	return g.Store.Put(ctx, key, expected, value)
}

func (g *gate) Order(_ context.Context, upstream connector.Upstream, order codec.Order) (codec.OrderResult, error) {
	if order.Kind == codec.OrderKindServe {
		g.wait()
	}
	// The caller's timeout does not stop an order that is on its way.
	return g.Engines.Order(context.Background(), upstream, order)
}

type node struct {
	cluster  *cluster
	member   codec.Member
	handlers map[string]connector.Handler
	updater  *updater.Updater
}

func (n *node) Self() codec.Member { return n.member }

func (n *node) Live() []codec.Member {
	if live := n.cluster.live.Load(); live != nil {
		return *live
	}
	return n.cluster.order
}

func (n *node) Handle(method string, handler connector.Handler) { n.handlers[method] = handler }

func (n *node) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	target := n.cluster.hosts[to.ID]
	if target == nil {
		return errRefused
	}
	reply, err := target.handlers[method](ctx, encoded)
	if err != nil {
		return err
	}
	if encoded, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(encoded, result)
}

// startCluster runs one updater per store; the stores are views of one store with faults of their own.
func startCluster(t testing.TB, f *farm, settings updater.Settings, stores ...connector.Store) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	m := &cluster{hosts: make(map[identifier.HostID]*node)}
	clock := timer.New(timer.Config{})
	var group sync.WaitGroup
	group.Go(func() { _ = clock.Run(ctx) })
	for i := range stores {
		member := codec.Member{ID: identifier.HostID(fmt.Sprintf("h%d", i))}
		m.hosts[member.ID] = &node{cluster: m, member: member, handlers: make(map[string]connector.Handler)}
		m.order = append(m.order, member)
	}
	for i, store := range stores {
		n := m.hosts[m.order[i].ID]
		own := settings
		own.Store, own.Members, own.Peers, own.Timer = store, n, n, clock
		own.Catalogue, own.Upstreams, own.Engines = f, f, f
		if engines, ok := store.(connector.Engines); ok {
			own.Engines = engines
		}
		own.Rand = rand.New(rand.NewPCG(uint64(i), 1))
		n.updater = updater.New(own)
	}
	for _, n := range m.hosts {
		group.Go(func() { _ = grouper.Supervise(ctx, grouper.Config{}, n.updater.Duties()...) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return m
}

func (m *cluster) updater(i int) *updater.Updater { return m.hosts[m.order[i].ID].updater }

func failOnInvariant(t testing.TB) {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, text string) { t.Errorf("invariant %s: %s", name, text) }))
}
