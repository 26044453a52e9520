package scheduler_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/asserter"
	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/lib/logger"
	"celerygap.example/lib/refuser"
	"celerygap.example/lib/timer"
	"celerygap.example/service/connector"
	"celerygap.example/service/scheduler"
	"celerygap.example/service/storekeeper"
)

// cluster is a set of hosts in one process whose calls to each other can be made to fail.
type cluster struct {
	t         *testing.T
	store     *storekeeper.Store
	hosts     map[identifier.HostID]*host
	generator *fakeGenerator
	group     *grouper.Group

	mu      sync.Mutex
	version identifier.WeightVersion
	listed  []codec.Member
	// replyLost has the methods whose calls take effect but return an error, as if the response were lost.
	replyLost map[string]bool
	// isolated makes all calls between hosts fail; each host then lists only itself.
	isolated bool
}

type host struct {
	cluster      *cluster
	self         codec.Member
	driver       *scheduler.Driver
	handlers     map[string]connector.Handler
	disconnected bool
	stop         context.CancelFunc
}

func newCluster(t *testing.T, hosts int) *cluster {
	t.Cleanup(asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("%s: %s", name, detail) }))
	c := &cluster{
		t: t, store: storekeeper.New(), hosts: make(map[identifier.HostID]*host), version: 1,
		group: grouper.NewGroup(-1), replyLost: make(map[string]bool),
	}
	c.generator = &fakeGenerator{cluster: c, interval: 50 * time.Millisecond, started: make(map[string]int)}
	for i := range hosts {
		c.listed = append(c.listed, codec.Member{
			ID: identifier.HostID(fmt.Sprintf("host-%d", i)), Zone: identifier.Zone(fmt.Sprintf("zone-%d", i)),
			State: codec.MemberStateAlive, HasDisk: i > 0,
		})
	}
	for _, member := range c.listed {
		c.start(member)
	}
	return c
}

func (c *cluster) start(member codec.Member) {
	h := &host{cluster: c, self: member, handlers: make(map[string]connector.Handler)}
	clock := timer.New(timer.Config{Resolution: 10 * time.Millisecond})
	h.driver = scheduler.NewDriver(scheduler.DriverConfig{
		Scheduler: scheduler.DefaultConfig(rand.New(rand.NewPCG(1, 2))), Generator: c.generator, Scorer: c.generator,
		Store: c.store, Members: h, Peers: h, Catalogue: c, Weights: weights{c}, Timer: clock, Log: logger.Discard(),
	})
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	c.hosts[member.ID] = h
	c.group.Go(func() {
		_ = grouper.Supervise(ctx, grouper.Config{}, grouper.Duty{Run: clock.Run}, grouper.Duty{Run: h.driver.Run})
	})
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.stop()
	}
	c.group.Wait()
}

// kill stops a host without a hand-over; the others still list it until unlist is called.
func (c *cluster) kill(id identifier.HostID) {
	c.mu.Lock()
	c.hosts[id].disconnected = true
	c.mu.Unlock()
	c.hosts[id].stop()
}

func (c *cluster) loseReplies(method string, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replyLost[method] = lost
}

func (c *cluster) removeDisks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.listed {
		c.listed[i].HasDisk = false
	}
}

func (c *cluster) isolate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated = true
}

func (c *cluster) unlist(id identifier.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = slices.DeleteFunc(slices.Clone(c.listed), func(m codec.Member) bool { return m.ID == id })
}

// owner returns the host that schedules the trainer.
func (c *cluster) owner() *host {
	for _, h := range c.hosts {
		if len(h.driver.Status()) > 0 && !h.disconnected {
			return h
		}
	}
	c.t.Fatal("no host schedules the trainer")
	return nil
}

// other returns a live host that does not schedule the trainer.
func (c *cluster) other() *host {
	for _, member := range c.listed {
		if h := c.hosts[member.ID]; !h.disconnected && len(h.driver.Status()) == 0 {
			return h
		}
	}
	c.t.Fatal("no other host")
	return nil
}

func (c *cluster) weightVersion() identifier.WeightVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

func (c *cluster) setVersion(version identifier.WeightVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
}

func (h *host) Self() codec.Member { return h.self }

func (h *host) Live() []codec.Member {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	if h.cluster.isolated {
		return []codec.Member{h.self}
	}
	return slices.Clone(h.cluster.listed)
}

