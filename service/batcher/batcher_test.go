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

// harness feeds events to a Batcher and records its commands.
type harness struct {
	t       require.TestingT
	b       *batcher.Batcher
	now     time.Time
	runs    map[batcher.RunID]batcher.StartRun
	stopped map[batcher.RunID]batcher.StopReason
	rewards []batcher.StartReward
	appends []batcher.Append
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

// Guards against texts with missing or repeated events, and against results whose versions are not those that generated
// the text, when an item resumes on another engine with newer weights.
func TestTextResumesOnAnotherEngine(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 8), engine("b", 3, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	first := x.lastRun()
	x.event(first, 1, 2)
	x.event(first, 2, 2)
	x.fail(first, connector.FailureConnectionLost)
	second := x.lastRun()
	require.NotEqual(t, first, second)
	require.NotEqual(t, x.runs[first].Engine.ID, x.runs[second].Engine.ID, "the engine whose run failed is paused")
	require.EqualValues(t, 2, x.runs[second].After)
	x.event(second, 3, 3)
	x.handle(batcher.RunEnded{Run: second})
	x.advanceClock(time.Second)
	require.Len(t, x.appends, 1)
	require.Equal(t, []codec.BatchResult{{
		Item: "1", State: codec.ResultStateDone, Text: "e1\ne2\ne3", Versions: []identifier.WeightVersion{2, 3},
	}}, x.appends[0].Results)
}

// Guards against generating with weights older than the job allows: such engines get no runs, and an event from older
// weights than the engine's list entry names stops the run.
func TestOldWeightsAreNotUsed(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 1, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	require.Empty(t, x.runs)
	x.engines(engine("a", 2, 8))
	x.event(x.lastRun(), 1, 1)
	require.Equal(t, batcher.StopOldWeights, x.stopped[x.lastRun()])
}

// Guards against a text of several versions where the entry requires a single one: the text starts again when the engine's
// version changes.
func TestSingleVersionTextRestartsOnVersionChange(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 8))
	x.openItems(codec.BatchSpec{SingleVersion: true}, item("1", 0))
	run := x.lastRun()
	x.event(run, 1, 2)
	x.event(run, 2, 3)
	require.Equal(t, batcher.StopMixedWeights, x.stopped[run])
	x.fail(run, connector.FailureCancelled)
	require.NotEqual(t, run, x.lastRun())
	require.Zero(t, x.runs[x.lastRun()].After)
}

// Guards against items that are finished as dead too early or never: an item is dead only after max_attempts failures of
// engines, after one rejection of the item itself, or at the job's max_age.
func TestItemIsDeadAfterFailuresRejectionOrMaxAge(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 8), engine("b", 2, 8))
	x.openItems(codec.BatchSpec{MaxAge: identifier.Duration(time.Minute)}, item("fails", 30), item("refused", 20), item("late", 15), item("slow", 10))
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
		for id, status := range map[identifier.ItemID]int{"fails": 500, "late": 504} {
			failed := &connector.UpstreamError{Failure: connector.FailureUnavailable, Status: status, Err: errors.New("failed")}
			x.handle(batcher.RunEnded{Run: byItem(id), Err: failed})
		}
		x.advanceClock(200 * time.Millisecond)
	}
	x.fail(byItem("slow"), connector.FailureConnectionLost)
	x.advanceClock(30 * time.Second)
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
	x.advanceClock(time.Second)
	collect()
	require.ElementsMatch(t, []identifier.ItemID{"fails", "refused"}, dead)
	x.advanceClock(31 * time.Second)
	x.advanceClock(time.Second)
	collect()
	require.Contains(t, dead, identifier.ItemID("slow"))
	require.Contains(t, dead, identifier.ItemID("late"))
}

// Guards against scoring a text before it is complete, and against losing the item when the scorer fails.
func TestRewardFollowsTheCompleteText(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 8))
	scored := item("1", 0)
	scored.Reward = &codec.RewardCall{ID: "r", Host: "h", Path: "/s"}
	x.openItems(codec.BatchSpec{}, scored)
	x.event(x.lastRun(), 1, 2)
	require.Empty(t, x.rewards)
	x.handle(batcher.RunEnded{Run: x.lastRun()})
	require.Len(t, x.rewards, 1)
	x.handle(batcher.RewardEnded{Job: jobID, Item: "1", Failures: 1, Limit: 3})
	x.advanceClock(time.Second)
	require.Len(t, x.rewards, 2, "the call is sent again")
	x.handle(batcher.RewardEnded{Job: jobID, Item: "1", Score: "s"})
	x.advanceClock(time.Second)
	require.Equal(t, "s", x.appends[0].Results[0].Score)
}

