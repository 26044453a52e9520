package batcher_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/connector"
)

const (
	model identifier.ModelName = "m"
	pool  identifier.PoolName  = "engines"
	jobID identifier.BatchID   = "job"
)

// harness feeds events to a Batcher and records its commands.
type harness struct {
	t       require.TestingT
	b       *batcher.Batcher
	now     time.Time
	runs    map[batcher.RunID]batcher.StartRun
	stopped map[batcher.RunID]batcher.StopReason
	rewards []batcher.StartReward
	appends []batcher.Append
	events  identifier.EventNumber
	// routes holds the entries of the jobs of submitStep.
	routes map[identifier.BatchID]codec.Entry
}

func newHarness(t require.TestingT) *harness { return newPacedHarness(t, nil) }

func newPacedHarness(t require.TestingT, pacer batcher.Pacer) *harness {
	return &harness{
		t: t, b: batcher.New(batcher.Config{Pacer: pacer}), now: time.Now(), runs: make(map[batcher.RunID]batcher.StartRun),
		stopped: make(map[batcher.RunID]batcher.StopReason),
	}
}

func (x *harness) handle(event batcher.Event) {
	for _, command := range x.b.Handle(x.now, event) {
		switch c := command.(type) {
		case batcher.StartRun:
			x.runs[c.Run] = c
		case batcher.StopRun:
			x.stopped[c.Run] = c.Reason
		case batcher.StartReward:
			x.rewards = append(x.rewards, c)
		case batcher.Append:
			x.appends = append(x.appends, c)
		}
	}
}

func (x *harness) advanceClock(d time.Duration) {
	x.now = x.now.Add(d)
	x.handle(batcher.Tick{})
}

func engine(id identifier.UpstreamID, version identifier.WeightVersion, slots int) codec.ListedHost {
	return codec.ListedHost{
		ID: id, Address: "10.0.0.1:80", Pool: pool, State: codec.HostStateLive, Slots: slots,
		Models: []codec.ModelState{{Model: model, Serving: version}},
	}
}

func (x *harness) engines(hosts ...codec.ListedHost) {
	x.handle(batcher.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: hosts}})
}

func item(id identifier.ItemID, expected identifier.Tokens) codec.BatchItem {
	return codec.BatchItem{ID: id, Path: "/p", ExpectedTokens: expected, Group: "g"}
}

func (x *harness) open(event batcher.JobOpened, spec codec.BatchSpec) {
	x.handle(event)
	x.handle(batcher.RoutesChanged{Entries: map[identifier.BatchID]codec.Entry{event.Job.ID: {
		Kind: codec.EntryKindBatch, Batch: &spec,
		Route: &codec.RouteSpec{Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}, MaxAttempts: 3},
	}}})
}

func (x *harness) openItems(spec codec.BatchSpec, items ...codec.BatchItem) {
	x.open(batcher.JobOpened{Job: codec.BatchJob{ID: jobID, Model: model, MinVersion: 2, Items: items}, SubmittedAt: x.now}, spec)
}

func (x *harness) event(run batcher.RunID, number identifier.EventNumber, version identifier.WeightVersion) {
	x.handle(batcher.EventReceived{Run: run, Event: connector.RunEvent{Number: number, Data: fmt.Sprint("e", number), Version: version}})
}

func (x *harness) fail(run batcher.RunID, failure connector.Failure) {
	x.handle(batcher.RunEnded{Run: run, Err: &connector.UpstreamError{Failure: failure, Err: errors.New("test")}})
}

// lastRun returns the run that was started last.
func (x *harness) lastRun() (run batcher.RunID) {
	for id := range x.runs {
		run = max(run, id)
	}
	return run
}

func (x *harness) saves() (texts []codec.SavedText) {
	x.now = x.now.Add(1100 * time.Millisecond)
	for _, command := range x.b.Handle(x.now, batcher.Tick{}) {
		if c, ok := command.(batcher.SaveTexts); ok {
			texts = append(texts, c.Texts...)
		}
	}
	return texts
}
