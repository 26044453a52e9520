package batcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batchkeeper"
	"celerygap.example/service/connector"
	"celerygap.example/service/elector"
	"celerygap.example/service/reserver"
)

// accountLimit is the memory for callers of each host; it has room for three jobs of heavyJob.
const accountLimit = identifier.Bytes(4 << 20)

// heavySize is about the memory that a job of heavyJob takes.
const heavySize = identifier.Bytes(20 * 50 << 10)

// heavyJob returns a job whose items take a megabyte of memory without their bodies.
func heavyJob(id identifier.BatchID, model identifier.ModelName) codec.BatchJob {
	job := submission(20)
	job.ID, job.Model = id, model
	for i := range job.Items {
		job.Items[i].ID = identifier.ItemID(fmt.Sprint(id, "-", i, "-"))
		job.Items[i].Header = []codec.HeaderField{{Name: "context", Value: strings.Repeat("x", 50<<10)}}
	}
	return job
}

// modelsOf returns models whose jobs have the home first, and second without it.
func modelsOf(first, second identifier.HostID, count int) (models []identifier.ModelName) {
	hosts := []codec.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	for n := 0; len(models) < count; n++ {
		name := fmt.Sprint("model", n)
		if ranked := elector.Rank(name, hosts, 2); ranked[0].ID == first && ranked[1].ID == second {
			models = append(models, identifier.ModelName(name))
		}
	}
	return models
}

func newMemoryCluster(t *testing.T) *cluster {
	c := newCluster(t, time.Hour)
	c.memory = func() *reserver.Account { return reserver.New(reserver.Config{Limit: accountLimit}) }
	return c
}

// submitHeavy submits a job for each model at a host and returns their ids.
func submitHeavy(t *testing.T, at *host, models ...identifier.ModelName) (ids []identifier.BatchID) {
	for n, model := range models {
		id := identifier.BatchID(fmt.Sprint(at.id, "-", model, "-", n))
		status, err := at.Submit(t.Context(), heavyJob(id, model))
		require.NoError(t, err)
		require.Equal(t, connector.BatchAccepted, status)
		ids = append(ids, id)
	}
	return ids
}

// owners returns the number of jobs that the store assigns to each host.
func (c *cluster) owners(t *testing.T) map[identifier.HostID]int {
	heads, err := batchkeeper.New(c.store).Heads(t.Context(), false)
	require.NoError(t, err)
	count := make(map[identifier.HostID]int)
	for _, head := range heads {
		if !head.Ended {
			count[head.Owner]++
		}
	}
	return count
}

func (c *cluster) awaitOwners(t *testing.T, want map[identifier.HostID]int) {
	require.Eventually(t, func() bool { return fmt.Sprint(c.owners(t)) == fmt.Sprint(want) }, 10*time.Second, 20*time.Millisecond,
		"jobs per host: %v", c.owners(t))
}

func requireWithinLimit(t *testing.T, hosts ...*host) {
	for _, h := range hosts {
		require.LessOrEqual(t, h.account.Peak(), accountLimit, "host %s", h.id)
	}
}

// Guards against a host that adopts all jobs of a lost host at once, whatever it holds already, while others have room.
func TestAdoptedJobsGoWhereThereIsRoom(t *testing.T) {
	c := newMemoryCluster(t)
	a, b, third := c.add("a"), c.add("b"), c.add("c")
	submitHeavy(t, a, modelsOf("a", "b", 3)...)
	submitHeavy(t, b, modelsOf("b", "c", 3)...)
	c.awaitOwners(t, map[identifier.HostID]int{"a": 3, "b": 3})
	a.stop()
	c.awaitOwners(t, map[identifier.HostID]int{"b": 3, "c": 3})
	require.Eventually(t, func() bool { return third.account.Used() >= 3*heavySize }, 10*time.Second, 20*time.Millisecond, "the jobs are open")
	requireWithinLimit(t, b, third)
}

// Guards against adopted jobs that take a host above its memory because no other host has room, and against jobs that stay without
// an owner once there is.
func TestAdoptedJobsWaitForMemory(t *testing.T) {
	c := newMemoryCluster(t)
	a, b := c.add("a"), c.add("b")
	waiting := submitHeavy(t, a, modelsOf("a", "b", 3)...)
	own := submitHeavy(t, b, modelsOf("b", "a", 3)...)
	a.stop()
	time.Sleep(time.Second)
	c.awaitOwners(t, map[identifier.HostID]int{"a": 3, "b": 3})
	for _, id := range waiting {
		page, err := b.Read(t.Context(), id, 0, 0)
		require.NoError(t, err)
		require.Equal(t, codec.BatchPage{Total: 20, Results: page.Results, Next: 0}, page)
	}
	require.NoError(t, b.End(t.Context(), waiting[0]), "a job that waits can be ended")
	for _, id := range own {
		require.NoError(t, b.End(t.Context(), id))
	}
	c.awaitOwners(t, map[identifier.HostID]int{"b": 2})
	requireWithinLimit(t, b)
}