// Guards against runs and writes for a job that has ended.
func TestEndStopsRuns(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 1))
	x.openItems(codec.BatchSpec{}, item("1", 0), item("2", 0))
	run := x.lastRun()
	x.handle(batcher.JobEnded{Job: jobID})
	require.Equal(t, batcher.StopJobEnded, x.stopped[run])
	x.fail(run, connector.FailureCancelled)
	x.advanceClock(time.Minute)
	require.Len(t, x.runs, 1)
	require.Empty(t, x.appends)
}

// Guards against generating a text again that an ended job of the same model left unfinished, and against reusing one
// whose weights the later job does not allow.
func TestTextsOfEarlierJobsAreUsed(t *testing.T) {
	for _, c := range []struct {
		minimum identifier.WeightVersion
		after   identifier.EventNumber
	}{{2, 2}, {3, 0}} {
		x := newHarness(t)
		x.engines(engine("a", 3, 8))
		x.openItems(codec.BatchSpec{}, item("1", 0))
		x.event(x.lastRun(), 1, 2)
		x.event(x.lastRun(), 2, 2)
		x.handle(batcher.JobEnded{Job: jobID})
		x.fail(x.lastRun(), connector.FailureCancelled)
		x.open(batcher.JobOpened{Job: codec.BatchJob{ID: "next", Model: model, MinVersion: c.minimum, Items: []codec.BatchItem{item("1", 0)}}}, codec.BatchSpec{})
		require.Equal(t, c.after, x.runs[x.lastRun()].After)
	}
}

// Guards against items that are listed twice: after another host has appended to the list, the items that it listed are
// no longer written by this host.
func TestStoredListReplacesLocalList(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0), item("2", 0))
	for id := range x.runs {
		x.event(id, 1, 2)
		x.handle(batcher.RunEnded{Run: id})
	}
	x.advanceClock(time.Second)
	require.Len(t, x.appends, 1)
	other := codec.BatchResult{Item: "2", State: codec.ResultStateDone, Text: "other"}
	x.handle(batcher.AppendConflict{Job: jobID, Results: []codec.BatchResult{other}})
	x.advanceClock(time.Second)
	require.Len(t, x.appends, 2)
	require.Len(t, x.appends[1].Results, 1)
	require.EqualValues(t, "1", x.appends[1].Results[0].Item)
	page, _, _ := x.b.Page(jobID, 0, 1<<20)
	require.Equal(t, []codec.BatchResult{other}, page.Results, "only stored results are returned")
}

// Guards against a step that waits for its longest text because that text started last. With too few slots for all items,
// the texts with the most expected tokens start first; here they are submitted in the opposite order.
func TestLongestTextsStartFirst(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 2))
	x.openItems(codec.BatchSpec{}, item("short", 10), item("middle", 100), item("long", 1000))
	var started []identifier.ItemID
	for id := batcher.RunID(1); id <= x.lastRun(); id++ {
		started = append(started, x.runs[id].Item.ID)
	}
	require.Equal(t, []identifier.ItemID{"long", "middle"}, started)
}