func (h *host) Handle(method string, handler connector.Handler) { h.handlers[method] = handler }

func (h *host) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	target := h.cluster.hosts[to.ID]
	h.cluster.mu.Lock()
	disconnected, lost := h.disconnected || target.disconnected || h.cluster.isolated && target != h, h.cluster.replyLost[method]
	h.cluster.mu.Unlock()
	if disconnected {
		return errors.New("connection refused")
	}
	sent, err := json.Marshal(params)
	require.NoError(h.cluster.t, err)
	reply, err := target.handlers[method](ctx, sent)
	if err != nil {
		return err
	}
	if lost {
		return errors.New("connection lost")
	}
	received, err := json.Marshal(reply)
	require.NoError(h.cluster.t, err)
	return json.Unmarshal(received, result)
}

const (
	trainerName = "plan-trainer"
	scoreTime   = 200 * time.Millisecond
)

func (c *cluster) Current() *codec.Catalogue {
	return &codec.Catalogue{Entries: []codec.Entry{{
		Name: trainerName, Kind: codec.EntryKindTrainer, Class: codec.EntryClassTraining, Limits: codec.Limits{InFlight: 16},
		Trainer: &codec.TrainerSpec{
			ModelEntry: "plan-model", ScorerEntry: "plan-scorer", StalenessBound: 2, IdleWeight: 0.5, MaxTokens: 100,
		},
	}}}
}

func (c *cluster) Subscribe() <-chan *codec.Catalogue { return nil }

// weights adapts the cluster to connector.WeightVersions.
type weights struct{ *cluster }

func (w weights) Current(identifier.EntryName) identifier.WeightVersion { return w.weightVersion() }

func (w weights) Announce(context.Context, identifier.EntryName, identifier.WeightVersion) error {
	return nil
}

// fakeGenerator produces 1 to 8 chunks per completion, each with the weight version current at that time.
type fakeGenerator struct {
	cluster  *cluster
	interval time.Duration

	mu      sync.Mutex
	started map[string]int
	next    int
	// cancelledCount is the number of generations that were cancelled.
	cancelledCount int
	// stall has the prompts whose first attempt sends nothing after its first chunk.
	stall map[string]bool
}

func (g *fakeGenerator) Generate(ctx context.Context, request connector.GenerateRequest,
	onChunk func(connector.Chunk) error,
) (connector.GenerateResult, error) {
	g.mu.Lock()
	g.next++
	g.started[request.Prompt]++
	stalled := g.stall[request.Prompt] && g.started[request.Prompt] == 1
	result := connector.GenerateResult{
		Attempt: identifier.AttemptID(fmt.Sprintf("attempt-%d", g.next)), FinishReason: codec.FinishReasonStop, Upstream: "engine-1",
	}
	g.mu.Unlock()
	if result.Attempt == "attempt-3" {
		return connector.GenerateResult{}, refuser.NotRun(refuser.NoUpstream, 0, "none")
	}
	for i := range 1 + request.Seed%8 {
		if stalled && i == 1 {
			<-ctx.Done()
		}
		select {
		case <-ctx.Done():
			g.mu.Lock()
			g.cancelledCount++
			g.mu.Unlock()
			return connector.GenerateResult{}, refuser.Unknown(refuser.CallerGone, 0, "cancelled")
		case <-time.After(g.interval):
		}
		chunk := connector.Chunk{Text: "a", FirstToken: result.Tokens, Tokens: 2, WeightVersion: g.cluster.weightVersion(), Upstream: "engine-1"}
		if err := onChunk(chunk); err != nil {
			return connector.GenerateResult{}, err
		}
		result.Text += chunk.Text
		result.Tokens += chunk.Tokens
		result.Segments = append(result.Segments, codec.Segment{FirstToken: chunk.FirstToken, WeightVersion: chunk.WeightVersion})
	}
	return result, nil
}

// attempts returns the number of started generations, refused ones included.
func (g *fakeGenerator) attempts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.next
}

func (g *fakeGenerator) cancelled() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cancelledCount
}

func (g *fakeGenerator) Call(_ context.Context, request connector.PlainRequest) (connector.PlainResponse, error) {
	time.Sleep(scoreTime)
	require.Equal(g.cluster.t, "/score", request.Path)
	return connector.PlainResponse{Status: http.StatusOK, Body: []byte(`{"reward":0.5}`)}, nil
}
