package batcher_test

import (
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
