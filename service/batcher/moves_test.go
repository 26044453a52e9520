package batcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/connector"
)

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
