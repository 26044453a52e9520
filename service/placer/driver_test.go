package placer_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/placer"
	"celerygap.example/service/storekeeper"
)

// net connects the placers of a test.
type net struct {
	mu       sync.Mutex
	handlers map[identifier.HostID]connector.Handler
}

type port struct {
	net *net
	id  identifier.HostID
}

func (p port) Self() codec.Member { return codec.Member{ID: p.id, Incarnation: 1} }

func (p port) Live() []codec.Member {
	return []codec.Member{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}, {ID: "c", Incarnation: 1}}
}

func (p port) Handle(_ string, handler connector.Handler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.handlers[p.id] = handler
}

func (p port) Call(ctx context.Context, to codec.Member, _ string, params, _ any) error {
	p.net.mu.Lock()
	handler, ok := p.net.handlers[to.ID]
	p.net.mu.Unlock()
	if !ok {
		return errors.New("unreachable")
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = handler(ctx, text)
	return err
}

// path is one host's path to the shared store, which may be cut.
type path struct {
	*storekeeper.Store
	mu  sync.Mutex
	cut bool
}

func (p *path) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *path) broken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *path) Get(ctx context.Context, key string) (codec.Object, error) {
	if p.broken() {
		return codec.Object{}, connector.ErrUnavailable
	}
	return p.Store.Get(ctx, key)
}

func (p *path) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	if p.broken() {
		return codec.Object{}, connector.ErrUnavailable
	}
	return p.Store.Put(ctx, key, expected, value)
}

// orders remembers which host ordered last; each order takes effect at once.
type orders struct {
	mu      sync.Mutex
	holder  identifier.HostID
	version identifier.WeightVersion
}

func (o *orders) State(context.Context, connector.Upstream) (connector.EngineState, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return connector.EngineState{Models: []codec.ModelState{{Model: "m0", Serving: o.version}}}, nil
}

func (o *orders) Order(_ context.Context, _ connector.Upstream, order connector.WeightOrder) (connector.OrderOutcome, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holder, o.version = order.Holder, order.Version
	return connector.OrderAccepted, nil
}

func (o *orders) last() (identifier.HostID, identifier.WeightVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.holder, o.version
}

// trainer names versions to all placers that follow them.
type trainer struct {
	mu      sync.Mutex
	version identifier.WeightVersion
}

func (v *trainer) name(version identifier.WeightVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.version = version
}

func (v *trainer) follow(ctx context.Context, named func(identifier.ModelName, identifier.WeightVersion), listed func()) {
	for ctx.Err() == nil {
		v.mu.Lock()
		version := v.version
		v.mu.Unlock()
		named("m0", version)
		listed()
		time.Sleep(20 * time.Millisecond)
	}
}

type hosts struct {
	t      *testing.T
	paths  map[identifier.HostID]*path
	orders *orders
	named  *trainer
}

func newHosts(t *testing.T) *hosts {
	h := &hosts{t: t, paths: make(map[identifier.HostID]*path), orders: &orders{version: 1}, named: &trainer{version: 1}}
	shared := storekeeper.New()
	cluster := &net{handlers: make(map[identifier.HostID]connector.Handler)}
	for _, id := range []identifier.HostID{"a", "b", "c"} {
		h.paths[id] = &path{Store: shared}
		service := timer.New(timer.Config{Resolution: time.Millisecond})
		d := placer.NewDriver(placer.DriverConfig{
			Store: h.paths[id], Orders: h.orders, Members: port{cluster, id}, Peers: port{cluster, id}, Fenced: true, Timer: service,
			Log: logger.Discard(), LeaseDuration: 3 * time.Second, FollowVersions: h.named.follow,
		})
		d.Handle(placer.PoolsChanged{Pools: []codec.Pool{{Name: pool, Models: []identifier.ModelName{"m0"}}}})
		d.Handle(placer.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: {{ID: "e", Pool: pool, State: codec.HostStateLive}}}})
		ctx, cancel := context.WithCancel(context.Background())
		group := grouper.NewGroup(-1)
		group.Go(func() { _ = service.Run(ctx) })
		group.Go(func() { _ = d.Run(ctx) })
		t.Cleanup(func() {
			cancel()
			group.Wait()
		})
	}
	return h
}

// await names a version and returns the holder that ordered it.
func (h *hosts) await(version identifier.WeightVersion, within time.Duration) identifier.HostID {
	h.named.name(version)
	require.Eventually(h.t, func() bool {
		_, ordered := h.orders.last()
		return ordered == version
	}, within, 10*time.Millisecond, "version %d is not ordered", version)
	holder, _ := h.orders.last()
	return holder
}

// Guards against engines without orders while the holder of the lease alone cannot reach the store.
func TestAnotherHostStandsIn(t *testing.T) {
	h := newHosts(t)
	holder := h.await(2, 5*time.Second)
	h.paths[holder].set(true)
	time.Sleep(2500 * time.Millisecond)
	require.NotEqual(t, holder, h.await(3, 3*time.Second))
}

// Guards against an outage of the store for all hosts after which nobody tries to hold the lease, because each host has
// passed it on to another one: it took 4.7 s after the store's return in an incident.
func TestSomebodyGoesOnTryingInAnOutage(t *testing.T) {
	h := newHosts(t)
	h.await(2, 5*time.Second)
	for _, path := range h.paths {
		path.set(true)
	}
	time.Sleep(4500 * time.Millisecond)
	for _, path := range h.paths {
		path.set(false)
	}
	h.await(3, 2*time.Second)
}