// simulate runs 16 items of the given length on two engines and returns the time until the last text is complete. Each
// engine generates an event of each of its runs once per interval.
func simulate(t *testing.T, intervals map[identifier.UpstreamID]time.Duration, events identifier.EventNumber) time.Duration {
	x := newHarness(t)
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
	for done := 0; done < len(items); x.advanceClock(step) {
		require.Less(t, x.now.Sub(start), time.Minute)
		for id, run := range x.runs {
			if _, stopped := x.stopped[id]; stopped {
				delete(x.runs, id)
				x.fail(id, connector.FailureCancelled)
				continue
			}
			if _, ok := next[id]; !ok {
				next[id], count[id] = x.now.Add(intervals[run.Engine.ID]), run.After
			}
			if x.now.Before(next[id]) {
				continue
			}
			next[id] = x.now.Add(intervals[run.Engine.ID])
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

// Guards against groups that wait for the runs of a slow engine while a fast one has free slots, and against runs that
// move back and forth. The baseline is the time on two fast engines.
func TestRunsMoveFromASlowEngine(t *testing.T) {
	fast, slow := 40*time.Millisecond, 160*time.Millisecond
	baseline := simulate(t, map[identifier.UpstreamID]time.Duration{"fast": fast, "slow": fast}, 50)
	moved := simulate(t, map[identifier.UpstreamID]time.Duration{"fast": fast, "slow": slow}, 50)
	withoutMoves := 50 * slow
	require.Less(t, moved, baseline*3/2, "most of the work is done at the speed of the fast engine")
	require.Less(t, moved, withoutMoves/2)
}

// Guards against items that wait for an engine that produces no more events.
func TestStalledRunsMoveToAnotherEngine(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 8), engine("b", 2, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	run := x.lastRun()
	x.event(run, 1, 2)
	x.advanceClock(3 * time.Second)
	require.Equal(t, batcher.StopStalled, x.stopped[run])
	x.fail(run, connector.FailureCancelled)
	require.NotEqual(t, x.runs[run].Engine.ID, x.runs[x.lastRun()].Engine.ID)
}

// Guards against items that are lost, listed twice or listed with wrong events, for any order in which runs, reward calls
// and writes end and other hosts append. The events are drawn by rapid.
func TestEveryItemIsListedOnce(t *testing.T) {
	restore := asserter.SetHandler(func(name asserter.Invariant, detail string) { t.Errorf("%s: %s", name, detail) })
	defer restore()
	rapid.Check(t, func(rt *rapid.T) {
		x := newHarness(rt)
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
			x.stepWithoutFaults(length, progress, &store)
		}
		require.Len(rt, store, len(items))
		seen := map[identifier.ItemID]bool{}
		for _, result := range store {
			require.False(rt, seen[result.Item], "item %s is listed twice", result.Item)
			seen[result.Item] = true
			require.Equal(rt, expectedText(length[result.Item]), result.Text)
		}
	})
}

func expectedText(events identifier.EventNumber) string {
	text := ""
	for n := identifier.EventNumber(1); n <= events; n++ {
		if n > 1 {
			text += "\n"
		}
		text += fmt.Sprint("e", n)
	}
	return text
}

func (x *harness) randomStep(rt *rapid.T, length map[identifier.ItemID]identifier.EventNumber, progress map[batcher.RunID]identifier.EventNumber, store *[]codec.BatchResult) {
	x.advanceClock(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
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
			x.fail(id, rapid.SampledFrom([]connector.Failure{connector.FailureConnectionLost, connector.FailureNotStarted, connector.FailureBindingMismatch}).Draw(rt, "failure"))
		case 1, 2, 3:
			x.advanceRun(id, run, length, progress)
		}
	}
	x.resolvePending(store, rapid.IntRange(0, 3).Draw(rt, "write"))
}

func (x *harness) advanceRun(id batcher.RunID, run batcher.StartRun, length map[identifier.ItemID]identifier.EventNumber, progress map[batcher.RunID]identifier.EventNumber) {
	if progress[id] < length[run.Item.ID] {
		progress[id]++
		x.event(id, progress[id], run.Engine.Models[0].Serving)
		return
	}
	delete(x.runs, id)
	x.handle(batcher.RunEnded{Run: id})
}

// resolvePending ends the reward calls and writes in progress. With outcome 0 the reward calls fail; with outcome 1 the
// writes lose against another host's chunk without new results.
func (x *harness) resolvePending(store *[]codec.BatchResult, outcome int) {
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
			x.handle(batcher.AppendConflict{Job: jobID, Results: append([]codec.BatchResult{}, *store...)})
			continue
		}
		*store = append(*store, a.Results...)
		x.handle(batcher.Appended{Job: jobID})
	}
}

func (x *harness) stepWithoutFaults(length map[identifier.ItemID]identifier.EventNumber, progress map[batcher.RunID]identifier.EventNumber, store *[]codec.BatchResult) {
	x.advanceClock(300 * time.Millisecond)
	for id, run := range x.runs {
		if _, stopped := x.stopped[id]; stopped {
			delete(x.runs, id)
			x.fail(id, connector.FailureCancelled)
			continue
		}
		progress[id] = max(progress[id], run.After)
		x.advanceRun(id, run, length, progress)
	}
	x.resolvePending(store, 3)
}

