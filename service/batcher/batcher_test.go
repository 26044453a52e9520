package batcher_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/asserter"
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

// bench drives a Batcher and remembers what its commands started.
type bench struct {
	t       require.TestingT
	b       *batcher.Batcher
	now     time.Time
	runs    map[batcher.RunID]batcher.StartRun
	stopped map[batcher.RunID]batcher.StopReason
	rewards []batcher.StartReward
	appends []batcher.Append
}

func newBench(t require.TestingT) *bench {
	return &bench{
		t: t, b: batcher.New(), now: time.Now(), runs: make(map[batcher.RunID]batcher.StartRun),
		stopped: make(map[batcher.RunID]batcher.StopReason),
	}
}

func (x *bench) handle(event batcher.Event) {
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

func (x *bench) pass(d time.Duration) {
	x.now = x.now.Add(d)
	x.handle(batcher.Tick{})
}

func engine(id identifier.UpstreamID, version identifier.WeightVersion, slots int) codec.ListedHost {
	return codec.ListedHost{
		ID: id, Address: "10.0.0.1:80", Pool: pool, State: codec.HostStateLive, Slots: slots,
		Models: []codec.ModelState{{Model: model, Serving: version}},
	}
}

func (x *bench) engines(hosts ...codec.ListedHost) {
	x.handle(batcher.EnginesChanged{Engines: map[identifier.PoolName][]codec.ListedHost{pool: hosts}})
}

func item(id identifier.ItemID, expected identifier.Tokens) codec.BatchItem {
	return codec.BatchItem{ID: id, Path: "/p", ExpectedTokens: expected, Group: "g"}
}

func (x *bench) open(event batcher.JobOpened, spec codec.BatchSpec) {
	x.handle(event)
	x.handle(batcher.RoutesChanged{Entries: map[identifier.BatchID]codec.Entry{event.Job.ID: {
		Kind: codec.EntryKindBatch, Batch: &spec,
		Route: &codec.RouteSpec{Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}, MaxAttempts: 3},
	}}})
}

func (x *bench) openItems(spec codec.BatchSpec, items ...codec.BatchItem) {
	x.open(batcher.JobOpened{Job: codec.BatchJob{ID: jobID, Model: model, MinVersion: 2, Items: items}, SubmittedAt: x.now}, spec)
}

func (x *bench) event(run batcher.RunID, number identifier.EventNumber, version identifier.WeightVersion) {
	x.handle(batcher.EventReceived{Run: run, Event: connector.RunEvent{Number: number, Data: fmt.Sprint("e", number), Version: version}})
}

func (x *bench) fail(run batcher.RunID, failure connector.Failure) {
	x.handle(batcher.RunEnded{Run: run, Err: &connector.UpstreamError{Failure: failure, Err: errors.New("test")}})
}

// only returns the single run that was started after so many others.
func (x *bench) last() (run batcher.RunID) {
	for id := range x.runs {
		run = max(run, id)
	}
	return run
}

// Guards against texts with gaps or repeats and against labels that do not name the versions that made them.
func TestTextGoesOnAfterTheLastEventOnAnotherEngine(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 8), engine("b", 3, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	first := x.last()
	x.event(first, 1, 2)
	x.event(first, 2, 2)
	x.fail(first, connector.FailureLost)
	second := x.last()
	require.NotEqual(t, first, second)
	require.NotEqual(t, x.runs[first].Engine.ID, x.runs[second].Engine.ID, "the engine that broke off rests")
	require.EqualValues(t, 2, x.runs[second].After)
	x.event(second, 3, 3)
	x.handle(batcher.RunEnded{Run: second})
	x.pass(time.Second)
	require.Len(t, x.appends, 1)
	require.Equal(t, []codec.BatchResult{{
		Item: "1", State: codec.ResultStateDone, Text: "e1\ne2\ne3", Versions: []identifier.WeightVersion{2, 3},
	}}, x.appends[0].Results)
}

