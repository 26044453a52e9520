package batcher_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
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
	"celerygap.example/service/batcher"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/cataloguer"
	"celerygap.example/service/connector"
	"celerygap.example/service/storekeeper"
)

// cluster connects the hosts of a test; a host that is down neither calls nor answers.
type cluster struct {
	mu       sync.Mutex
	handlers map[identifier.HostID]map[string]connector.Handler
	down     map[identifier.HostID]bool
	// hidden is a host that the others wrongly take for dead.
	hidden identifier.HostID
}

type port struct {
	cluster *cluster
	id      identifier.HostID
}

func (p port) Self() codec.Member { return codec.Member{ID: p.id, Address: string(p.id)} }

func (p port) Live() []codec.Member {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	var live []codec.Member
	for _, id := range []identifier.HostID{"a", "b", "c"} {
		if _, ok := p.cluster.handlers[id]; ok && !p.cluster.down[id] && (p.cluster.hidden != id || p.id == id) {
			live = append(live, codec.Member{ID: id})
		}
	}
	return live
}

func (p port) Handle(method string, handler connector.Handler) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if p.cluster.handlers[p.id] == nil {
		p.cluster.handlers[p.id] = make(map[string]connector.Handler)
	}
	p.cluster.handlers[p.id][method] = handler
}

