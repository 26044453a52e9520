package batcher_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/timer"
	"celerygap.example/service/batcher"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/cataloguer"
	"celerygap.example/service/connector"
	"celerygap.example/service/matcher"
	"celerygap.example/service/reserver"
	"celerygap.example/service/storekeeper"
)

// network connects the hosts of a test; a host that is down can neither call nor be called.
type network struct {
	mu       sync.Mutex
	handlers map[identifier.HostID]map[string]connector.Handler
	down     map[identifier.HostID]bool
	// hidden is a host that is missing from the live members of the others although it is running.
	hidden identifier.HostID
}

// endpoint is the access of one host to the network.
type endpoint struct {
	network *network
	id      identifier.HostID
}

func (p endpoint) Self() codec.Member { return codec.Member{ID: p.id, Address: string(p.id)} }

func (p endpoint) Live() []codec.Member {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	var live []codec.Member
	for _, id := range []identifier.HostID{"a", "b", "c"} {
		if _, ok := p.network.handlers[id]; ok && !p.network.down[id] && (p.network.hidden != id || p.id == id) {
			live = append(live, codec.Member{ID: id})
		}
	}
	return live
}

func (p endpoint) Handle(method string, handler connector.Handler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.handlers[p.id] == nil {
		p.network.handlers[p.id] = make(map[string]connector.Handler)
	}
	p.network.handlers[p.id][method] = handler
}

func (p endpoint) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	p.network.mu.Lock()
	handler, ok := p.network.handlers[to.ID][method]
	disconnected := p.network.down[p.id] || p.network.down[to.ID]
	p.network.mu.Unlock()
	if !ok || disconnected {
		return errors.New("unreachable")
	}
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := handler(ctx, text)
	if err != nil || result == nil {
		return err
	}
	if text, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// runner generates three events of each text with a pause before each, so that runs can be interrupted, and records the
// event after which each run starts.
type runner struct {
	pause time.Duration
	mu    sync.Mutex
	runs  map[identifier.ItemID][]identifier.EventNumber
}

func (r *runner) Run(ctx context.Context, run connector.ItemRun) error {
	r.mu.Lock()
	if r.runs == nil {
		r.runs = make(map[identifier.ItemID][]identifier.EventNumber)
	}
	r.runs[run.Item.ID] = append(r.runs[run.Item.ID], run.After)
	r.mu.Unlock()
	for n := run.After + 1; n <= 3; n++ {
		select {
		case <-ctx.Done():
			return &connector.UpstreamError{Failure: connector.FailureCancelled, Err: ctx.Err()}
		case <-time.After(r.pause):
		}
		if err := run.OnEvent(connector.RunEvent{Number: n, Data: fmt.Sprint(run.Item.ID, n), Version: 2}); err != nil {
			return err
		}
	}
	return nil
}

type noUpstreams struct{}

func (noUpstreams) Pool(identifier.PoolName) []connector.Upstream { return nil }

func (noUpstreams) Report(identifier.UpstreamID, connector.Evidence) {}

// host is a running batcher driver.
type host struct {
	*batcher.Driver
	id   identifier.HostID
	stop func()
	// account bounds the memory of the host; it may be nil.
	account *reserver.Account
	// stopTicks makes the host behave like one that has just woken up from a pause, as soon as the pause is long enough.
	stopTicks func()
	// pauseTicks does the same and lets the ticks go on after a time.
	pauseTicks func(time.Duration)
}

// cluster is several hosts with one store and one runner.
type cluster struct {
	catalogue *cataloguer.Cataloguer
	t         *testing.T
	network   *network
	store     *storekeeper.Store
	// counter, if set, replaces the store for the hosts that are added.
	counter *readCounter
	held    *heldStore
	// replacement, if set, replaces the store as well.
	replacement connector.ObjectStore
	// reviewInterval overrides the interval between reviews, and rewards the client for reward calls.
	reviewInterval time.Duration
	keepResults    time.Duration
	rewards        connector.PlainCaller
	// runner, if set, replaces run, and memory returns the account of a host.
	runner          connector.ItemRunner
	memory          func() *reserver.Account
	run             *runner
	lastIncarnation int64
}

