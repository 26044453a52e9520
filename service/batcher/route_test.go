package batcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/cataloguer"
	"celerygap.example/service/connector"
)

func routeEntry(name identifier.EntryName, prefix string, pools ...identifier.PoolName) codec.Entry {
	entry := codec.Entry{
		Name: name, Kind: codec.EntryKindBatch, Batch: &codec.BatchSpec{Due: identifier.Duration(time.Minute)}, Route: &codec.RouteSpec{Host: "h", PathPrefix: prefix},
	}
	for _, other := range pools {
		entry.Route.Pools = append(entry.Route.Pools, codec.WeightedPool{Pool: other, Weight: 1})
	}
	return entry
}

// nextEvent counts the events of a test with one text.
func (x *harness) nextEvent() identifier.EventNumber {
	x.events++
	return x.events
}

func (x *harness) resultStates() map[identifier.ItemID]codec.ResultState {
	states := make(map[identifier.ItemID]codec.ResultState)
	for _, a := range x.appends {
		for _, result := range a.Results {
			states[result.Item] = result.State
		}
	}
	return states
}

// Guards against items that are given up the moment their route is missing, and against items that wait for a removed route for ever.
func TestItemsAreGivenUpOnlyAfterTheirRouteStaysRemoved(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 1))
	x.openItems(codec.BatchSpec{}, item("1", 0), item("2", 0))
	first := x.lastRun()
	removed := batcher.RoutesChanged{}
	entries := batcher.RoutesChanged{Entries: map[identifier.BatchID]codec.Entry{jobID: routeEntry("r", "/", pool)}}
	x.handle(removed)
	for range 3 {
		x.advanceClock(600 * time.Millisecond)
		x.event(first, x.nextEvent(), 2)
	}
	x.handle(entries)
	x.advanceClock(500 * time.Millisecond)
	require.Empty(t, x.resultStates(), "the route came back")
	require.Empty(t, x.stopped, "a run in progress goes on")

	x.handle(removed)
	x.handle(batcher.RunEnded{Run: first})
	require.Equal(t, first, x.lastRun(), "no run starts without the route")
	x.advanceClock(1900 * time.Millisecond)
	require.Equal(t, codec.ResultStateDone, x.resultStates()["1"], "what an engine has finished is delivered")
	x.handle(batcher.Appended{Job: jobID})
	x.advanceClock(200 * time.Millisecond)
	x.advanceClock(time.Second)
	require.Equal(t, map[identifier.ItemID]codec.ResultState{"1": codec.ResultStateDone, "2": codec.ResultStateDead}, x.resultStates())
}

// Guards against items that go to the service of a route that no longer matches them, and against the loss of the job's terms when the
// route turns into one for plain requests.
func TestChangedRouteKeepsPoolsAndTerms(t *testing.T) {
	x := newHarness(t)
	elsewhere := engine("b", 2, 1)
	elsewhere.Pool = "other"
	x.handle(batcher.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: {engine("a", 2, 1)}, "other": {elsewhere}}})
	x.openItems(codec.BatchSpec{MaxAge: identifier.Duration(10 * time.Second)}, item("1", 0), item("2", 0), item("3", 0))
	require.Len(t, x.runs, 1)
	plain := routeEntry("r", "/v2/", "other")
	plain.Batch = nil
	x.handle(batcher.RoutesChanged{
		Entries: map[identifier.BatchID]codec.Entry{jobID: plain}, Moved: map[identifier.BatchID]struct{}{jobID: {}},
	})
	x.advanceClock(time.Second)
	require.Len(t, x.runs, 1, "the only engine of the former pool is in use")
	x.handle(batcher.RoutesChanged{Entries: map[identifier.BatchID]codec.Entry{jobID: plain}})
	require.Len(t, x.runs, 2, "a route that still matches takes the items to its new service")
	x.advanceClock(10 * time.Second)
	x.advanceClock(time.Second)
	require.Equal(t, codec.ResultStateDead, x.resultStates()["3"], "the age limit of the former entry holds")
}

// Guards against a job that is given up because its owner has an older catalogue than the host that accepted it, and against items of
// a removed route that go to a route which matches the job but not the items.
func TestOnlyARouteOfAllItemsReplacesTheRemovedOne(t *testing.T) {
	c := newCluster(t, time.Millisecond)
	own := routeEntry("own", "/x/", pool)
	c.catalogue = cataloguer.New(cataloguer.Config{})
	c.setRoutes(3, routeEntry("catch-all", "/", pool))
	h := c.add("a")
	job := submission(4)
	job.Entry, job.Path, job.PathPrefix, job.Revision = "own", "/x/jobs/1", "/x/", 4
	for i := range job.Items {
		job.Items[i].Path = "/x/items"
	}
	status, err := h.Submit(t.Context(), job)
	require.NoError(t, err)
	require.Equal(t, connector.BatchAccepted, status)
	time.Sleep(2500 * time.Millisecond)
	require.Empty(t, results(t, h), "the catalogue is older than the job")
	h.EnginesChanged(map[identifier.PoolName][]codec.ListedHost{})
	c.setRoutes(5, routeEntry("jobs", "/x/jobs/", pool), own)
	c.setRoutes(6, routeEntry("jobs", "/x/jobs/", pool))
	require.Eventually(t, func() bool { return len(results(t, h)) == 4 }, 10*time.Second, 50*time.Millisecond)
	for _, result := range results(t, h) {
		require.Equal(t, codec.ResultStateDead, result.State)
	}
	require.Empty(t, c.run.runs)
}