func (p port) Call(ctx context.Context, to codec.Member, method string, params, result any) error {
	p.cluster.mu.Lock()
	handler, ok := p.cluster.handlers[to.ID][method]
	cut := p.cluster.down[p.id] || p.cluster.down[to.ID]
	p.cluster.mu.Unlock()
	if !ok || cut {
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

// runner makes three events of each text, slowly enough to be interrupted.
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

type noReports struct{}

func (noReports) Pool(identifier.PoolName) []connector.Upstream    { return nil }
func (noReports) Report(identifier.UpstreamID, connector.Evidence) {}

// host is one batcher with its driver.
type host struct {
	*batcher.Driver
	id   identifier.HostID
	stop func()
}

type fleet struct {
	t       *testing.T
	cluster *cluster
	store   *storekeeper.Store
	// counter, if set, stands before the store of hosts that are added.
	counter *readCounter
	run     *runner
	start   int64
}

func newFleet(t *testing.T, pause time.Duration) *fleet {
	return &fleet{
		t: t, store: storekeeper.New(), run: &runner{pause: pause}, start: 1,
		cluster: &cluster{handlers: make(map[identifier.HostID]map[string]connector.Handler), down: make(map[identifier.HostID]bool)},
	}
}

var batchEntry = codec.Entry{
	Name: "batch", Kind: codec.EntryKindBatch, Batch: &codec.BatchSpec{},
	Route: &codec.RouteSpec{Host: "h", PathPrefix: "/", Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}},
}

func (f *fleet) add(id identifier.HostID) *host {
	p := port{f.cluster, id}
	service := timer.New(timer.Config{Resolution: time.Millisecond})
	f.start++
	var store connector.ObjectStore = f.store
	if f.counter != nil {
		store = f.counter
	}
	d := batcher.NewDriver(batcher.DriverConfig{
		Self: p.Self(), Incarnation: identifier.Incarnation(f.start), Keeper: batchkeeper.New(store), Runner: f.run,
		Match:     func(string, string) (codec.Entry, bool) { return batchEntry, true },
		Catalogue: cataloguer.New(cataloguer.Config{}), Upstreams: noReports{}, Members: p, Peers: p, Timer: service,
		Log: logger.Discard(), SettleTime: 50 * time.Millisecond, ReviewInterval: 100 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	group := grouper.NewGroup(-1)
	group.Go(func() { _ = service.Run(ctx) })
	group.Go(func() { _ = d.Run(ctx) })
	f.cluster.mu.Lock()
	delete(f.cluster.down, id)
	f.cluster.mu.Unlock()
	d.EnginesChanged(map[identifier.PoolName][]codec.ListedHost{pool: {engine("e", 2, 64)}})
	h := &host{Driver: d, id: id, stop: func() {
		f.cluster.mu.Lock()
		f.cluster.down[id] = true
		f.cluster.mu.Unlock()
		cancel()
		group.Wait()
	}}
	f.t.Cleanup(h.stop)
	return h
}

func submission(items int) codec.BatchJob {
	job := codec.BatchJob{ID: jobID, Host: "h", Path: "/x", Model: model, MinVersion: 1}
	for i := range items {
		job.Items = append(job.Items, codec.BatchItem{ID: identifier.ItemID(fmt.Sprint("i", i, "-")), Path: "/x", Body: []byte{byte(i)}})
	}
	return job
}

// results reads all results at a host.
func results(t require.TestingT, h *host) []codec.BatchResult {
	page, err := h.Read(context.Background(), jobID, 0, 0)
	require.NoError(t, err)
	return page.Results
}

func (f *fleet) awaitResults(h *host, count int) []codec.BatchResult {
	require.Eventually(f.t, func() bool {
		page, err := h.Read(context.Background(), jobID, 0, 0)
		return err == nil && len(page.Results) == count
	}, 10*time.Second, 10*time.Millisecond)
	return results(f.t, h)
}

// Guards against hosts that show different lists: whichever host is asked, a position holds the same result.
func TestEveryHostShowsTheSameList(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a, b := f.add("a"), f.add("b")
	status, err := b.Submit(t.Context(), submission(5))
	require.NoError(t, err)
	require.Equal(t, connector.BatchAccepted, status)
	status, err = a.Submit(t.Context(), submission(5))
	require.NoError(t, err)
	require.Equal(t, connector.BatchAccepted, status, "a repeated submission is accepted")
	require.Equal(t, f.awaitResults(a, 5), f.awaitResults(b, 5))
	for _, result := range results(t, a) {
		require.Equal(t, fmt.Sprintf("%[1]s1\n%[1]s2\n%[1]s3", result.Item), result.Text)
	}
	body, err := b.Body(t.Context(), jobID, "i3-")
	require.NoError(t, err)
	require.Equal(t, []byte{3}, body)
	_, err = b.Read(t.Context(), "other", 0, 0)
	require.ErrorIs(t, err, connector.ErrNotFound)
}

// Guards against a job whose owner died: another host goes on with it, and what was listed keeps its position.
func TestJobOfADeadOwnerIsAdopted(t *testing.T) {
	f := newFleet(t, 30*time.Millisecond)
	hosts := map[identifier.HostID]*host{"a": f.add("a"), "b": f.add("b")}
	_, err := hosts["a"].Submit(t.Context(), submission(40))
	require.NoError(t, err)
	head, err := batchkeeper.New(f.store).Head(t.Context(), jobID)
	require.NoError(t, err)
	hosts[head.Owner].stop()
	delete(hosts, head.Owner)
	for _, survivor := range hosts {
		require.Len(t, f.awaitResults(survivor, 40), 40)
	}
}

// Guards against results that only their owner's memory holds: after all processes have ended at once, what was shown
// comes again.
func TestResultsOutliveAllProcesses(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.add("a")
	_, err := a.Submit(t.Context(), submission(5))
	require.NoError(t, err)
	before := f.awaitResults(a, 5)
	a.stop()
	require.Equal(t, before, f.awaitResults(f.add("a"), 5))
}

// readCounter counts the reads of chunks of results.
type readCounter struct {
	*storekeeper.Store
	reads atomic.Int64
}

func (s *readCounter) Get(ctx context.Context, key string) (codec.Object, error) {
	if strings.HasPrefix(key, "batchresults/") {
		s.reads.Add(1)
	}
	return s.Store.Get(ctx, key)
}

// Guards against a store that is asked for the same results by each host after all of them have restarted.
func TestStoredResultsAreReadOnceForAllHosts(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.add("a")
	_, err := a.Submit(t.Context(), submission(5))
	require.NoError(t, err)
	before := f.awaitResults(a, 5)
	require.NoError(t, a.End(t.Context(), jobID))
	a.stop()
	counter := &readCounter{Store: f.store}
	f.counter = counter
	hosts := []*host{f.add("b"), f.add("c"), f.add("d"), f.add("e")}
	for range 3 {
		for _, h := range hosts {
			require.Equal(t, before, results(t, h))
		}
	}
	require.LessOrEqual(t, counter.reads.Load(), int64(len(before)+1), "each chunk once, and the end of the list")
}

// Guards against a planned stop that loses texts: the next owner goes on after the last event.
func TestHandOverKeepsTexts(t *testing.T) {
	f := newFleet(t, 150*time.Millisecond)
	hosts := map[identifier.HostID]*host{"a": f.add("a"), "b": f.add("b")}
	_, err := hosts["a"].Submit(t.Context(), submission(3))
	require.NoError(t, err)
	head, err := batchkeeper.New(f.store).Head(t.Context(), jobID)
	require.NoError(t, err)
	time.Sleep(220 * time.Millisecond)
	require.NoError(t, hosts[head.Owner].HandOver(t.Context()))
	hosts[head.Owner].stop()
	delete(hosts, head.Owner)
	for _, survivor := range hosts {
		f.awaitResults(survivor, 3)
	}
	f.run.mu.Lock()
	defer f.run.mu.Unlock()
	for id, runs := range f.run.runs {
		require.Len(t, runs, 2, "item %s", id)
		require.EqualValues(t, 1, runs[1], "item %s goes on after its first event", id)
	}
}

// Guards against items that run after the end of their job was confirmed, at whichever host it was asked for.
func TestEndReachesTheOwner(t *testing.T) {
	f := newFleet(t, 100*time.Millisecond)
	a, b := f.add("a"), f.add("b")
	_, err := a.Submit(t.Context(), submission(4))
	require.NoError(t, err)
	require.NoError(t, b.End(t.Context(), jobID))
	require.NoError(t, a.End(t.Context(), jobID), "an end may be repeated")
	time.Sleep(400 * time.Millisecond)
	require.Empty(t, results(t, a))
	_, err = a.Body(t.Context(), jobID, "i0-")
	require.ErrorIs(t, err, connector.ErrNotFound)
}

// Guards against a refusal that is not true: with the store down nothing of a job is stored or runs.
func TestNoJobIsTakenWithoutTheStore(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.add("a")
	f.store.SetFaults(storekeeper.Faults{Down: true})
	status, err := a.Submit(t.Context(), submission(1))
	require.Error(t, err)
	require.Equal(t, connector.BatchRefused, status)
	f.store.SetFaults(storekeeper.Faults{})
	_, err = a.Read(t.Context(), jobID, 0, 0)
	require.ErrorIs(t, err, connector.ErrNotFound)
}

// Guards against showing results that the store does not hold: during an outage the list stands still, and afterwards it
// goes on.
func TestOutageOnlyDelaysTheList(t *testing.T) {
	f := newFleet(t, 50*time.Millisecond)
	a := f.add("a")
	_, err := a.Submit(t.Context(), submission(3))
	require.NoError(t, err)
	f.store.SetFaults(storekeeper.Faults{Down: true})
	time.Sleep(500 * time.Millisecond)
	require.Empty(t, results(t, a))
	f.store.SetFaults(storekeeper.Faults{})
	f.awaitResults(a, 3)
}

// Guards against two owners: a host that wrongly takes the owner for dead asks it before it adopts the job.
func TestLivingOwnerKeepsItsJob(t *testing.T) {
	f := newFleet(t, 50*time.Millisecond)
	hosts := map[identifier.HostID]*host{"a": f.add("a"), "b": f.add("b")}
	_, err := hosts["a"].Submit(t.Context(), submission(20))
	require.NoError(t, err)
	keeper := batchkeeper.New(f.store)
	head, err := keeper.Head(t.Context(), jobID)
	require.NoError(t, err)
	f.cluster.mu.Lock()
	f.cluster.hidden = head.Owner
	f.cluster.mu.Unlock()
	time.Sleep(400 * time.Millisecond)
	after, err := keeper.Head(t.Context(), jobID)
	require.NoError(t, err)
	require.Equal(t, head.Owner, after.Owner)
}

// Guards against a list that grows by a write of the former owner after the new one has read it: readers of the store
// would see results that the new owner does not show.
func TestLateWriteOfTheFormerOwnerIsRefused(t *testing.T) {
	f := newFleet(t, time.Hour)
	a := f.add("a")
	_, err := a.Submit(t.Context(), submission(2))
	require.NoError(t, err)
	a.stop()
	b := f.add("b")
	keeper := batchkeeper.New(f.store)
	require.Eventually(t, func() bool {
		head, err := keeper.Head(t.Context(), jobID)
		return err == nil && head.Owner == "b"
	}, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		_, err := keeper.Chunk(t.Context(), jobID, 0)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	late := codec.BatchChunk{Writer: "a#late", Results: []codec.BatchResult{{Item: "i0-", State: codec.ResultStateDone}}}
	var taken *batchkeeper.TakenError
	require.ErrorAs(t, keeper.Append(t.Context(), jobID, 0, late), &taken)
	require.Empty(t, results(t, b))
}

// Guards against a former owner that goes on showing its own list: when it is asked to end the job, the head tells it
// that another host has taken over.
func TestFormerOwnerLearnsOfItsLoss(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.add("a")
	_, err := a.Submit(t.Context(), submission(2))
	require.NoError(t, err)
	f.awaitResults(a, 2)
	keeper := batchkeeper.New(f.store)
	head, err := keeper.Head(t.Context(), jobID)
	require.NoError(t, err)
	head.Owner = "c"
	_, err = keeper.Replace(t.Context(), head)
	require.NoError(t, err)
	late := codec.BatchChunk{Writer: "c#1", Results: []codec.BatchResult{{Item: "x", State: codec.ResultStateDone}}}
	for number := 0; keeper.Append(t.Context(), jobID, number, late) != nil; number++ {
		require.Less(t, number, 10)
	}
	require.NoError(t, a.End(t.Context(), jobID))
	require.Len(t, results(t, a), 3)
}

// Guards against a call to the store by each host that is asked for a job, and against an announcement that arrives late
// and hides a newer owner.
func TestHostsKnowTheOwnerWithoutTheStore(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a, b := f.add("a"), f.add("b")
	_, err := a.Submit(t.Context(), submission(2))
	require.NoError(t, err)
	f.awaitResults(a, 2)
	time.Sleep(100 * time.Millisecond)
	f.store.SetFaults(storekeeper.Faults{Down: true})
	require.Len(t, results(t, a), 2)
	require.Len(t, results(t, b), 2)
	f.store.SetFaults(storekeeper.Faults{})
}