// Guards against generating with weights older than the job allows: such engines get no runs, and an event that shows
// older weights than the list told ends the run.
func TestOldWeightsAreNotUsed(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 1, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	require.Empty(t, x.runs)
	x.engines(engine("a", 2, 8))
	x.event(x.last(), 1, 1)
	require.Equal(t, batcher.StopOldWeights, x.stopped[x.last()])
}

// Guards against a text of several versions where the route demands a single one.
func TestSingleVersionStartsAgain(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 8))
	x.openItems(codec.BatchSpec{SingleVersion: true}, item("1", 0))
	run := x.last()
	x.event(run, 1, 2)
	x.event(run, 2, 3)
	require.Equal(t, batcher.StopMixedWeights, x.stopped[run])
	x.fail(run, connector.FailureCancelled)
	require.NotEqual(t, run, x.last())
	require.Zero(t, x.runs[x.last()].After)
}

// Guards against giving an item up too early or never: dead only after max_attempts failures of engines, or one answer
// that it can never be done, or its greatest age.
func TestWhenAnItemIsGivenUp(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 8), engine("b", 2, 8))
	x.openItems(codec.BatchSpec{MaxAge: identifier.Duration(time.Minute)}, item("fails", 30), item("refused", 20), item("slow", 10))
	byItem := func(id identifier.ItemID) (run batcher.RunID) {
		for _, c := range x.runs {
			if c.Item.ID == id {
				run = max(run, c.Run)
			}
		}
		return run
	}
	x.fail(byItem("refused"), connector.FailureRejected)
	for range 3 {
		x.fail(byItem("fails"), connector.FailureUnavailable)
		x.pass(200 * time.Millisecond)
	}
	x.fail(byItem("slow"), connector.FailureLost)
	x.pass(30 * time.Second)
	var dead []identifier.ItemID
	collect := func() {
		appends := x.appends
		x.appends = nil
		for _, a := range appends {
			for _, result := range a.Results {
				require.Equal(t, codec.ResultStateDead, result.State)
				dead = append(dead, result.Item)
			}
			x.handle(batcher.Appended{Job: a.Job})
		}
	}
	collect()
	x.pass(time.Second)
	collect()
	require.ElementsMatch(t, []identifier.ItemID{"fails", "refused"}, dead)
	x.pass(31 * time.Second)
	x.pass(time.Second)
	collect()
	require.Contains(t, dead, identifier.ItemID("slow"))
}

// Guards against scoring a text before its last event, and against losing the item when the scorer fails.
func TestRewardFollowsTheCompleteText(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 8))
	scored := item("1", 0)
	scored.Reward = &codec.RewardCall{ID: "r", Host: "h", Path: "/s"}
	x.openItems(codec.BatchSpec{}, scored)
	x.event(x.last(), 1, 2)
	require.Empty(t, x.rewards)
	x.handle(batcher.RunEnded{Run: x.last()})
	require.Len(t, x.rewards, 1)
	x.handle(batcher.RewardEnded{Job: jobID, Item: "1", Failures: 1, Limit: 3})
	x.pass(time.Second)
	require.Len(t, x.rewards, 2, "the call is repeated")
	x.handle(batcher.RewardEnded{Job: jobID, Item: "1", Score: "s"})
	x.pass(time.Second)
	require.Equal(t, "s", x.appends[0].Results[0].Score)
}

// Guards against work for a job that has ended.
func TestEndStopsRuns(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 1))
	x.openItems(codec.BatchSpec{}, item("1", 0), item("2", 0))
	run := x.last()
	x.handle(batcher.JobEnded{Job: jobID})
	require.Equal(t, batcher.StopJobEnded, x.stopped[run])
	x.fail(run, connector.FailureCancelled)
	x.pass(time.Minute)
	require.Len(t, x.runs, 1)
	require.Empty(t, x.appends)
}

