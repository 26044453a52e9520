package placer_test

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/connector"
	"celerygap.example/service/placer"
)

// owners plays the steps of trainers with the program's own owners of jobs, one for each model. They choose the engines by what they
// infer from the engines' weights, and state the demand.
type owners struct {
	*play
	machines map[identifier.ModelName]*batcher.Batcher
	routes   map[identifier.ModelName]map[identifier.BatchID]codec.Entry
	runs     map[identifier.UpstreamID][]*itemRun
	lengths  map[identifier.ItemID]float64
	jobs     map[identifier.BatchID]*step
	loaded   map[identifier.UpstreamID]identifier.ModelName
	// started counts the runs, and foreign those on an engine that loaded another model last.
	started, foreign int
}

type itemRun struct {
	batcher.StartRun
	model identifier.ModelName
	// next is the number of the next event, due when progress reaches 1.
	next     identifier.EventNumber
	progress float64
}

func newOwners(seed uint64, engines int, events map[identifier.ModelName]float64, stating bool) *owners {
	o := &owners{
		play: newPlay(seed, engines, events, stating), machines: make(map[identifier.ModelName]*batcher.Batcher),
		routes: make(map[identifier.ModelName]map[identifier.BatchID]codec.Entry), runs: make(map[identifier.UpstreamID][]*itemRun),
		lengths: make(map[identifier.ItemID]float64), jobs: make(map[identifier.BatchID]*step),
		loaded: make(map[identifier.UpstreamID]identifier.ModelName),
	}
	for _, model := range o.models {
		o.machines[model] = batcher.New(batcher.Config{})
		o.routes[model] = make(map[identifier.BatchID]codec.Entry)
	}
	o.listEngines()
	return o
}

func (o *owners) listEngines() {
	hosts := make([]codec.ListedHost, 0, len(o.engines))
	for _, e := range o.engines {
		hosts = append(hosts, e.host)
	}
	o.publish()
	for _, model := range o.models {
		o.feed(model, batcher.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: hosts}})
	}
}

// feed passes an event to the owner of a model's jobs and executes its commands.
func (o *owners) feed(model identifier.ModelName, event batcher.Event) {
	for _, command := range o.machines[model].Handle(o.now, event) {
		switch c := command.(type) {
		case batcher.StartRun:
			o.startRun(model, c)
		case batcher.StopRun:
			for id, runs := range o.runs {
				o.runs[id] = slices.DeleteFunc(runs, func(r *itemRun) bool { return r.model == model && r.Run == c.Run })
			}
			o.feed(model, batcher.RunEnded{Run: c.Run, Err: &connector.UpstreamError{Failure: connector.FailureCancelled, Err: errors.New("stopped")}})
		case batcher.Append:
			o.feed(model, batcher.Appended{Job: c.Job})
		case batcher.SaveTexts:
			o.feed(model, batcher.TextsSaved{Job: c.Job})
		}
	}
}

// startRun starts a run, unless the engine is full or loads weights.
func (o *owners) startRun(model identifier.ModelName, c batcher.StartRun) {
	i := slices.IndexFunc(o.engines, func(e *playEngine) bool { return e.host.ID == c.Engine.ID })
	running := len(o.runs[c.Engine.ID])
	load := codec.LoadReport{Running: running, Slots: engineSlots, Slowness: 1}
	if o.engines[i].load != nil || running >= engineSlots {
		o.feed(model, batcher.LoadReported{Engine: c.Engine.ID, Load: load})
		o.feed(model, batcher.RunEnded{Run: c.Run, Err: &connector.UpstreamError{Failure: connector.FailureNotStarted, Err: errors.New("full")}})
		return
	}
	o.started++
	if last, ok := o.loaded[c.Engine.ID]; ok && last != model {
		o.foreign++
	}
	o.runs[c.Engine.ID] = append(o.runs[c.Engine.ID], &itemRun{StartRun: c, model: model, next: c.After + 1})
	load.Running++
	o.feed(model, batcher.LoadReported{Engine: c.Engine.ID, Load: load})
}

func (o *owners) run(length time.Duration) {
	for end := o.now.Add(length); o.now.Before(end); o.now = o.now.Add(playTick) {
		elapsed := o.now.Sub(o.start)
		for i, model := range o.models {
			if (elapsed-time.Duration(i)*stepInterval/time.Duration(len(o.models)))%stepInterval == 0 {
				o.submitJob(model)
			}
		}
		if o.stating && elapsed%time.Second == 0 {
			o.stateDemand()
		}
		if elapsed%(100*time.Millisecond) == 0 {
			o.order()
			for _, model := range o.models {
				o.feed(model, batcher.Tick{})
			}
		}
		for _, e := range o.engines {
			o.advance(e)
		}
	}
}