func newCluster(t *testing.T, pause time.Duration) *cluster {
	c := &cluster{
		t: t, store: storekeeper.New(), run: &runner{pause: pause}, lastIncarnation: 1, catalogue: cataloguer.New(cataloguer.Config{}),
		network: &network{handlers: make(map[identifier.HostID]map[string]connector.Handler), down: make(map[identifier.HostID]bool)},
	}
	c.setRoutes(1, batchEntry)
	return c
}

// setRoutes puts a catalogue into effect at all hosts.
func (c *cluster) setRoutes(revision identifier.Revision, entries ...codec.Entry) {
	c.catalogue.Apply(&codec.Catalogue{Revision: revision, Entries: entries})
}

func (c *cluster) add(id identifier.HostID) *host {
	p := endpoint{c.network, id}
	service := timer.New(timer.Config{Resolution: time.Millisecond})
	c.lastIncarnation++
	var store connector.ObjectStore = c.store
	if c.counter != nil {
		store = c.counter
	}
	if c.held != nil {
		store = c.held
	}
	if c.replacement != nil {
		store = c.replacement
	}
	var run connector.ItemRunner = c.run
	if c.runner != nil {
		run = c.runner
	}
	var account *reserver.Account
	if c.memory != nil {
		account = c.memory()
	}
	d := batcher.NewDriver(batcher.DriverConfig{
		Self: p.Self(), Incarnation: identifier.Incarnation(c.lastIncarnation), Keeper: batchkeeper.New(store), Runner: run, Memory: account,
		Routes:    func() *matcher.Matcher { return matcher.New(c.catalogue.Current()) },
		Catalogue: c.catalogue, Upstreams: noUpstreams{}, Members: p, Peers: p, Timer: service,
		Log: logger.Discard(), SettleTime: 50 * time.Millisecond, ReviewInterval: cmp.Or(c.reviewInterval, 100*time.Millisecond),
		KeepResults: c.keepResults, Rewards: c.rewards, MakeReward: func(codec.RewardCall) connector.PlainRequest { return connector.PlainRequest{} },
		Score: func(connector.PlainResponse) string { return "" },
	})
	ctx, cancel := context.WithCancel(context.Background())
	group := grouper.NewGroup(-1)
	tickCtx, stopTicks := context.WithCancel(ctx)
	group.Go(func() { _ = service.Run(tickCtx) })
	group.Go(func() { _ = d.Run(ctx) })
	c.network.mu.Lock()
	delete(c.network.down, id)
	c.network.mu.Unlock()
	d.EnginesChanged(map[identifier.PoolName][]codec.ListedHost{pool: {engine("e", 2, 64)}})
	pauseTicks := func(pause time.Duration) {
		stopTicks()
		group.Go(func() {
			time.Sleep(pause)
			_ = service.Run(ctx)
		})
	}
	h := &host{Driver: d, id: id, account: account, stopTicks: stopTicks, pauseTicks: pauseTicks, stop: func() {
		c.network.mu.Lock()
		c.network.down[id] = true
		c.network.mu.Unlock()
		cancel()
		group.Wait()
	}}
	c.t.Cleanup(h.stop)
	return h
}

func submission(items int) codec.BatchJob {
	job := codec.BatchJob{ID: jobID, Host: "h", Path: "/x", Model: model, MinVersion: 1}
	for i := range items {
		job.Items = append(job.Items, codec.BatchItem{ID: identifier.ItemID(fmt.Sprint("i", i, "-")), Path: "/x", Body: []byte{byte(i)}})
	}
	return job
}

// results reads all results of the job at a host.
func results(t require.TestingT, h *host) []codec.BatchResult {
	page, err := h.Read(context.Background(), jobID, 0, 0)
	require.NoError(t, err)
	return page.Results
}

func (c *cluster) awaitResults(h *host, count int) []codec.BatchResult {
	require.Eventually(c.t, func() bool {
		page, err := h.Read(context.Background(), jobID, 0, 0)
		return err == nil && len(page.Results) == count
	}, 10*time.Second, 10*time.Millisecond)
	return results(c.t, h)
}

func (c *cluster) ownerID(t *testing.T) identifier.HostID {
	head, err := batchkeeper.New(c.store).Head(t.Context(), jobID)
	require.NoError(t, err)
	return head.Owner
}
