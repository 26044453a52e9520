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

// fakeEngines is a set of simulated engines, and the catalogue and upstreams that list them. A load takes loadTime.
type fakeEngines struct {
	mu            sync.Mutex
	engines       map[identifier.UpstreamID]*engine
	upstreams     []connector.Upstream
	loadTime      time.Duration
	checksFencing bool
	// checksExpiry makes the engines refuse orders that arrive after their expiry.
	checksExpiry bool
	failLoads    int
	orders       int
	// storeLoads counts the loads from the weight store; maxChildren is the most loads that one engine served at a time.
	storeLoads  int
	children    map[string]int
	maxChildren int
	reversions  []string
}

type engine struct {
	serving identifier.WeightVersion
	loaded  []identifier.WeightVersion
	fencing identifier.Fencing
}

func newFakeEngines(n int, loadTime time.Duration) *fakeEngines {
	f := &fakeEngines{engines: make(map[identifier.UpstreamID]*engine), children: make(map[string]int), loadTime: loadTime}
	for i := range n {
		id := fmt.Sprintf("e%04d", i)
		region := identifier.Region([]string{"north", "south"}[i%2])
		f.upstreams = append(f.upstreams, connector.Upstream{ID: identifier.UpstreamID(id), Address: id, Region: region})
		f.engines[identifier.UpstreamID(id)] = &engine{serving: 1, loaded: []identifier.WeightVersion{1}}
	}
	return f
}

func (f *fakeEngines) Pool(identifier.PoolName) []connector.Upstream        { return f.upstreams }
func (f *fakeEngines) Report(identifier.UpstreamID, connector.Evidence)     {}
func (f *fakeEngines) Complete(context.Context, connector.EngineCall) error { return errRefused }

func (f *fakeEngines) Subscribe() <-chan *codec.Catalogue { return nil }

func (f *fakeEngines) Cancel(context.Context, connector.Upstream, identifier.AttemptID) error {
	return nil
}

func (f *fakeEngines) CacheEvents(context.Context, connector.Upstream, int64) (codec.CacheEvents, error) {
	return codec.CacheEvents{}, nil
}

func (f *fakeEngines) Current() *codec.Catalogue {
	return &codec.Catalogue{
		Pools: []codec.Pool{{Name: "engines", Kind: codec.PoolKindEngine, ChecksFencing: f.checksFencing}},
		Entries: []codec.Entry{
			{Name: "m", Kind: codec.EntryKindModel, Model: &codec.ModelSpec{Pool: "engines", Model: "model"}},
			{Name: "t", Kind: codec.EntryKindTrainer, Trainer: &codec.TrainerSpec{ModelEntry: "m"}},
		},
	}
}

func (f *fakeEngines) Load(_ context.Context, upstream connector.Upstream) (codec.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[upstream.ID]
	state := codec.ModelState{Model: "model", Serving: e.serving, Loaded: slices.Clone(e.loaded)}
	return codec.LoadReport{ID: upstream.ID, Models: []codec.ModelState{state}}, nil
}

func (f *fakeEngines) Order(ctx context.Context, upstream connector.Upstream, order codec.Order) (codec.OrderResult, error) {
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
			f.reversions = append(f.reversions, fmt.Sprintf("engine %s reverted from version %d to %d", upstream.ID, e.serving, order.Version))
		}
		e.serving = order.Version
	case codec.OrderKindUnload:
		e.loaded = slices.DeleteFunc(e.loaded, func(v identifier.WeightVersion) bool { return v == order.Version })
	}
	return codec.OrderResult{OrderID: order.OrderID, Status: codec.OrderStatusDone}, nil
}

