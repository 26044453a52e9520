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

// fakePacer holds the turns of limited engines.
type fakePacer struct {
	turns  map[identifier.UpstreamID]int
	wanted map[identifier.UpstreamID]int
}

func newFakePacer(limited ...identifier.UpstreamID) *fakePacer {
	p := &fakePacer{turns: make(map[identifier.UpstreamID]int), wanted: make(map[identifier.UpstreamID]int)}
	for _, id := range limited {
		p.turns[id] = 0
	}
	return p
}

// Available reports whether an engine is not limited or has a turn.
func (p *fakePacer) Available(id identifier.UpstreamID) bool {
	turns, limited := p.turns[id]
	return !limited || turns > 0
}

// Take uses up a turn.
func (p *fakePacer) Take(id identifier.UpstreamID) (ok bool, earliest time.Time) {
	if !p.Available(id) {
		p.wanted[id]++
		return false, time.Time{}
	}
	if _, limited := p.turns[id]; limited {
		p.turns[id]--
	}
	return true, time.Time{}
}

// Guards against more runs of items than the limit that an engine names, whether they start, resume or are moved.
func TestRunsOnALimitedEngineNeedTurns(t *testing.T) {
	pacer := newFakePacer("a")
	x := newPacedHarness(t, pacer)
	x.engines(engine("a", 2, 8))
	var items []codec.BatchItem
	for i := range 4 {
		items = append(items, item(identifier.ItemID(fmt.Sprint(i)), 0))
	}
	x.openItems(codec.BatchSpec{}, items...)
	require.Empty(t, x.runs)
	require.Positive(t, pacer.wanted["a"])

	pacer.turns["a"] = 2
	x.advanceClock(50 * time.Millisecond)
	require.Len(t, x.runs, 2)
	x.event(x.lastRun(), 1, 2)
	x.fail(x.lastRun(), connector.FailureTruncated)
	x.advanceClock(time.Second)
	require.Len(t, x.runs, 2, "a resumed text needs a turn of its own")
	pacer.turns["a"] = 1
	x.advanceClock(50 * time.Millisecond)
	require.Len(t, x.runs, 3)
}

// Guards against items that wait for the turn of a limited engine while others are free.
func TestUnlimitedEnginesTakeTheRunsOfLimitedOnes(t *testing.T) {
	pacer := newFakePacer("a")
	x := newPacedHarness(t, pacer)
	x.engines(engine("a", 2, 8), engine("b", 2, 8))
	x.openItems(codec.BatchSpec{}, item("1", 0), item("2", 0))
	require.Len(t, x.runs, 2)
	for _, run := range x.runs {
		require.EqualValues(t, "b", run.Engine.ID)
	}
}

// Guards against a text that leaves its slow engine for a faster one that has no turn for it.
func TestTextsMoveToALimitedEngineOnlyWithATurn(t *testing.T) {
	pacer := newFakePacer()
	x := newPacedHarness(t, pacer)
	x.engines(engine("a", 2, 1), engine("b", 2, 1))
	x.openItems(codec.BatchSpec{}, item("long", 100), item("short", 50))
	fast := x.runs[2].Engine.ID
	for n := identifier.EventNumber(1); n <= 60; n++ {
		x.advanceClock(35 * time.Millisecond)
		x.event(1, n, 2)
		x.event(2, n, 2)
	}
	pacer.turns[fast] = 0
	x.handle(batcher.RunEnded{Run: 2})
	for n := identifier.EventNumber(61); n <= 70; n++ {
		x.advanceClock(120 * time.Millisecond)
		x.event(1, n, 2)
	}
	require.Empty(t, x.stopped)
	pacer.turns[fast] = 1
	x.advanceClock(50 * time.Millisecond)
	require.Equal(t, batcher.StopSlowEngine, x.stopped[1])
}
