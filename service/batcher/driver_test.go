package batcher_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
	"celerygap.example/service/storekeeper"
)

var batchEntry = codec.Entry{
	Name: "batch", Kind: codec.EntryKindBatch, Batch: &codec.BatchSpec{},
	Route: &codec.RouteSpec{Host: "h", PathPrefix: "/", Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}},
}

// Guards against hosts that return different lists: at every host a position holds the same result, and a repeated
// submission does not create a second job.
func TestEveryHostShowsTheSameList(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	a, b := c.add("a"), c.add("b")
	status, err := b.Submit(t.Context(), submission(5))
	require.NoError(t, err)
	require.Equal(t, connector.BatchAccepted, status)
	status, err = a.Submit(t.Context(), submission(5))
	require.NoError(t, err)
	require.Equal(t, connector.BatchAccepted, status, "a repeated submission is accepted")
	require.Equal(t, c.awaitResults(a, 5), c.awaitResults(b, 5))
	for _, result := range results(t, a) {
		require.Equal(t, fmt.Sprintf("%[1]s1\n%[1]s2\n%[1]s3", result.Item), result.Text)
	}
	body, err := b.Body(t.Context(), jobID, "i3-")
	require.NoError(t, err)
	require.Equal(t, []byte{3}, body)
	_, err = b.Read(t.Context(), "other", 0, 0)
	require.ErrorIs(t, err, connector.ErrNotFound)
}

// Guards against a job that stops when its owner is gone: another host adopts it and completes all items.
func TestJobOfADeadOwnerIsAdopted(t *testing.T) {
	c := newCluster(t, 30*time.Millisecond)
	hosts := map[identifier.HostID]*host{"a": c.add("a"), "b": c.add("b")}
	_, err := hosts["a"].Submit(t.Context(), submission(40))
	require.NoError(t, err)
	head, err := batchkeeper.New(c.store).Head(t.Context(), jobID)
	require.NoError(t, err)
	hosts[head.Owner].stop()
	delete(hosts, head.Owner)
	for _, survivor := range hosts {
		require.Len(t, c.awaitResults(survivor, 40), 40)
	}
}

// Guards against results that exist only in their owner's memory: after all processes have ended at the same time, results
// that were returned before are returned again.
func TestResultsSurviveRestartOfAllHosts(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	a := c.add("a")
	_, err := a.Submit(t.Context(), submission(5))
	require.NoError(t, err)
	before := c.awaitResults(a, 5)
	a.stop()
	require.Equal(t, before, c.awaitResults(c.add("a"), 5))
}

// readCounter is a store that counts the reads of result chunks and of heads, and the lists.
type readCounter struct {
	*storekeeper.Store
	reads atomic.Int64
	heads atomic.Int64
	lists atomic.Int64
}

func (s *readCounter) List(ctx context.Context, prefix string) (codec.ObjectList, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, prefix)
}

func (s *readCounter) ListStale(ctx context.Context, prefix string) (codec.ObjectList, error) {
	s.lists.Add(1)
	return s.Store.ListStale(ctx, prefix)
}

func (s *readCounter) Get(ctx context.Context, key string) (codec.Object, error) {
	if strings.HasPrefix(key, "batchresults/") {
		s.reads.Add(1)
	}
	if strings.HasPrefix(key, "batchheads/") {
		s.heads.Add(1)
	}
	return s.Store.Get(ctx, key)
}

// Guards against each host reading the same results from the store after all of them have restarted.
func TestStoredResultsAreReadOnceForAllHosts(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	a := c.add("a")
	_, err := a.Submit(t.Context(), submission(5))
	require.NoError(t, err)
	before := c.awaitResults(a, 5)
	require.NoError(t, a.End(t.Context(), jobID))
	a.stop()
	counter := &readCounter{Store: c.store}
	c.counter = counter
	hosts := []*host{c.add("b"), c.add("c"), c.add("d"), c.add("e")}
	for range 3 {
		for _, h := range hosts {
			require.Equal(t, before, results(t, h))
		}
	}
	require.LessOrEqual(t, counter.reads.Load(), int64(len(before)+1), "each chunk is read once, and the end of the list")
}

