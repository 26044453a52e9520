package batcher_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/connector"
)

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

// Guards against an engine in trouble that gets a run for each of its slots again and again, each of which costs this host as much as
// the engine sends.
func TestEngineWithoutAnswersGetsOneRunAtATime(t *testing.T) {
	for _, failure := range []connector.Failure{connector.FailureConnectionLost, connector.FailureBindingMismatch} {
		x := newHarness(t)
		x.engines(engine("a", 2, 8))
		var items []codec.BatchItem
		for i := range 8 {
			items = append(items, item(identifier.ItemID(fmt.Sprint(i)), 0))
		}
		x.openItems(codec.BatchSpec{}, items...)
		require.Len(t, x.runs, 8)
		for run := range x.runs {
			x.fail(run, failure)
		}
		x.advanceClock(1100 * time.Millisecond)
		require.Len(t, x.runs, 9, "one run shows whether the engine works again")
		x.event(x.lastRun(), 1, 2)
		x.advanceClock(100 * time.Millisecond)
		require.Len(t, x.runs, 16)
	}
}
