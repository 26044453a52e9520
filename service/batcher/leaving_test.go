package batcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/connector"
)

// leaving returns an engine that will be gone after a time.
func leaving(id identifier.UpstreamID, slots int, in time.Duration) codec.ListedHost {
	host := engine(id, 2, slots)
	host.State = codec.HostStateLeaving
	host.LeavesIn = identifier.Duration(in)
	return host
}

// generate delivers events of a run, one each 40 ms.
func (x *harness) generate(run batcher.RunID, first, last identifier.EventNumber) {
	for number := first; number <= last; number++ {
		x.now = x.now.Add(40 * time.Millisecond)
		x.event(run, number, 2)
	}
}

func (x *harness) end(run batcher.RunID) {
	x.handle(batcher.RunEnded{Run: run, Err: &connector.UpstreamError{Failure: connector.FailureCancelled}})
}

// Guards against texts that wait until their engine is taken away: of two runs on an engine that is gone in 2 s, that which will not
// end by then moves at once with its text, and the other one ends where it runs.
func TestRunsLeaveAPreemptedEngine(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 2))
	x.openItems(codec.BatchSpec{}, item("long", 200), item("short", 20))
	long, short := batcher.RunID(1), batcher.RunID(2)
	x.generate(short, 1, 10)
	x.generate(long, 1, 10)
	x.engines(leaving("a", 2, 2*time.Second), engine("b", 2, 2))
	require.Equal(t, map[batcher.RunID]batcher.StopReason{long: batcher.StopEngineLeaving}, x.stopped)
	x.end(long)
	moved := x.runs[x.lastRun()]
	require.Equal(t, identifier.UpstreamID("b"), moved.Engine.ID)
	require.EqualValues(t, 10, moved.After, "the text goes on")
	x.generate(short, 11, 20)
	x.handle(batcher.RunEnded{Run: short})
	require.Len(t, x.stopped, 1)
	require.Equal(t, x.lastRun(), moved.Run)
}

// Failure test: guards against runs that break off with their engine while no other one is free, and against an engine that gets
// items again: they generate where they are as long as they can, and leave before the engine is gone.
func TestRunsStayUntilASlotIsFreeOrTheEngineGoes(t *testing.T) {
	x := newHarness(t)
	x.engines(engine("a", 2, 2))
	x.openItems(codec.BatchSpec{}, item("1", 200), item("2", 200))
	// Texts as long as these are expected to go on for longer than the engine stays.
	x.generate(1, 1, 100)
	x.generate(2, 1, 100)
	x.engines(leaving("a", 2, 2*time.Second))
	left := x.now
	require.Empty(t, x.stopped)
	x.generate(1, 101, 105)
	x.generate(2, 101, 105)
	x.advanceClock(0)
	require.Empty(t, x.stopped)
	x.engines(leaving("a", 2, 2*time.Second), engine("b", 2, 1))
	require.Len(t, x.stopped, 1, "one slot takes one run")
	for run := range x.stopped {
		x.end(run)
	}
	require.Equal(t, identifier.UpstreamID("b"), x.runs[x.lastRun()].Engine.ID)
	x.advanceClock(left.Add(1650 * time.Millisecond).Sub(x.now))
	require.Len(t, x.stopped, 1)
	x.advanceClock(100 * time.Millisecond)
	require.Len(t, x.stopped, 2, "the repeated entry does not extend the time")
	for run := range x.stopped {
		x.end(run)
	}
	for id, run := range x.runs {
		require.False(t, id > 2 && run.Engine.ID == "a", "run %d", id)
	}
}

// Guards against moves that other deployments' engines do not call for: an engine that leaves without stating when lets its runs
// end, and one with enough time does, too.
func TestRunsEndOnAnEngineWithTime(t *testing.T) {
	for _, in := range []time.Duration{0, 30 * time.Second} {
		x := newHarness(t)
		x.engines(engine("a", 2, 2))
		x.openItems(codec.BatchSpec{}, item("1", 200))
		x.generate(1, 1, 10)
		x.engines(leaving("a", 2, in), engine("b", 2, 2))
		x.generate(1, 11, 60)
		x.advanceClock(time.Millisecond)
		require.Empty(t, x.stopped)
	}
}
