package batcher_test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
	"celerygap.example/service/storekeeper"
)

// tickInterval is the time between two ticks of a Driver.
const tickInterval = 50 * time.Millisecond

// newSlowReviewCluster returns a cluster of three hosts that have time for no review of their jobs during the test.
func newSlowReviewCluster(t *testing.T, pause time.Duration) (*cluster, map[identifier.HostID]*host) {
	c := newCluster(t, pause)
	c.reviewInterval = time.Hour
	return c, map[identifier.HostID]*host{"a": c.add("a"), "b": c.add("b"), "c": c.add("c")}
}

func (r *runner) started() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, runs := range r.runs {
		count += len(runs)
	}
	return count
}

// requireNoNewRuns checks that no run starts while several runs could.
func (c *cluster) requireNoNewRuns(t *testing.T) {
	time.Sleep(c.run.pause)
	before := c.run.started()
	time.Sleep(6 * c.run.pause)
	require.Equal(t, before, c.run.started(), "runs after the end of the job")
}

// others returns the hosts except one.
func others(hosts map[identifier.HostID]*host, id identifier.HostID) []*host {
	var rest []*host
	for other, h := range hosts {
		if other != id {
			rest = append(rest, h)
		}
	}
	slices.SortFunc(rest, func(x, y *host) int { return strings.Compare(string(x.id), string(y.id)) })
	return rest
}

// Guards against items that run after the end of their job was confirmed, because the host that took the end knew only the former
// owner and did not tell the one to which that had handed the job over.
func TestEndReachesTheOwnerAfterAHandover(t *testing.T) {
	c, hosts := newSlowReviewCluster(t, 50*time.Millisecond)
	_, err := hosts["a"].Submit(t.Context(), submission(200))
	require.NoError(t, err)
	for _, h := range hosts {
		results(t, h)
	}
	// Only two hosts of a large fleet learn of the new owner from its announcement.
	for id := range hosts {
		endpoint{c.network, id}.Handle("batch_owner", func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	}
	former := c.ownerID(t)
	require.NoError(t, hosts[former].HandOver(t.Context()))
	hosts[former].stop()
	owner := c.ownerID(t)
	require.NotEqual(t, former, owner)
	delete(hosts, former)
	require.NoError(t, others(hosts, owner)[0].End(t.Context(), jobID))
	c.requireNoNewRuns(t)
}

// gate is a store whose reads under a prefix wait until it is opened.
type gate struct {
	*storekeeper.Store
	prefix  string
	reached chan struct{}
	opened  chan struct{}
	once    sync.Once
}

func (s *gate) Get(ctx context.Context, key string) (codec.Object, error) {
	if strings.HasPrefix(key, s.prefix) {
		s.once.Do(func() { close(s.reached) })
		<-s.opened
	}
	return s.Store.Get(ctx, key)
}

// Guards against items that run after the end of their job was confirmed, because the job was ended while its next owner was
// reading it from the store.
func TestJobThatIsEndedDuringItsAdoptionDoesNotRun(t *testing.T) {
	for _, prefix := range []string{"batchparts/", "batchtexts/"} {
		c, hosts := newSlowReviewCluster(t, 50*time.Millisecond)
		_, err := hosts["a"].Submit(t.Context(), submission(200))
		require.NoError(t, err)
		former := c.ownerID(t)
		rest := others(hosts, former)
		results(t, rest[0])
		hosts[former].stop()
		rest[1].stop()
		// The adopter has no other way to learn of the end than the head that it reads last.
		slow := &gate{Store: c.store, prefix: prefix, reached: make(chan struct{}), opened: make(chan struct{})}
		c.replacement = slow
		c.add(former)
		<-slow.reached
		require.NoError(t, rest[0].End(t.Context(), jobID))
		close(slow.opened)
		time.Sleep(100 * time.Millisecond)
		c.requireNoNewRuns(t)
	}
}

// Guards against a host that woke up and starts items of a job that was ended, or calls for their scores, before it has compared
// its jobs with the store.
func TestPausedOwnerStartsNothingOfAnEndedJob(t *testing.T) {
	c, hosts := newSlowReviewCluster(t, 200*time.Millisecond)
	_, err := hosts["a"].Submit(t.Context(), submission(400))
	require.NoError(t, err)
	owner := hosts[c.ownerID(t)]
	time.Sleep(2 * tickInterval)
	owner.stopTicks()
	time.Sleep(1300 * time.Millisecond)
	keeper := batchkeeper.New(c.store)
	head, err := keeper.Head(t.Context(), jobID)
	require.NoError(t, err)
	head.Ended = true
	_, err = keeper.Replace(t.Context(), head)
	require.NoError(t, err)
	before := c.run.started()
	owner.EnginesChanged(map[identifier.PoolName][]codec.ListedHost{pool: {engine("f", 2, 64)}})
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, before, c.run.started())
}

