package batcher_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
)

// Guards against LOST: an owner that was neither paused nor told that it has lost its job shows its own, shorter list.
func TestUninformedOwnerShowsWhatItsSuccessorListed(t *testing.T) {
	c, hosts := newSlowReviewCluster(t, time.Hour)
	_, err := hosts["a"].Submit(t.Context(), submission(3))
	require.NoError(t, err)
	former := c.ownerID(t)
	rest := others(hosts, former)
	listed := c.takeOver(t, rest[0])
	time.Sleep(500 * time.Millisecond)
	for _, h := range hosts {
		require.Equal(t, listed, results(t, h), "host %s", h.id)
	}
}

// Guards against LOST: a page without results is passed on from an owner of a build that does not compare its list with the store, or
// although this host has shown results.
func TestPageWithoutResultsNeedsProof(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		c, hosts := newSlowReviewCluster(t, time.Millisecond)
		_, err := hosts["a"].Submit(t.Context(), submission(3))
		require.NoError(t, err)
		owner := c.ownerID(t)
		reader := others(hosts, owner)[0]
		listed := c.awaitResults(hosts[owner], 3)
		if confirmed {
			require.Equal(t, listed, results(t, reader))
		}
		for id := range hosts {
			endpoint{c.network, id}.Handle("batch_read", func(context.Context, json.RawMessage) (any, error) {
				return codec.ReadReply{Owner: true, Page: &codec.BatchPage{Total: 3, Results: []codec.BatchResult{}}, Confirmed: confirmed}, nil
			})
		}
		require.Equal(t, listed, results(t, reader))
	}
}

// Guards against a read of the store for each page: an owner compares its list a few times a second at most, and not at all shortly
// after it has written to it.
func TestOwnerRarelyReadsItsOwnList(t *testing.T) {
	c := newCluster(t, time.Hour)
	c.counter = &readCounter{Store: c.store}
	a := c.add("a")
	began := time.Now()
	_, err := a.Submit(t.Context(), submission(3))
	require.NoError(t, err)
	require.Empty(t, results(t, a))
	require.Zero(t, c.counter.reads.Load(), "the owner has just created the list")
	for time.Since(began) < 2*time.Second {
		require.Empty(t, results(t, a))
		time.Sleep(5 * time.Millisecond)
	}
	require.LessOrEqual(t, c.counter.reads.Load(), int64(5))
}

// Guards against 503 for a page without results because a caller asked for a later position before, of which nothing was shown.
func TestPositionThatWasOnlyAskedForIsNotShown(t *testing.T) {
	c := newCluster(t, time.Hour)
	a := c.add("a")
	_, err := a.Submit(t.Context(), submission(3))
	require.NoError(t, err)
	for _, after := range []int{2, 1, 0} {
		page, err := a.Read(t.Context(), jobID, after, 0)
		require.NoError(t, err)
		require.Empty(t, page.Results)
	}
}

// Guards against results at wrong positions, or none, because the owner lost the job while a read compared its list with the store.
func TestReadGoesOnElsewhereWhenTheJobMoves(t *testing.T) {
	c, hosts := newSlowReviewCluster(t, 50*time.Millisecond)
	_, err := hosts["a"].Submit(t.Context(), submission(100))
	require.NoError(t, err)
	former := c.ownerID(t)
	listed := 0
	require.Eventually(t, func() bool {
		listed = len(results(t, hosts[former]))
		return listed > 0
	}, 5*time.Second, 10*time.Millisecond)
	group := grouper.NewGroup(-1)
	moved := make(chan struct{})
	for range 8 {
		group.Go(func() {
			for {
				page, err := hosts[former].Read(context.Background(), jobID, 0, 0)
				if err == nil && len(page.Results) < listed {
					t.Errorf("%d results, %d were shown before", len(page.Results), listed)
				}
				select {
				case <-moved:
					return
				default:
				}
			}
		})
	}
	require.NoError(t, hosts[former].HandOver(t.Context()))
	close(moved)
	group.Wait()
}

// Guards against an owner that seems dead, and whose jobs are adopted, because reads that wait at it take all places of the
// connections that carry the probes, too.
func TestWaitingReadsLeavePlacesOfTheConnection(t *testing.T) {
	c, hosts := newSlowReviewCluster(t, time.Hour)
	_, err := hosts["a"].Submit(t.Context(), submission(3))
	require.NoError(t, err)
	owner := c.ownerID(t)
	reader := others(hosts, owner)[0]
	var waiting, most atomic.Int64
	read := c.network.handlers[owner]["batch_read"]
	endpoint{c.network, owner}.Handle("batch_read", func(ctx context.Context, params json.RawMessage) (any, error) {
		var request codec.ReadBatch
		if err := json.Unmarshal(params, &request); err == nil && request.Wait > 0 {
			most.Store(max(most.Load(), waiting.Add(1)))
			defer waiting.Add(-1)
		}
		return read(ctx, params)
	})
	group := grouper.NewGroup(-1)
	for range 300 {
		group.Go(func() {
			page, err := reader.Read(context.Background(), jobID, 0, time.Second)
			if err != nil || len(page.Results) > 0 {
				t.Errorf("%d results, %v", len(page.Results), err)
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, most.Load(), int64(32), "reads that wait at the owner")
	require.Positive(t, most.Load())
}
