package batcher_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

// Guards against LOST: the results of a job that is still open are deleted because of its age.
func TestOpenJobKeepsItsResults(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	c.keepResults = 100 * time.Millisecond
	a, b := c.add("a"), c.add("b")
	_, err := a.Submit(t.Context(), submission(3))
	require.NoError(t, err)
	before := c.awaitResults(a, 3)
	time.Sleep(time.Second)
	require.Equal(t, before, results(t, a))
	require.Equal(t, before, results(t, b))
	require.NoError(t, b.End(t.Context(), jobID))
	require.Eventually(t, func() bool {
		_, err := batchkeeper.New(c.store).Head(t.Context(), jobID)
		return errors.Is(err, connector.ErrNotFound)
	}, 5*time.Second, 20*time.Millisecond, "an ended job is removed")
}