// Guards against a host that waits for the store after a pause although the directory hosts know that its jobs go on.
func TestPausedOwnerGoesOnWithoutTheStore(t *testing.T) {
	c, hosts := newSlowReviewCluster(t, 200*time.Millisecond)
	_, err := hosts["a"].Submit(t.Context(), submission(400))
	require.NoError(t, err)
	for _, h := range hosts {
		results(t, h)
	}
	owner := hosts[c.ownerID(t)]
	time.Sleep(2 * tickInterval)
	owner.pauseTicks(1300 * time.Millisecond)
	c.store.SetFaults(storekeeper.Faults{Down: true})
	time.Sleep(1300 * time.Millisecond)
	before := c.run.started()
	require.Eventually(t, func() bool { return c.run.started() > before }, 3*time.Second, 20*time.Millisecond)
}

// staleLists is a store whose stale lists show the heads as they were.
type staleLists struct {
	*storekeeper.Store
	mu  sync.Mutex
	old codec.ObjectList
}

func (s *staleLists) ListStale(context.Context, string) (codec.ObjectList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.old, nil
}

// Guards against an owner that ignores the end in the head that it reads, because the list that made it read shows the former owner.
func TestEndIsFoundBehindAnOldList(t *testing.T) {
	c := newCluster(t, 50*time.Millisecond)
	lists := &staleLists{Store: c.store}
	c.replacement = lists
	hosts := map[identifier.HostID]*host{"a": c.add("a"), "b": c.add("b")}
	_, err := hosts["a"].Submit(t.Context(), submission(200))
	require.NoError(t, err)
	former := c.ownerID(t)
	old, err := c.store.List(t.Context(), "batchheads/")
	require.NoError(t, err)
	lists.mu.Lock()
	lists.old = old
	lists.mu.Unlock()
	require.NoError(t, hosts[former].HandOver(t.Context()))
	keeper := batchkeeper.New(c.store)
	head, err := keeper.Head(t.Context(), jobID)
	require.NoError(t, err)
	require.NotEqual(t, former, head.Owner)
	head.Ended = true
	_, err = keeper.Replace(t.Context(), head)
	require.NoError(t, err)
	time.Sleep(300 * time.Millisecond)
	c.requireNoNewRuns(t)
}

// retryingRewards is a client for reward calls whose calls last until they are cancelled.
type retryingRewards struct {
	began chan struct{}
	ended chan struct{}
}

func (r *retryingRewards) Call(ctx context.Context, _ connector.PlainRequest) (connector.PlainResponse, error) {
	r.began <- struct{}{}
	<-ctx.Done()
	r.ended <- struct{}{}
	return connector.PlainResponse{}, ctx.Err()
}

// Guards against reward calls that are sent again and again after their job has ended or moved to another host.
func TestRewardCallsStopWithTheirJob(t *testing.T) {
	for name, stop := range map[string]func(*testing.T, *host) error{
		"end":      func(t *testing.T, h *host) error { return h.End(t.Context(), jobID) },
		"handover": func(t *testing.T, h *host) error { return h.HandOver(t.Context()) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, time.Millisecond)
			rewards := &retryingRewards{began: make(chan struct{}, 9), ended: make(chan struct{}, 9)}
			c.rewards = rewards
			hosts := map[identifier.HostID]*host{"a": c.add("a"), "b": c.add("b")}
			job := submission(1)
			job.Items[0].Reward = &codec.RewardCall{ID: "r", Host: "h", Path: "/r"}
			_, err := hosts["a"].Submit(t.Context(), job)
			require.NoError(t, err)
			<-rewards.began
			require.NoError(t, stop(t, hosts[c.ownerID(t)]))
			select {
			case <-rewards.ended:
			case <-time.After(time.Second):
				require.Fail(t, "the call goes on")
			}
		})
	}
}

// Guards against starts during a hold, and against items that wait after it.
func TestNothingStartsDuringAHold(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("e", 2, 8))
	x.handle(batcher.StartsHeld{})
	x.openItems(codec.BatchSpec{}, item("1", 1))
	x.advanceClock(time.Second)
	require.Empty(t, x.runs)
	x.handle(batcher.StartsReleased{})
	require.Len(t, x.runs, 1)
}