// Guards against generating a text again that an earlier job of the model holds, and against using one whose weights
// the later job does not allow.
func TestTextsOfEarlierJobsAreUsed(t *testing.T) {
	for _, c := range []struct {
		minimum identifier.WeightVersion
		after   identifier.EventNumber
	}{{2, 2}, {3, 0}} {
		x := newBench(t)
		x.engines(engine("a", 3, 8))
		x.openItems(codec.BatchSpec{}, item("1", 0))
		x.event(x.last(), 1, 2)
		x.event(x.last(), 2, 2)
		x.handle(batcher.JobEnded{Job: jobID})
		x.fail(x.last(), connector.FailureCancelled)
		x.open(batcher.JobOpened{Job: codec.BatchJob{ID: "next", Model: model, MinVersion: c.minimum, Items: []codec.BatchItem{item("1", 0)}}}, codec.BatchSpec{})
		require.Equal(t, c.after, x.runs[x.last()].After)
	}
}

// Guards against a list that grows by items that another host has listed meanwhile.
func TestSupersededListWins(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0), item("2", 0))
	for id := range x.runs {
		x.event(id, 1, 2)
		x.handle(batcher.RunEnded{Run: id})
	}
	x.pass(time.Second)
	require.Len(t, x.appends, 1)
	other := codec.BatchResult{Item: "2", State: codec.ResultStateDone, Text: "other"}
	x.handle(batcher.Superseded{Job: jobID, Results: []codec.BatchResult{other}})
	x.pass(time.Second)
	require.Len(t, x.appends, 2)
	require.Len(t, x.appends[1].Results, 1)
	require.EqualValues(t, "1", x.appends[1].Results[0].Item)
	page, _, _ := x.b.Page(jobID, 0, 1<<20)
	require.Equal(t, []codec.BatchResult{other}, page.Results, "what is not stored is not shown")
}

// Guards against a step that waits for its longest text because that text started last: with too few slots for all
// items, the texts that are expected to be longest go first. Plays the load against the order of submission.
func TestLongestTextsStartFirst(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 2))
	x.openItems(codec.BatchSpec{}, item("short", 10), item("middle", 100), item("long", 1000))
	var started []identifier.ItemID
	for id := batcher.RunID(1); id <= x.last(); id++ {
		started = append(started, x.runs[id].Item.ID)
	}
	require.Equal(t, []identifier.ItemID{"long", "middle"}, started)
}

// play runs 16 long items on two engines, one of them slow, and returns when the last text is complete. Each engine
// makes an event of each of its runs every gap.
func play(t *testing.T, gaps map[identifier.UpstreamID]time.Duration, events identifier.EventNumber) time.Duration {
	x := newBench(t)
	x.engines(engine("fast", 2, 16), engine("slow", 2, 16))
	var items []codec.BatchItem
	for i := range 16 {
		items = append(items, item(identifier.ItemID(fmt.Sprint(i)), 0))
	}
	start := x.now
	x.openItems(codec.BatchSpec{}, items...)
	next := make(map[batcher.RunID]time.Time)
	count := make(map[batcher.RunID]identifier.EventNumber)
	const step = 10 * time.Millisecond
	for done := 0; done < len(items); x.pass(step) {
		require.Less(t, x.now.Sub(start), time.Minute)
		for id, run := range x.runs {
			if _, stopped := x.stopped[id]; stopped {
				delete(x.runs, id)
				x.fail(id, connector.FailureCancelled)
				continue
			}
			if _, ok := next[id]; !ok {
				next[id], count[id] = x.now.Add(gaps[run.Engine.ID]), run.After
			}
			if x.now.Before(next[id]) {
				continue
			}
			next[id] = x.now.Add(gaps[run.Engine.ID])
			count[id]++
			x.event(id, count[id], 2)
			if count[id] == events {
				delete(x.runs, id)
				x.handle(batcher.RunEnded{Run: id})
				done++
			}
		}
	}
	return x.now.Sub(start)
}

// Guards against groups that wait for the runs of a slow engine while a fast one has free slots: runs move, and not back
// and forth. The baseline is the time on two equal engines.
func TestRunsMoveFromASlowEngine(t *testing.T) {
	fast, slow := 40*time.Millisecond, 160*time.Millisecond
	baseline := play(t, map[identifier.UpstreamID]time.Duration{"fast": fast, "slow": fast}, 50)
	moved := play(t, map[identifier.UpstreamID]time.Duration{"fast": fast, "slow": slow}, 50)
	stuck := 50 * slow
	require.Less(t, moved, baseline*3/2, "most of the work is done at the speed of the fast engine")
	require.Less(t, moved, stuck/2)
}