func (f *fakeEngines) accept(upstream connector.Upstream, order codec.Order) (codec.OrderStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	e := f.engines[upstream.ID]
	if f.checksFencing && order.Fencing < e.fencing {
		return codec.OrderStatusFenced, false
	}
	if f.checksExpiry && time.Now().After(order.ExpiresAt) {
		return codec.OrderStatusExpired, false
	}
	e.fencing = max(e.fencing, order.Fencing)
	if order.Kind == codec.OrderKindLoad && f.failLoads > 0 {
		f.failLoads--
		return codec.OrderStatusFailed, false
	}
	if order.Kind == codec.OrderKindServe && !slices.Contains(e.loaded, order.Version) {
		return codec.OrderStatusFailed, false
	}
	return "", true
}

func (f *fakeEngines) transfer(ctx context.Context, order codec.Order) {
	f.mu.Lock()
	if order.Source == "" {
		f.storeLoads++
	} else {
		f.children[order.Source]++
		f.maxChildren = max(f.maxChildren, f.children[order.Source])
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
func (f *fakeEngines) serving(version identifier.WeightVersion) int {
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
	hosts   map[identifier.HostID]*host
	members []codec.Member
	// live replaces the membership that all hosts see.
	live atomic.Pointer[[]codec.Member]
}

// freezable delays the calls of a host until a time, as if its process were frozen.
type freezable struct {
	connector.Store
	connector.Engines
	until atomic.Int64
}

func (f *freezable) freeze(duration time.Duration) {
	f.until.Store(time.Now().Add(duration).UnixNano())
}

func (f *freezable) wait() { time.Sleep(time.Until(time.Unix(0, f.until.Load()))) }

func (f *freezable) Get(ctx context.Context, key string) (codec.Object, error) {
	f.wait()
	return f.Store.Get(ctx, key)
}

func (f *freezable) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	f.wait()
	return f.Store.Put(ctx, key, expected, value)
}

func (f *freezable) Order(_ context.Context, upstream connector.Upstream, order codec.Order) (codec.OrderResult, error) {
	if order.Kind == codec.OrderKindServe {
		f.wait()
	}
	// The caller's timeout does not stop an order that is in flight.
	return f.Engines.Order(context.Background(), upstream, order)
}

type host struct {
	cluster  *cluster
	member   codec.Member
	handlers map[string]connector.Handler
	updater  *updater.Updater
}

func (h *host) Self() codec.Member { return h.member }

func (h *host) Live() []codec.Member {
	if live := h.cluster.live.Load(); live != nil {
		return *live
	}
	return h.cluster.members
}

func (h *host) Handle(method string, handler connector.Handler) { h.handlers[method] = handler }

func (h *host) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return err
	}
	target := h.cluster.hosts[to.ID]
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

// startCluster runs one updater for each store; the stores give access to one object store, each with its own faults.
func startCluster(t testing.TB, f *fakeEngines, config updater.Config, stores ...connector.Store) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{hosts: make(map[identifier.HostID]*host)}
	clock := timer.New(timer.Config{})
	var group sync.WaitGroup
	group.Go(func() { _ = clock.Run(ctx) })
	for i := range stores {
		member := codec.Member{ID: identifier.HostID(fmt.Sprintf("h%d", i))}
		c.hosts[member.ID] = &host{cluster: c, member: member, handlers: make(map[string]connector.Handler)}
		c.members = append(c.members, member)
	}
	for i, store := range stores {
		h := c.hosts[c.members[i].ID]
		own := config
		own.Store, own.Members, own.Peers, own.Timer = store, h, h, clock
		own.Catalogue, own.Upstreams, own.Engines = f, f, f
		if engines, ok := store.(connector.Engines); ok {
			own.Engines = engines
		}
		own.Rand = rand.New(rand.NewPCG(uint64(i), 1))
		h.updater = updater.New(own)
	}
	for _, h := range c.hosts {
		group.Go(func() { _ = grouper.Supervise(ctx, grouper.Config{}, h.updater.Duties()...) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return c
}

func (c *cluster) updater(i int) *updater.Updater { return c.hosts[c.members[i].ID].updater }

func failOnViolation(t testing.TB) {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, text string) { t.Errorf("invariant %s: %s", name, text) }))
}
