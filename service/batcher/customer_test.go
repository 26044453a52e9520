package batcher_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
)

func submissionOf(customer identifier.CustomerName) codec.BatchJob {
	job := submission(3)
	job.Customer = customer
	return job
}

func requireOwner(t *testing.T, h *host, want identifier.CustomerName) {
	require.NoError(t, h.CheckCustomer(t.Context(), jobID, want))
	require.ErrorIs(t, h.CheckCustomer(t.Context(), jobID, "other"), connector.ErrNotFound)
	require.ErrorIs(t, h.CheckCustomer(t.Context(), "absent", want), connector.ErrNotFound)
}

// Guards against a job that another customer can use, at its owner, at other hosts, after its owner was lost and after a restart of
// all hosts, and against a second submission of it that is refused.
func TestJobBelongsToItsCustomer(t *testing.T) {
	c := newCluster(t, 30*time.Millisecond)
	hosts := []*host{c.add("a"), c.add("b")}
	for range 2 {
		for _, h := range hosts {
			status, err := h.Submit(t.Context(), submissionOf("owner"))
			require.NoError(t, err)
			require.Equal(t, connector.BatchAccepted, status)
			status, err = h.Submit(t.Context(), submissionOf("other"))
			require.Equal(t, connector.BatchIDTaken, status)
			require.Error(t, err)
			requireOwner(t, h, "owner")
		}
	}
	head, err := batchkeeper.New(c.store).Head(t.Context(), jobID)
	require.NoError(t, err)
	for i, h := range hosts {
		if h.id == head.Owner {
			h.stop()
			requireOwner(t, hosts[1-i], "owner")
			c.awaitResults(hosts[1-i], 3)
			requireOwner(t, hosts[1-i], "owner")
			hosts[1-i].stop()
		}
	}
	again := c.add("c")
	requireOwner(t, again, "owner")
	status, _ := again.Submit(t.Context(), submissionOf("other"))
	require.Equal(t, connector.BatchIDTaken, status)
}

// Guards against a job that becomes open to all customers because a build without customers has written its head, and against
// items that lose their customer then.
func TestCustomerOutlastsHeadsOfOlderBuilds(t *testing.T) {
	c := newCluster(t, 30*time.Millisecond)
	first := c.add("a")
	_, err := first.Submit(t.Context(), submissionOf("owner"))
	require.NoError(t, err)
	first.stop()
	object, err := c.store.Get(t.Context(), "batchheads/job")
	require.NoError(t, err)
	var head map[string]any
	require.NoError(t, json.Unmarshal(object.Value, &head))
	require.Equal(t, "owner", head["customer"])
	delete(head, "customer")
	value, err := json.Marshal(head)
	require.NoError(t, err)
	_, err = c.store.Put(t.Context(), object.Key, object.Version, value)
	require.NoError(t, err)

	second := c.add("b")
	requireOwner(t, second, "owner")
	c.awaitResults(second, 3)
	status, _ := second.Submit(t.Context(), submissionOf("other"))
	require.Equal(t, connector.BatchIDTaken, status)
	require.Eventually(t, func() bool {
		head, err := batchkeeper.New(c.store).Head(t.Context(), jobID)
		return err == nil && head.Owner == "b"
	}, time.Second, 10*time.Millisecond)
	require.NoError(t, second.End(t.Context(), jobID))
	stored, err := batchkeeper.New(c.store).Head(t.Context(), jobID)
	require.NoError(t, err)
	require.EqualValues(t, "owner", stored.Customer, "the next write of the head restores the customer")
}

// Guards against the items of a submission that failed halfway, which another customer would get by submitting a job with its id.
func TestPartsOfAnotherCustomerAreNotReused(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	text, err := json.Marshal(submissionOf("owner"))
	require.NoError(t, err)
	_, err = c.store.Put(t.Context(), "batchparts/job.00000", 0, text)
	require.NoError(t, err)
	h := c.add("a")
	status, _ := h.Submit(t.Context(), submissionOf("other"))
	require.Equal(t, connector.BatchIDTaken, status)
	status, err = h.Submit(t.Context(), submissionOf("owner"))
	require.NoError(t, err)
	require.Equal(t, connector.BatchAccepted, status)
}

// Guards against jobs that nobody can use after customers were configured: those stored before are open to each customer.
func TestJobWithoutCustomerIsOpenToAll(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	hosts := []*host{c.add("a"), c.add("b")}
	_, err := hosts[0].Submit(t.Context(), submission(3))
	require.NoError(t, err)
	for _, h := range hosts {
		require.NoError(t, h.CheckCustomer(t.Context(), jobID, "any"))
		status, err := h.Submit(t.Context(), submissionOf("any"))
		require.NoError(t, err)
		require.Equal(t, connector.BatchAccepted, status)
	}
}

// Guards against a submission that is accepted although its id denotes another customer's job, because the home of the job is of a build
// without customers and accepts it.
func TestAcceptanceByAnOlderBuildIsChecked(t *testing.T) {
	c := newCluster(t, 30*time.Millisecond)
	hosts := map[identifier.HostID]*host{"a": c.add("a"), "b": c.add("b")}
	_, err := hosts["a"].Submit(t.Context(), submissionOf("owner"))
	require.NoError(t, err)
	head, err := batchkeeper.New(c.store).Head(t.Context(), jobID)
	require.NoError(t, err)
	c.network.mu.Lock()
	c.network.handlers[head.Owner]["batch_submit"] = func(context.Context, json.RawMessage) (any, error) {
		return map[string]bool{"accepted": true}, nil
	}
	c.network.mu.Unlock()
	delete(hosts, head.Owner)
	for _, other := range hosts {
		status, _ := other.Submit(t.Context(), submissionOf("other"))
		require.Equal(t, connector.BatchIDTaken, status)
		status, err = other.Submit(t.Context(), submissionOf("owner"))
		require.NoError(t, err)
		require.Equal(t, connector.BatchAccepted, status)
	}
}