// Guards against long texts that start again after all processes have ended: long texts are saved in increments, one
// write at a time, and a new owner resumes after the last saved event. Short texts are not saved.
func TestLongTextsAreSaved(t *testing.T) {
	x := newHarness(t)
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

	y := newHarness(t)
	y.engines(engine("a", 2, 8))
	y.open(batcher.JobOpened{
		Job:   codec.BatchJob{ID: jobID, Model: model, MinVersion: 2, Items: []codec.BatchItem{item("long", 100)}},
		Saved: []codec.ItemProgress{{Item: "long", Events: make([]string, 21), Versions: []identifier.WeightVersion{2}, Origin: codec.StreamOrigin{Pool: pool}}},
	}, codec.BatchSpec{})
	require.EqualValues(t, 21, y.runs[y.lastRun()].After)
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

// Guards against a saved text that is joined from two generations of the item: after the text was cleared, its next save
// replaces what was saved before.
func TestRestartedTextIsSavedAnew(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 8), engine("b", 3, 8))
	x.openItems(codec.BatchSpec{SingleVersion: true}, item("long", 100))
	for n := identifier.EventNumber(1); n <= 20; n++ {
		x.event(1, n, 2)
	}
	require.Len(t, x.saves(), 1)
	x.event(1, 21, 3)
	require.Equal(t, batcher.StopMixedWeights, x.stopped[1])
	x.fail(1, connector.FailureCancelled)
	run := x.lastRun()
	for n := identifier.EventNumber(1); n <= 25; n++ {
		x.event(run, n, 3)
	}
	x.handle(batcher.TextsSaved{Job: jobID})
	saved := x.saves()
	require.Len(t, saved, 1)
	require.Zero(t, saved[0].After)
	require.Len(t, saved[0].Events, 25)
}

// Guards against a run that restarts without a pause on an engine whose list entry says a newer version than it serves, as after
// a crash: each start costs the engine a prompt, and the loop takes the host's processor.
func TestEngineOlderThanItsEntryIsLeftAlone(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("e1", 2, 4))
	x.openItems(codec.BatchSpec{}, item("a", 10), item("b", 10))
	starts := func() int { return len(x.runs) }
	for step := range 5 {
		before := starts()
		for id := range x.runs {
			if _, ok := x.stopped[id]; !ok {
				x.event(id, 1, 1)
				require.Equal(t, batcher.StopOldWeights, x.stopped[id])
				x.handle(batcher.RunEnded{Run: id, Err: errors.New("stopped")})
			}
		}
		require.Equal(t, before, starts(), "a run restarted at once in step %d", step)
		x.advanceClock(300 * time.Millisecond)
	}
	require.Equal(t, 2, starts(), "the engine must not be used while its entry is known to be wrong")
	x.engines(engine("e1", 3, 4))
	x.advanceClock(100 * time.Millisecond)
	require.Equal(t, 4, starts(), "a changed entry is believed")
	x = newHarness(t)
	x.engines(engine("e1", 2, 4))
	x.openItems(codec.BatchSpec{}, item("a", 10))
	x.event(1, 1, 1)
	x.handle(batcher.RunEnded{Run: 1, Err: errors.New("stopped")})
	x.advanceClock(2100 * time.Millisecond)
	require.Len(t, x.runs, 2, "the engine may have loaded the listed version meanwhile")
}

// Guards against a group that trainers wait for and whose last result is held back with others to save a write.
func TestCompleteGroupIsListedAtOnce(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("e1", 2, 8))
	second := item("c", 10)
	second.Group = "h"
	x.openItems(codec.BatchSpec{}, item("a", 10), item("b", 10), second)
	x.handle(batcher.RunEnded{Run: 1})
	require.Empty(t, x.appends, "a single result waits for others")
	x.handle(batcher.RunEnded{Run: 2})
	require.Len(t, x.appends, 1)
	require.Len(t, x.appends[0].Results, 2)
}

// Guards against an engine that loads weights and is sent run after run, all of which it refuses.
func TestRefusingEngineIsTriedLessOften(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("e1", 2, 1))
	x.openItems(codec.BatchSpec{}, item("a", 10))
	refused := &connector.UpstreamError{Failure: connector.FailureNotStarted, Err: errors.New("full")}
	for range 100 {
		if _, running := x.runs[batcher.RunID(len(x.runs))]; running {
			x.handle(batcher.RunEnded{Run: batcher.RunID(len(x.runs)), Err: refused})
		}
		x.advanceClock(10 * time.Millisecond)
	}
	require.Len(t, x.runs, 3, "at 0, 150 and 450 ms of the second that a load takes")
	x.event(3, 1, 2)
	require.Empty(t, x.stopped)
}