// Guards against runs on an engine that has gone silent.
func TestStalledRunsGoElsewhere(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 8), engine("b", 2, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	run := x.last()
	x.event(run, 1, 2)
	x.pass(3 * time.Second)
	require.Equal(t, batcher.StopStalled, x.stopped[run])
	x.fail(run, connector.FailureCancelled)
	require.NotEqual(t, x.runs[run].Engine.ID, x.runs[x.last()].Engine.ID)
}

// Guards against items that are lost, listed twice or listed with a text of the wrong events, whatever the order in
// which runs, rewards, writes and takeovers end. Seeded by rapid.
func TestEveryItemIsListedOnce(t *testing.T) {
	restore := asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("%s: %s", name, detail) })
	defer restore()
	rapid.Check(t, func(rt *rapid.T) {
		x := newBench(rt)
		x.engines(engine("a", 2, 2), engine("b", 3, 2))
		length := make(map[identifier.ItemID]identifier.EventNumber)
		var items []codec.BatchItem
		for i := range rapid.IntRange(1, 6).Draw(rt, "items") {
			it := item(identifier.ItemID(fmt.Sprint(i)), identifier.Tokens(i))
			if i%2 == 0 {
				it.Reward = &codec.RewardCall{ID: "r"}
			}
			length[it.ID] = identifier.EventNumber(rapid.IntRange(1, 4).Draw(rt, "length"))
			items = append(items, it)
		}
		x.openItems(codec.BatchSpec{}, items...)
		progress := make(map[batcher.RunID]identifier.EventNumber)
		var store []codec.BatchResult
		for range 400 {
			x.randomStep(rt, length, progress, &store)
			if len(store) == len(items) {
				break
			}
		}
		for range 200 {
			x.finishAll(length, progress, &store)
		}
		require.Len(rt, store, len(items))
		seen := map[identifier.ItemID]bool{}
		for _, result := range store {
			require.False(rt, seen[result.Item], "item %s is listed twice", result.Item)
			seen[result.Item] = true
			require.Equal(rt, wholeText(length[result.Item]), result.Text)
		}
	})
}

func wholeText(events identifier.EventNumber) string {
	text := ""
	for n := identifier.EventNumber(1); n <= events; n++ {
		if n > 1 {
			text += "\n"
		}
		text += fmt.Sprint("e", n)
	}
	return text
}

