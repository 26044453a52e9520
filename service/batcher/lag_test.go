package batcher_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/storekeeper"
)

// heldStore is a store whose responses to writes of results come only after release is closed.
type heldStore struct {
	*storekeeper.Store
	release chan struct{}
}

func (s *heldStore) Put(ctx context.Context, key string, version int64, value json.RawMessage) (codec.Object, error) {
	object, err := s.Store.Put(ctx, key, version, value)
	if strings.HasPrefix(key, "batchresults/") {
		<-s.release
	}
	return object, err
}

// Guards against an owner that shows fewer results than others have read from the store, while it waits for the late response to
// its write.
func TestOwnerShowsWhatOthersReadFromTheStore(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	c.held = &heldStore{Store: c.store, release: make(chan struct{})}
	a := c.add("a")
	t.Cleanup(func() { close(c.held.release) })
	_, err := a.Submit(t.Context(), submission(3))
	require.NoError(t, err)
	keeper := batchkeeper.New(c.store)
	var shown []codec.BatchResult
	require.Eventually(t, func() bool {
		chunk, err := keeper.Chunk(t.Context(), jobID, 0)
		shown = chunk.Results
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, shown, results(t, a))
}

// Guards against a host that was paused and shows its own list, although another host has taken the job over and listed more.
func TestPausedOwnerShowsWhatItsSuccessorListed(t *testing.T) {
	c := newCluster(t, time.Hour)
	a := c.add("a")
	_, err := a.Submit(t.Context(), submission(3))
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	a.stopTicks()
	time.Sleep(1200 * time.Millisecond)
	listed := codec.BatchChunk{Writer: "b#1", Results: []codec.BatchResult{{Item: "i0-", State: codec.ResultStateDone, Text: "text"}}}
	_, err = batchkeeper.New(c.store).Append(t.Context(), jobID, 0, listed)
	require.NoError(t, err)
	require.Equal(t, listed.Results, results(t, a))
}