func (o *owners) submitJob(model identifier.ModelName) {
	s := &step{model: model, submittedAt: o.now, version: o.versions[model]}
	id := identifier.BatchID(fmt.Sprintf("%s-%d", model, len(o.steps)))
	job := codec.BatchJob{ID: id, Model: model, MinVersion: s.version}
	for left := o.events[model]; left > 0; s.unfinished++ {
		length := math.Ceil(min(left, 5+meanText*o.random.ExpFloat64(), maxText))
		item := identifier.ItemID(fmt.Sprintf("%s-%d", id, s.unfinished))
		o.lengths[item] = length
		// The submitter's length is right at the median, and often far off.
		expected := identifier.Tokens(length * math.Exp(0.6*o.random.NormFloat64()))
		job.Items = append(job.Items, codec.BatchItem{ID: item, Path: "/p", ExpectedTokens: max(1, expected)})
		left -= length
	}
	o.steps = append(o.steps, s)
	o.jobs[id] = s
	o.routes[model][id] = codec.Entry{
		Kind: codec.EntryKindBatch, Batch: &codec.BatchSpec{Due: identifier.Duration(stepDue)},
		Route: &codec.RouteSpec{Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}, MaxAttempts: 3},
	}
	o.feed(model, batcher.JobOpened{Job: job, SubmittedAt: o.now})
	o.feed(model, batcher.RoutesChanged{Entries: o.routes[model]})
	o.versions[model]++
	o.p.Handle(o.now, placer.VersionAnnounced{Model: model, Version: o.versions[model]})
}

func (o *owners) stateDemand() {
	demand := make(map[identifier.ModelName]placer.Demand)
	for _, model := range o.models {
		for _, stated := range o.machines[model].Demand(o.now, nil) {
			demand[stated.Model] = placer.DemandOf(stated)
		}
	}
	o.p.Handle(o.now, placer.DemandStated{Demand: map[identifier.PoolName]map[identifier.ModelName]placer.Demand{pool: demand}})
}

// advance plays one tick of an engine.
func (o *owners) advance(e *playEngine) {
	if e.load != nil {
		if o.now.Before(e.loadEnd) {
			return
		}
		o.loaded[e.host.ID] = e.load.Model
		o.finishLoad(e)
		o.listEngines()
	}
	for _, r := range slices.Clone(o.runs[e.host.ID]) {
		r.progress += float64(playTick) / float64(eventTime)
		if r.progress < 1 {
			continue
		}
		r.progress--
		event := connector.RunEvent{Number: r.next, Data: "e", Version: e.serving(r.model)}
		r.next++
		o.feed(r.model, batcher.EventReceived{Run: r.Run, Event: event})
		if float64(r.next) <= o.lengths[r.Item.ID] {
			continue
		}
		o.runs[e.host.ID] = slices.DeleteFunc(o.runs[e.host.ID], func(other *itemRun) bool { return other == r })
		o.feed(r.model, batcher.RunEnded{Run: r.Run})
		s := o.jobs[r.Job]
		s.unfinished--
		if s.unfinished == 0 {
			s.took = o.now.Sub(s.submittedAt)
			o.feed(r.model, batcher.JobEnded{Job: r.Job})
		}
	}
}

// Load test with the owners of jobs: guards against demand that the owners state wrongly, and against owners that choose other
// engines than those of the division.
func TestOwnersAgreeWithTheDivision(t *testing.T) {
	events := map[identifier.ModelName]float64{"m0": 1440, "m1": 2560}
	for seed := uint64(1); seed <= 3; seed++ {
		equal, divided := newOwners(seed, 18, events, false), newOwners(seed, 18, events, true)
		equal.run(90 * time.Second)
		divided.run(90 * time.Second)
		for _, model := range equal.models {
			equalTook, equalLate := equal.took(model, 20*time.Second)
			dividedTook, dividedLate := divided.took(model, 20*time.Second)
			t.Logf("seed %d %s: equal %s, late %.2f; by demand %s, late %.2f", seed, model, equalTook, equalLate, dividedTook, dividedLate)
		}
		t.Logf("seed %d: loads %d and %d, moves %d, foreign runs %d of %d and %d of %d, engines %v", seed, equal.loads, divided.loads, len(divided.moves),
			equal.foreign, equal.started, divided.foreign, divided.started, divided.assigned(t))
		largeEqual, _ := equal.took("m1", 20*time.Second)
		largeDivided, late := divided.took("m1", 20*time.Second)
		_, smallLate := divided.took("m0", 20*time.Second)
		require.Less(t, largeDivided, largeEqual/2)
		require.LessOrEqual(t, max(late, smallLate), 0.25)
		require.LessOrEqual(t, divided.loads, equal.loads)
		require.Less(t, divided.foreign, divided.started/20)
	}
}
