package placer_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
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

// network connects the drivers of a test by peer calls.
type network struct {
	mu       sync.Mutex
	handlers map[identifier.HostID]connector.Handler
}

// endpoint is the access of one host to the network: its members and peers.
type endpoint struct {
	network *network
	id      identifier.HostID
}

func (p endpoint) Self() codec.Member { return codec.Member{ID: p.id, Incarnation: 1} }

func (p endpoint) Live() []codec.Member {
	return []codec.Member{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}, {ID: "c", Incarnation: 1}}
}

func (p endpoint) Handle(_ string, handler connector.Handler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.handlers[p.id] = handler
}

func (p endpoint) Call(ctx context.Context, to codec.Member, _ string, params, _ any) error {
	p.network.mu.Lock()
	handler, ok := p.network.handlers[to.ID]
	p.network.mu.Unlock()
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

// link is one host's connection to the shared store, which may be cut.
type link struct {
	*storekeeper.Store
	mu  sync.Mutex
	cut bool
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) Get(ctx context.Context, key string) (codec.Object, error) {
	if l.isCut() {
		return codec.Object{}, connector.ErrUnavailable
	}
	return l.Store.Get(ctx, key)
}

func (l *link) Put(ctx context.Context, key string, expected int64, value json.RawMessage) (codec.Object, error) {
	if l.isCut() {
		return codec.Object{}, connector.ErrUnavailable
	}
	return l.Store.Put(ctx, key, expected, value)
}

// orders records which host sent the last order; each order takes effect at once.
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

// trainer announces versions to all drivers that follow them.
type trainer struct {
	mu      sync.Mutex
	version identifier.WeightVersion
}

func (v *trainer) announce(version identifier.WeightVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.version = version
}

func (v *trainer) follow(ctx context.Context, announced func(identifier.ModelName, identifier.WeightVersion), listed func()) {
	for ctx.Err() == nil {
		v.mu.Lock()
		version := v.version
		v.mu.Unlock()
		announced("m0", version)
		listed()
		time.Sleep(20 * time.Millisecond)
	}
}

// hostOrders is one host's path to the engines, which may be cut.
type hostOrders struct {
	*orders
	cut     atomic.Bool
	checked atomic.Int64
}

func (o *hostOrders) State(ctx context.Context, upstream connector.Upstream) (connector.EngineState, error) {
	if o.cut.Load() {
		return connector.EngineState{}, &connector.UpstreamError{Failure: connector.FailureConnectFailed, Err: errors.New("cut")}
	}
	return o.orders.State(ctx, upstream)
}

// substitute returns host c once two orders of a cut host have found no connection.
func (o *hostOrders) substitute() (identifier.HostID, bool) {
	return "c", o.cut.Load() && o.checked.Load() >= 2
}

// cluster is three hosts with one store, one set of engines and one trainer.
type cluster struct {
	t       *testing.T
	paths   map[identifier.HostID]*hostOrders
	links   map[identifier.HostID]*link
	orders  *orders
	trainer *trainer
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, paths: make(map[identifier.HostID]*hostOrders), links: make(map[identifier.HostID]*link), orders: &orders{version: 1}, trainer: &trainer{version: 1}}
	shared := storekeeper.New()
	peers := &network{handlers: make(map[identifier.HostID]connector.Handler)}
	for _, id := range []identifier.HostID{"a", "b", "c"} {
		c.links[id] = &link{Store: shared}
		path := &hostOrders{orders: c.orders}
		c.paths[id] = path
		service := timer.New(timer.Config{Resolution: time.Millisecond})
		d := placer.NewDriver(placer.DriverConfig{
			Store: c.links[id], Orders: path, Substitute: path.substitute,
			CheckPath: func(context.Context, connector.Upstream) { path.checked.Add(1) },
			Members:   endpoint{peers, id}, Peers: endpoint{peers, id}, Fenced: true, Timer: service,
			Log: logger.Discard(), LeaseDuration: 3 * time.Second, FollowVersions: c.trainer.follow,
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
	return c
}

// await announces a version and returns the holder that ordered it.
func (c *cluster) await(version identifier.WeightVersion, within time.Duration) identifier.HostID {
	c.trainer.announce(version)
	require.Eventually(c.t, func() bool {
		_, ordered := c.orders.last()
		return ordered == version
	}, within, 10*time.Millisecond, "version %d is not ordered", version)
	holder, _ := c.orders.last()
	return holder
}

// Guards against engines that get no orders while only the holder of the lease cannot reach the store.
func TestAnotherHostStandsIn(t *testing.T) {
	c := newCluster(t)
	holder := c.await(2, 5*time.Second)
	c.links[holder].setCut(true)
	time.Sleep(2500 * time.Millisecond)
	require.NotEqual(t, holder, c.await(3, 3*time.Second))
}

// Guards against engines that get no orders while only the holder of the lease cannot reach them, and against two holders that
// take turns once it can again.
func TestHolderThatCannotReachTheEnginesHandsTheLeaseOver(t *testing.T) {
	c := newCluster(t)
	holder := c.await(2, 5*time.Second)
	require.NotEqual(t, identifier.HostID("c"), holder, "the host that stands in is another one")
	c.paths[holder].cut.Store(true)
	require.Equal(t, identifier.HostID("c"), c.await(3, 5*time.Second))
	c.paths[holder].cut.Store(false)
	for version := identifier.WeightVersion(4); version < 8; version++ {
		require.Equal(t, identifier.HostID("c"), c.await(version, 3*time.Second))
		time.Sleep(time.Second)
	}
}

// Guards against a store outage for all hosts after which no host tries to acquire the lease, because each has handed it
// over to another one: in an incident, orders resumed only 4.7 s after the store's return.
func TestOneHostKeepsRetryingInAnOutage(t *testing.T) {
	c := newCluster(t)
	c.await(2, 5*time.Second)
	for _, link := range c.links {
		link.setCut(true)
	}
	time.Sleep(4500 * time.Millisecond)
	for _, link := range c.links {
		link.setCut(false)
	}
	c.await(3, 2*time.Second)
}
