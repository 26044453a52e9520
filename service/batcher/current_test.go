package batcher_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
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
