package batcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
)

// submitStep opens a job of a model with items of the given expected lengths and a due time of 7.5 s.
func (x *harness) submitStep(id identifier.BatchID, of identifier.ModelName, lengths ...identifier.Tokens) {
	job := codec.BatchJob{ID: id, Model: of, MinVersion: 1}
	for i, length := range lengths {
		job.Items = append(job.Items, codec.BatchItem{ID: identifier.ItemID(fmt.Sprint(id, "-", i)), Path: "/p", ExpectedTokens: length})
	}
	x.handle(batcher.JobOpened{Job: job, SubmittedAt: x.now})
	x.routes[id] = codec.Entry{
		Kind: codec.EntryKindBatch, Batch: &codec.BatchSpec{Due: identifier.Duration(7500 * time.Millisecond)},
		Route: &codec.RouteSpec{Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}, MaxAttempts: 3},
	}
	x.handle(batcher.RoutesChanged{Entries: x.routes})
}

func newDemandHarness(t *testing.T, engines int) *harness {
	x := newHarness(t)
	x.routes = make(map[identifier.BatchID]codec.Entry)
	var hosts []codec.ListedHost
	for i := range engines {
		hosts = append(hosts, engine(identifier.UpstreamID(fmt.Sprintf("e%02d", i)), 2, 2))
	}
	x.engines(hosts...)
	return x
}

func (x *harness) stateSlowness() {
	x.handle(batcher.LoadReported{Engine: "e00", Load: codec.LoadReport{Slots: 2, Slowness: 1}})
}

// Guards against demand that other deployments' engines do not call for: only engines that state how long work takes, and pools
// whose engines are ordered by load, are divided by demand.
func TestDemandIsStatedOnlyForPoolsThatCallForIt(t *testing.T) {
	x := newDemandHarness(t, 2)
	x.submitStep("j", model, 100)
	x.handle(batcher.LoadReported{Engine: "e00", Load: codec.LoadReport{Running: 1, Slots: 2}})
	require.Empty(t, x.b.Demand(x.now, nil))
	require.Len(t, x.b.Demand(x.now, map[identifier.PoolName]bool{pool: true}), 1)
	x.stateSlowness()
	require.Len(t, x.b.Demand(x.now, nil), 1)
}

// Guards against a wrong demand: what runs and waits, and the work that arrives in one second by the last submissions, which does
// not fall while the trainer waits for a job.
func TestDemandOfATrainer(t *testing.T) {
	// Before a text is complete, a text of the mean expected length, 240 tokens, counts as 64 events.
	const perToken = 64.0 / 240
	x := newDemandHarness(t, 2)
	x.stateSlowness()
	x.submitStep("1", model, 600, 400, 200, 100, 100, 40)
	stated := x.b.Demand(x.now, nil)
	require.Len(t, stated, 1)
	require.Equal(t, 4, stated[0].RunningItems)
	require.Equal(t, 2, stated[0].WaitingItems)
	require.InDelta(t, 140*perToken, stated[0].WaitingEvents, 0.1)
	require.InDelta(t, 1300*perToken, stated[0].RunningEvents, 0.1)
	require.InDelta(t, 1440*perToken/7.5, stated[0].Arriving, 0.1, "a single job brings its events until it is due")
	require.EqualValues(t, 7500*time.Millisecond, stated[0].DueIn)
	for _, id := range []identifier.BatchID{"2", "3", "4", "5"} {
		x.now = x.now.Add(4 * time.Second)
		x.submitStep(id, model, 600, 400, 200, 100, 100, 40)
		x.handle(batcher.JobEnded{Job: id})
	}
	stated = x.b.Demand(x.now.Add(20*time.Second), nil)
	require.InDelta(t, 1440*perToken/4.0, stated[0].Arriving, 0.1, "job 1 is still open")
	require.True(t, stated[0].Late)
	require.Negative(t, stated[0].DueIn)
	require.Greater(t, stated[0].Needed, 1440*perToken/7.5)
	x.handle(batcher.JobEnded{Job: "1"})
	x.now = x.now.Add(6 * time.Second)
	stated = x.b.Demand(x.now, nil)
	require.Len(t, stated, 1, "the trainer pauses between two steps")
	require.InDelta(t, 4*1440*perToken/18.0, stated[0].Arriving, 0.1)
	require.False(t, stated[0].Late)
	require.Empty(t, x.b.Demand(x.now.Add(10*time.Second), nil))
}

// Guards against an owner that takes engines of other models for its own when they are divided unevenly: the division shows in
// the weights, so each model's items run on the engines that loaded its newest version.
func TestUnevenDivisionShowsInTheWeights(t *testing.T) {
	x := newHarness(t)
	x.routes = make(map[identifier.BatchID]codec.Entry)
	var hosts []codec.ListedHost
	for i := range 12 {
		host := engine(identifier.UpstreamID(fmt.Sprintf("e%02d", i)), 5, 2)
		host.Zone = identifier.Zone(fmt.Sprint(i % 3))
		other := codec.ModelState{Model: "other", Serving: 4}
		if i%4 == 0 {
			host.Models[0].Serving, other.Serving = 4, 5
		}
		host.Models = append(host.Models, other)
		hosts = append(hosts, host)
	}
	x.engines(hosts...)
	x.submitStep("j", model, 10, 10, 10, 10, 10, 10, 10, 10, 10)
	x.submitStep("k", "other", 10, 10, 10)
	require.Len(t, x.runs, 12)
	for _, run := range x.runs {
		newest := run.Engine.Models[0]
		if run.Engine.Models[1].Serving > newest.Serving {
			newest = run.Engine.Models[1]
		}
		want := model
		if run.Job == "k" {
			want = "other"
		}
		require.Equal(t, want, newest.Model, "item %s", run.Item.ID)
	}
}