// Guards against a host that is killed again after each restart because it resumes at once what it cannot hold.
func TestRestartResumesOnlyWhatFits(t *testing.T) {
	c := newMemoryCluster(t)
	keeper := batchkeeper.New(c.store)
	for n := range 6 {
		job := heavyJob(identifier.BatchID(fmt.Sprint("job", n)), model)
		_, _, err := keeper.Create(t.Context(), job, codec.BatchHead{Owner: "b", Address: "b", Incarnation: 1, Model: model, Total: len(job.Items), SubmittedAt: time.Now()})
		require.NoError(t, err)
	}
	b := c.add("b")
	require.Eventually(t, func() bool { return b.account.Used() >= 3*heavySize }, 10*time.Second, 20*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	requireWithinLimit(t, b)
	third := c.add("c")
	c.awaitOwners(t, map[identifier.HostID]int{"b": 3, "c": 3})
	require.Eventually(t, func() bool { return third.account.Used() >= 3*heavySize }, 10*time.Second, 20*time.Millisecond, "the jobs are open")
	requireWithinLimit(t, b, third)
}

// Guards against a planned stop that hands its jobs over to a host without room for them.
func TestJobsAreHandedOverWhereThereIsRoom(t *testing.T) {
	c := newMemoryCluster(t)
	a, b, third := c.add("a"), c.add("b"), c.add("c")
	submitHeavy(t, a, modelsOf("a", "b", 3)...)
	submitHeavy(t, b, modelsOf("b", "c", 3)...)
	require.NoError(t, a.HandOver(t.Context()))
	require.Equal(t, map[identifier.HostID]int{"b": 3, "c": 3}, c.owners(t))
	requireWithinLimit(t, b, third)
}

// Guards against the home of a model that takes every job that other hosts pass on to it.
func TestHomeWithoutRoomLeavesJobsWhereTheyWereSubmitted(t *testing.T) {
	c := newMemoryCluster(t)
	a, b := c.add("a"), c.add("b")
	submitHeavy(t, a, modelsOf("b", "a", 5)...)
	require.Equal(t, map[identifier.HostID]int{"a": 2, "b": 3}, c.owners(t))
	requireWithinLimit(t, a, b)
}

// Guards against a job that never runs again after its host was lost, because it alone takes nearly all memory of a host.
func TestJobThatFillsAHostIsAdopted(t *testing.T) {
	c := newMemoryCluster(t)
	a, b := c.add("a"), c.add("b")
	job := heavyJob("large", modelsOf("a", "b", 1)[0])
	for i := range job.Items {
		job.Items[i].Header[0].Value = strings.Repeat("x", 190<<10)
	}
	_, err := a.Submit(t.Context(), job)
	require.NoError(t, err)
	a.stop()
	c.awaitOwners(t, map[identifier.HostID]int{"b": 1})
	require.Eventually(t, func() bool { return b.account.Used() >= 19*190<<10 }, 10*time.Second, 20*time.Millisecond, "the job is open")
	requireWithinLimit(t, b)
}

// Guards against an adoption that does not count the results that a job already has.
func TestResultsCountWhenAJobIsAdopted(t *testing.T) {
	c := newMemoryCluster(t)
	a, b := c.add("a"), c.add("b")
	ids := submitHeavy(t, a, modelsOf("a", "b", 1)...)
	submitHeavy(t, b, modelsOf("b", "a", 2)...)
	a.stop()
	keeper := batchkeeper.New(c.store)
	for n := range 3 {
		result := codec.BatchResult{Item: identifier.ItemID(fmt.Sprint(ids[0], "-", n, "-")), State: codec.ResultStateDone, Text: strings.Repeat("t", 800<<10)}
		_, err := keeper.Append(t.Context(), ids[0], n, codec.BatchChunk{Writer: "a", Results: []codec.BatchResult{result}})
		require.NoError(t, err)
	}
	time.Sleep(time.Second)
	requireWithinLimit(t, b)
	third := c.add("c")
	require.Eventually(t, func() bool { return c.owners(t)["c"] == 1 && third.account.Used() >= 3*800<<10 }, 10*time.Second, 20*time.Millisecond)
	requireWithinLimit(t, b, third)
}

// Guards against heads of builds that state no sizes: their jobs would be taken over without regard to memory.
func TestJobOfABuildWithoutSizesWaitsForMemory(t *testing.T) {
	c := newMemoryCluster(t)
	keeper := batchkeeper.New(c.store)
	for n := range 6 {
		job := heavyJob(identifier.BatchID(fmt.Sprint("job", n)), model)
		head, _, err := keeper.Create(t.Context(), job, codec.BatchHead{Owner: "gone", Address: "gone", Incarnation: 1, Model: model, Total: len(job.Items), SubmittedAt: time.Now()})
		require.NoError(t, err)
		head.Size, head.BodySize = 0, 0
		_, err = keeper.Replace(t.Context(), head)
		require.NoError(t, err)
	}
	b := c.add("b")
	require.Eventually(t, func() bool { return b.account.Used() >= 2*heavySize }, 10*time.Second, 20*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	requireWithinLimit(t, b)
	require.Positive(t, c.owners(t)["gone"])
}