// Guards against owners of jobs of several models that fill the same engines while others are free: each begins with the engines
// that mainly serve its model, and leaves out slots that it knows to be taken by others.
func TestOwnEnginesAreFilledFirst(t *testing.T) {
	both := func(id identifier.UpstreamID, own, other identifier.WeightVersion) codec.ListedHost {
		host := engine(id, own, 2)
		host.Models = append(host.Models, codec.ModelState{Model: "n", Serving: other})
		return host
	}
	x := newHarness(t)
	x.engines(both("e1", 2, 9), both("e2", 9, 2), both("e3", 9, 2))
	x.openItems(codec.BatchSpec{}, item("a", 10), item("b", 10), item("c", 10), item("d", 10), item("e", 10))
	used := make(map[identifier.UpstreamID]int)
	for run := batcher.RunID(1); run <= 4; run++ {
		used[x.runs[run].Engine.ID]++
	}
	require.Equal(t, map[identifier.UpstreamID]int{"e2": 2, "e3": 2}, used)
	require.Equal(t, identifier.UpstreamID("e1"), x.runs[5].Engine.ID, "a full pool goes on with the others' engines")

	x = newHarness(t)
	x.engines(engine("e1", 2, 4), engine("e2", 2, 4))
	x.handle(batcher.LoadReported{Engine: "e1", Load: codec.LoadReport{Running: 3, Queued: 1, Slots: 4}})
	x.openItems(codec.BatchSpec{}, item("a", 10), item("b", 10), item("c", 10))
	for _, run := range x.runs {
		require.Equal(t, identifier.UpstreamID("e2"), run.Engine.ID)
	}
	x.advanceClock(400 * time.Millisecond)
	x.handle(batcher.JobEnded{Job: "none"})
	require.Len(t, x.runs, 3)
}

// Guards against texts that move on every small difference of speed, as between two events, until they have used up their moves
// and stay on an engine that turns really slow later.
func TestTextsMoveOnlyForARealGain(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 1), engine("b", 2, 1))
	x.openItems(codec.BatchSpec{}, item("long", 100), item("short", 50))
	first := x.runs[1].Engine.ID
	for n := identifier.EventNumber(1); n <= 60; n++ {
		x.advanceClock([]time.Duration{20, 60, 45, 35}[n%4] * time.Millisecond)
		x.event(1, n, 2)
		x.event(2, n, 2)
	}
	x.handle(batcher.RunEnded{Run: 2})
	x.advanceClock(10 * time.Millisecond)
	require.Empty(t, x.stopped, "events that come unevenly are no slow engine")
	for n := identifier.EventNumber(61); len(x.stopped) == 0; n++ {
		require.Less(t, n, identifier.EventNumber(70))
		for range 3 {
			x.advanceClock(40 * time.Millisecond)
		}
		x.event(1, n, 2)
	}
	require.Equal(t, batcher.StopSlowEngine, x.stopped[1])
	x.fail(1, connector.FailureCancelled)
	require.Len(t, x.runs, 3)
	require.NotEqual(t, first, x.runs[3].Engine.ID, "the text must not return to the slow engine")
}

// Guards against a text that moves because its first two events came slowly, while an engine that was measured before is free.
func TestTextsDoNotMoveOnTheirFirstEvents(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 1), engine("b", 2, 1))
	x.openItems(codec.BatchSpec{}, item("long", 100), item("short", 50))
	for n := identifier.EventNumber(1); n <= 10; n++ {
		x.advanceClock(35 * time.Millisecond)
		x.event(2, n, 2)
	}
	x.handle(batcher.RunEnded{Run: 2})
	x.event(1, 1, 2)
	x.advanceClock(60 * time.Millisecond)
	x.event(1, 2, 2)
	x.advanceClock(50 * time.Millisecond)
	require.Empty(t, x.stopped)
}

// Guards against an item that is not placed again after several engines crashed while they ran it.
func TestItemIsPlacedAgainAfterManyCrashes(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 8), engine("b", 2, 8), engine("c", 2, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	for range 20 {
		run := x.lastRun()
		x.fail(run, connector.FailureConnectionLost)
		x.advanceClock(2 * time.Second)
		require.Greater(t, x.lastRun(), run)
	}
	x.event(x.lastRun(), 1, 2)
	x.handle(batcher.RunEnded{Run: x.lastRun()})
	x.advanceClock(time.Second)
	require.Len(t, x.appends, 1)
	require.Equal(t, codec.ResultStateDone, x.appends[0].Results[0].State)
}
