package batcher_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

// takeOver makes another host the owner of the job in the store, which lists a result, and returns that.
func (c *cluster) takeOver(t *testing.T, owner *host) []codec.BatchResult {
	keeper := batchkeeper.New(c.store)
	head, err := keeper.Head(t.Context(), jobID)
	require.NoError(t, err)
	head.Owner, head.Address, head.Incarnation = owner.id, string(owner.id), 1
	_, err = keeper.Replace(t.Context(), head)
	require.NoError(t, err)
	listed := codec.BatchChunk{Writer: "successor", Results: []codec.BatchResult{{Item: "i0-", State: codec.ResultStateDone, Text: "text"}}}
	_, err = keeper.Append(t.Context(), jobID, 0, listed)
	require.NoError(t, err)
	return listed.Results
}

// Guards against two owners: a host that has lost a job without knowing hands it over, away from its owner.
func TestHostHandsOverOnlyWhatItOwns(t *testing.T) {
	for i := range 2 {
		c, hosts := newSlowReviewCluster(t, time.Hour)
		_, err := hosts["a"].Submit(t.Context(), submission(3))
		require.NoError(t, err)
		former := c.ownerID(t)
		owner := others(hosts, former)[i]
		c.takeOver(t, owner)
		require.NoError(t, hosts[former].HandOver(t.Context()))
		require.Equal(t, owner.id, c.ownerID(t))
	}
}

// Guards against a job that is left to its next adoption because the first host that was asked to take it did not.
func TestHandoverGoesOnToAnotherHost(t *testing.T) {
	c, hosts := newSlowReviewCluster(t, 50*time.Millisecond)
	_, err := hosts["a"].Submit(t.Context(), submission(30))
	require.NoError(t, err)
	former := c.ownerID(t)
	asked := 0
	for _, h := range others(hosts, former) {
		p := endpoint{c.network, h.id}
		take := c.network.handlers[h.id]["batch_take"]
		p.Handle("batch_take", func(ctx context.Context, params json.RawMessage) (any, error) {
			if asked++; asked == 1 {
				return codec.SubmitReply{}, nil
			}
			return take(ctx, params)
		})
	}
	require.NoError(t, hosts[former].HandOver(t.Context()))
	require.Equal(t, 2, asked)
	require.NotEqual(t, former, c.ownerID(t))
}

// Guards against a job that a stopping host opens after its handovers, and against a refusal of one that is stored.
func TestDrainingHostOpensNoJobs(t *testing.T) {
	c := newCluster(t, time.Hour)
	a, b := c.add("a"), c.add("b")
	require.NoError(t, a.HandOver(t.Context()))
	status, err := a.Submit(t.Context(), submission(3))
	require.NoError(t, err)
	require.Equal(t, connector.BatchAccepted, status)
	require.Equal(t, b.id, c.ownerID(t))
	c.network.mu.Lock()
	c.network.down[b.id] = true
	c.network.mu.Unlock()
	status, err = a.Submit(t.Context(), submission(3))
	require.NoError(t, err)
	require.Equal(t, connector.BatchAccepted, status, "a job that the store holds")
	other := submission(3)
	other.ID = "other"
	status, err = a.Submit(t.Context(), other)
	require.ErrorIs(t, err, connector.ErrDraining)
	require.Equal(t, connector.BatchRefused, status)
	_, err = batchkeeper.New(c.store).Head(t.Context(), other.ID)
	require.ErrorIs(t, err, connector.ErrNotFound)
}
