package batcher_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/reserver"
)

// bodyRecorder is a runner that also records the bodies of the items.
type bodyRecorder struct {
	runner
	mu     sync.Mutex
	bodies map[identifier.ItemID][]byte
}

func (r *bodyRecorder) Run(ctx context.Context, run connector.ItemRun) error {
	r.mu.Lock()
	r.bodies[run.Item.ID] = run.Item.Body
	r.mu.Unlock()
	return r.runner.Run(ctx, run)
}

// largeSubmission returns a job whose bodies take a hundred kilobytes each.
func largeSubmission(id identifier.BatchID, items int) codec.BatchJob {
	job := submission(items)
	job.ID = id
	for i := range job.Items {
		job.Items[i].ID = identifier.ItemID(fmt.Sprint(id, "-", i, "-"))
		job.Items[i].Body = bytes.Repeat([]byte{byte(i)}, 100<<10)
	}
	return job
}

// Guards against memory that grows with the bodies of open jobs and with the jobs that have ended, and against items that run
// without the bodies that were left in the store, or results that are lost with the memory: after their submission and after an
// adoption by another host.
func TestJobsBeyondTheMemoryAreServedFromTheStore(t *testing.T) {
	const megabyte, items, jobs = identifier.Bytes(1 << 20), 20, 4
	c := newCluster(t, time.Millisecond)
	run := &bodyRecorder{bodies: make(map[identifier.ItemID][]byte)}
	c.runner = run
	c.memory = func() *reserver.Account { return reserver.New(reserver.Config{Limit: 4 * megabyte}) }
	hosts := []*host{c.add("a"), c.add("b")}
	for n := range jobs {
		id := identifier.BatchID(fmt.Sprint("job", n))
		status, err := hosts[0].Submit(t.Context(), largeSubmission(id, items))
		require.NoError(t, err)
		require.Equal(t, connector.BatchAccepted, status)
		body, err := hosts[1].Body(t.Context(), id, identifier.ItemID(fmt.Sprint(id, "-7-")))
		require.NoError(t, err)
		require.Equal(t, bytes.Repeat([]byte{7}, 100<<10), body)
	}
	for n := range jobs {
		id := identifier.BatchID(fmt.Sprint("job", n))
		require.Eventually(t, func() bool {
			page, err := hosts[n%2].Read(t.Context(), id, 0, 0)
			return err == nil && len(page.Results) == items
		}, 10*time.Second, 10*time.Millisecond)
		require.NoError(t, hosts[0].End(t.Context(), id))
	}
	run.mu.Lock()
	require.Len(t, run.bodies, jobs*items)
	for id, body := range run.bodies {
		require.Len(t, body, 100<<10, id)
	}
	run.mu.Unlock()
	for _, h := range hosts {
		require.Less(t, h.account.Peak(), 3*megabyte)
		require.Eventually(t, func() bool { return h.account.Used() < megabyte/2 }, 5*time.Second, 10*time.Millisecond)
	}
}

// Guards against results that cannot be read any more because their job was unloaded to free memory.
func TestUnloadedJobStaysReadable(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	c.memory = func() *reserver.Account { return reserver.New(reserver.Config{Limit: 16 << 10}) }
	a := c.add("a")
	_, err := a.Submit(t.Context(), submission(20))
	require.NoError(t, err)
	before := c.awaitResults(a, 20)
	require.NoError(t, a.End(t.Context(), jobID))
	require.Eventually(t, func() bool { return a.account.Used() == 0 }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, before, results(t, a))
	require.NoError(t, a.End(t.Context(), jobID))
	_, err = a.Body(t.Context(), jobID, "i0-")
	require.ErrorIs(t, err, connector.ErrNotFound)
}