func (x *bench) randomStep(rt *rapid.T, length map[identifier.ItemID]identifier.EventNumber, progress map[batcher.RunID]identifier.EventNumber, store *[]codec.BatchResult) {
	x.pass(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
	for id := batcher.RunID(1); id <= 500; id++ {
		run, ok := x.runs[id]
		if !ok {
			continue
		}
		if _, stopped := x.stopped[id]; stopped {
			delete(x.runs, id)
			x.fail(id, connector.FailureCancelled)
			continue
		}
		if progress[id] < run.After {
			progress[id] = run.After
		}
		switch rapid.IntRange(0, 5).Draw(rt, "step") {
		case 0:
			delete(x.runs, id)
			x.fail(id, rapid.SampledFrom([]connector.Failure{connector.FailureLost, connector.FailureNotStarted, connector.FailureMismatch}).Draw(rt, "failure"))
		case 1, 2, 3:
			x.advance(id, run, length, progress)
		}
	}
	x.settle(store, rapid.IntRange(0, 3).Draw(rt, "write"))
}

func (x *bench) advance(id batcher.RunID, run batcher.StartRun, length map[identifier.ItemID]identifier.EventNumber, progress map[batcher.RunID]identifier.EventNumber) {
	if progress[id] < length[run.Item.ID] {
		progress[id]++
		x.event(id, progress[id], run.Engine.Models[0].Serving)
		return
	}
	delete(x.runs, id)
	x.handle(batcher.RunEnded{Run: id})
}

// settle ends reward calls and writes; a write may be lost to another host that appended nothing new.
func (x *bench) settle(store *[]codec.BatchResult, outcome int) {
	rewards := x.rewards
	x.rewards = nil
	for _, reward := range rewards {
		score := "s"
		if outcome == 0 {
			score = ""
		}
		x.handle(batcher.RewardEnded{Job: jobID, Item: reward.Item, Score: score, Limit: 1000})
	}
	appends := x.appends
	x.appends = nil
	for _, a := range appends {
		if outcome == 1 {
			x.handle(batcher.Superseded{Job: jobID, Results: append([]codec.BatchResult{}, *store...)})
			continue
		}
		*store = append(*store, a.Results...)
		x.handle(batcher.Appended{Job: jobID})
	}
}

func (x *bench) finishAll(length map[identifier.ItemID]identifier.EventNumber, progress map[batcher.RunID]identifier.EventNumber, store *[]codec.BatchResult) {
	x.pass(300 * time.Millisecond)
	for id, run := range x.runs {
		if _, stopped := x.stopped[id]; stopped {
			delete(x.runs, id)
			x.fail(id, connector.FailureCancelled)
			continue
		}
		progress[id] = max(progress[id], run.After)
		x.advance(id, run, length, progress)
	}
	x.settle(store, 3)
}

// Guards against long texts that start again after all processes have ended: what the store holds is continued, short
// texts are not saved, and a text that was cleared makes its saved part void.
func TestLongTextsAreSaved(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 8))
	x.openItems(codec.BatchSpec{}, item("long", 100), item("short", 0))
	for n := identifier.EventNumber(1); n <= 20; n++ {
		x.event(1, n, 2)
	}
	x.event(2, 1, 2)
	saved := x.saves()
	require.Len(t, saved, 1)
	require.EqualValues(t, "long", saved[0].Item)
	require.Len(t, saved[0].Events, 20)
	x.event(1, 21, 2)
	require.Empty(t, x.saves(), "one write at a time")
	x.handle(batcher.TextsSaved{Job: jobID})
	saved = x.saves()
	require.Equal(t, 20, saved[0].After)
	require.Equal(t, []string{"e21"}, saved[0].Events)

	y := newBench(t)
	y.engines(engine("a", 2, 8))
	y.open(batcher.JobOpened{
		Job:   codec.BatchJob{ID: jobID, Model: model, MinVersion: 2, Items: []codec.BatchItem{item("long", 100)}},
		Saved: []codec.ItemProgress{{Item: "long", Events: make([]string, 21), Versions: []identifier.WeightVersion{2}}},
	}, codec.BatchSpec{})
	require.EqualValues(t, 21, y.runs[y.last()].After)
}

func (x *bench) saves() (texts []codec.SavedText) {
	x.now = x.now.Add(1100 * time.Millisecond)
	for _, command := range x.b.Handle(x.now, batcher.Tick{}) {
		if c, ok := command.(batcher.SaveTexts); ok {
			texts = append(texts, c.Texts...)
		}
	}
	return texts
}

// Guards against a saved text that is joined from two starts of the item: what was saved of the first one is void.
func TestRestartedTextIsSavedAnew(t *testing.T) {
	x := newBench(t)
	x.engines(engine("a", 2, 8), engine("b", 3, 8))
	x.openItems(codec.BatchSpec{SingleVersion: true}, item("long", 100))
	for n := identifier.EventNumber(1); n <= 20; n++ {
		x.event(1, n, 2)
	}
	require.Len(t, x.saves(), 1)
	x.event(1, 21, 3)
	require.Equal(t, batcher.StopMixedWeights, x.stopped[1])
	x.fail(1, connector.FailureCancelled)
	run := x.last()
	for n := identifier.EventNumber(1); n <= 25; n++ {
		x.event(run, n, 3)
	}
	x.handle(batcher.TextsSaved{Job: jobID})
	saved := x.saves()
	require.Len(t, saved, 1)
	require.Zero(t, saved[0].After)
	require.Len(t, saved[0].Events, 25)
}