// Guards against a planned stop that loses texts: the next owner resumes each text after its last event.
func TestHandOverKeepsTexts(t *testing.T) {
	c := newCluster(t, 150*time.Millisecond)
	hosts := map[identifier.HostID]*host{"a": c.add("a"), "b": c.add("b")}
	_, err := hosts["a"].Submit(t.Context(), submission(3))
	require.NoError(t, err)
	head, err := batchkeeper.New(c.store).Head(t.Context(), jobID)
	require.NoError(t, err)
	time.Sleep(220 * time.Millisecond)
	require.NoError(t, hosts[head.Owner].HandOver(t.Context()))
	hosts[head.Owner].stop()
	delete(hosts, head.Owner)
	for _, survivor := range hosts {
		c.awaitResults(survivor, 3)
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	for id, runs := range c.run.runs {
		require.Len(t, runs, 2, "item %s", id)
		require.EqualValues(t, 1, runs[1], "item %s resumes after its first event", id)
	}
}

// Guards against items that still run after the end of their job was confirmed by a host that does not own it.
func TestEndReachesTheOwner(t *testing.T) {
	c := newCluster(t, 100*time.Millisecond)
	a, b := c.add("a"), c.add("b")
	_, err := a.Submit(t.Context(), submission(4))
	require.NoError(t, err)
	require.NoError(t, b.End(t.Context(), jobID))
	require.NoError(t, a.End(t.Context(), jobID), "an end may be repeated")
	time.Sleep(400 * time.Millisecond)
	require.Empty(t, results(t, a))
	_, err = a.Body(t.Context(), jobID, "i0-")
	require.ErrorIs(t, err, connector.ErrNotFound)
}

// Guards against a submission that is refused but stored all the same: with the store down, nothing of a job is stored or
// runs.
func TestJobIsRefusedWhileStoreIsDown(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	a := c.add("a")
	c.store.SetFaults(storekeeper.Faults{Down: true})
	status, err := a.Submit(t.Context(), submission(1))
	require.Error(t, err)
	require.Equal(t, connector.BatchRefused, status)
	c.store.SetFaults(storekeeper.Faults{})
	_, err = a.Read(t.Context(), jobID, 0, 0)
	require.ErrorIs(t, err, connector.ErrNotFound)
}

// Guards against returning results that the store does not hold, or a page that claims that there are none: during an outage of the
// store a page without results is an error, and the results follow afterwards.
func TestStoreOutageDelaysResults(t *testing.T) {
	c := newCluster(t, 50*time.Millisecond)
	a := c.add("a")
	_, err := a.Submit(t.Context(), submission(3))
	require.NoError(t, err)
	c.store.SetFaults(storekeeper.Faults{Down: true})
	time.Sleep(500 * time.Millisecond)
	_, err = a.Read(t.Context(), jobID, 0, 0)
	require.ErrorIs(t, err, connector.ErrUnavailable)
	c.store.SetFaults(storekeeper.Faults{})
	c.awaitResults(a, 3)
}

// Guards against two owners: a host that misses the owner among the live members calls the owner before it adopts the job.
func TestReachableOwnerKeepsItsJob(t *testing.T) {
	c := newCluster(t, 50*time.Millisecond)
	hosts := map[identifier.HostID]*host{"a": c.add("a"), "b": c.add("b")}
	_, err := hosts["a"].Submit(t.Context(), submission(20))
	require.NoError(t, err)
	keeper := batchkeeper.New(c.store)
	head, err := keeper.Head(t.Context(), jobID)
	require.NoError(t, err)
	c.network.mu.Lock()
	c.network.hidden = head.Owner
	c.network.mu.Unlock()
	time.Sleep(400 * time.Millisecond)
	after, err := keeper.Head(t.Context(), jobID)
	require.NoError(t, err)
	require.Equal(t, head.Owner, after.Owner)
}

// Guards against a write of the former owner that extends the list after the new owner has read it: readers of the store
// would get results that the new owner does not return.
func TestLateWriteOfTheFormerOwnerIsRefused(t *testing.T) {
	c := newCluster(t, time.Hour)
	a := c.add("a")
	_, err := a.Submit(t.Context(), submission(2))
	require.NoError(t, err)
	a.stop()
	b := c.add("b")
	keeper := batchkeeper.New(c.store)
	require.Eventually(t, func() bool {
		head, err := keeper.Head(t.Context(), jobID)
		return err == nil && head.Owner == "b"
	}, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		_, err := keeper.Chunk(t.Context(), jobID, 0)
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	late := codec.BatchChunk{Writer: "a#late", Results: []codec.BatchResult{{Item: "i0-", State: codec.ResultStateDone}}}
	var taken *batchkeeper.PositionTakenError
	_, err = keeper.Append(t.Context(), jobID, 0, late)
	require.ErrorAs(t, err, &taken)
	require.Empty(t, results(t, b))
}

// Guards against a former owner that still returns its own list after another host has taken the job over: a request to
// end the job reads the head, which names the new owner.
func TestFormerOwnerDetectsTakeover(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	a := c.add("a")
	_, err := a.Submit(t.Context(), submission(2))
	require.NoError(t, err)
	c.awaitResults(a, 2)
	keeper := batchkeeper.New(c.store)
	head, err := keeper.Head(t.Context(), jobID)
	require.NoError(t, err)
	head.Owner = "c"
	_, err = keeper.Replace(t.Context(), head)
	require.NoError(t, err)
	late := codec.BatchChunk{Writer: "c#1", Results: []codec.BatchResult{{Item: "x", State: codec.ResultStateDone}}}
	for number := 0; ; number++ {
		if _, err := keeper.Append(t.Context(), jobID, number, late); err == nil {
			break
		}
		require.Less(t, number, 10)
	}
	require.NoError(t, a.End(t.Context(), jobID))
	require.Len(t, results(t, a), 3)
}

// Guards against a read of the head from the store by each host that a trainer queries: the announcement of the owner
// lets other hosts serve a job while the store is down.
func TestHostsKnowTheOwnerWithoutTheStore(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	a, b := c.add("a"), c.add("b")
	_, err := a.Submit(t.Context(), submission(2))
	require.NoError(t, err)
	c.awaitResults(a, 2)
	time.Sleep(100 * time.Millisecond)
	c.store.SetFaults(storekeeper.Faults{Down: true})
	require.Len(t, results(t, a), 2)
	require.Len(t, results(t, b), 2)
	c.store.SetFaults(storekeeper.Faults{})
}

// Guards against calls to the store that grow with the hosts: one host reviews the jobs for all, and a host that is asked for a
// job asks a directory host for its owner, also for one that does not exist.
func TestOneHostReviewsAndLooksUpForAll(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	c.counter = &readCounter{Store: c.store}
	hosts := []*host{c.add("a"), c.add("b"), c.add("c")}
	time.Sleep(200 * time.Millisecond)
	c.counter.lists.Store(0)
	time.Sleep(time.Second)
	require.LessOrEqual(t, c.counter.lists.Load(), int64(13), "one review each 100 ms")
	require.GreaterOrEqual(t, c.counter.lists.Load(), int64(5))

	_, err := hosts[1].Submit(t.Context(), submission(2))
	require.NoError(t, err)
	c.awaitResults(hosts[2], 2)
	time.Sleep(100 * time.Millisecond)
	c.counter.heads.Store(0)
	for range 5 {
		for _, h := range hosts[1:] {
			require.Len(t, results(t, h), 2)
		}
	}
	require.Zero(t, c.counter.heads.Load(), "the directory knows the owner")
	for _, h := range hosts[1:] {
		_, err := h.Read(t.Context(), "absent", 0, 0)
		require.ErrorIs(t, err, connector.ErrNotFound)
	}
	require.LessOrEqual(t, c.counter.heads.Load(), int64(2), "a missing job is looked up once for each host")
}

// Guards against a job that stays with nobody because the write that made a host its owner took effect after that host had
// restarted: the reviewer asks live owners, too.
func TestOwnerLearnsOfItsJobFromTheReviewer(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	a, b := c.add("a"), c.add("b")
	time.Sleep(100 * time.Millisecond)
	for _, h := range []*host{a, b} {
		job := submission(3)
		job.ID = identifier.BatchID("late-" + h.id)
		_, created, err := batchkeeper.New(c.store).Create(t.Context(), job, codec.BatchHead{
			Owner: h.id, Address: string(h.id), Incarnation: 99, Model: model, Total: 3, SubmittedAt: time.Now(),
		})
		require.NoError(t, err)
		require.True(t, created)
		require.Eventually(t, func() bool {
			page, err := b.Read(t.Context(), job.ID, 0, 0)
			return err == nil && len(page.Results) == 3
		}, 5*time.Second, 20*time.Millisecond, "job of %s", h.id)
	}
}

// Guards against an end that is reported as without effect although the runs were stopped, and against one that is reported as
// uncertain although nothing was done.
func TestFailedEndSaysWhatHappened(t *testing.T) {
	c := newCluster(t, 50*time.Millisecond)
	a, b := c.add("a"), c.add("b")
	_, err := a.Submit(t.Context(), submission(20))
	require.NoError(t, err)
	owner, other := a, b
	if c.ownerID(t) == "b" {
		owner, other = b, a
	}
	time.Sleep(100 * time.Millisecond)
	c.store.SetFaults(storekeeper.Faults{Down: true})
	require.NotErrorIs(t, other.End(t.Context(), "unknown"), connector.ErrOutcomeUnknown)
	require.ErrorIs(t, owner.End(t.Context(), jobID), connector.ErrOutcomeUnknown)
	c.store.SetFaults(storekeeper.Faults{})
	require.NoError(t, other.End(t.Context(), jobID))
}
