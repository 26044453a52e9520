package batcher_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/connector"
)

// storeLimit is the size of the largest object of the platform's store.
const storeLimit = 1 << 20

// completeItems runs items to their ends with texts of two events.
func (x *harness) completeItems(count int, event string) {
	var items []codec.BatchItem
	for i := range count {
		items = append(items, item(identifier.ItemID(fmt.Sprint("i", i)), 1))
	}
	x.engines(engine("a", 2, count))
	x.openItems(codec.BatchSpec{}, items...)
	for run := range x.runs {
		for number := range identifier.EventNumber(2) {
			x.handle(batcher.EventReceived{Run: run, Event: connector.RunEvent{Number: number + 1, Data: event, Version: 2}})
		}
		x.handle(batcher.RunEnded{Run: run})
	}
}

// listAll confirms writes of results until there are no more, and returns the states of the listed items.
func (x *harness) listAll() map[identifier.ItemID]codec.ResultState {
	listed := make(map[identifier.ItemID]codec.ResultState)
	for confirmed := 0; ; confirmed++ {
		x.advanceClock(time.Second)
		if confirmed == len(x.appends) {
			return listed
		}
		text, err := json.Marshal(codec.BatchChunk{Writer: "w", Results: x.appends[confirmed].Results})
		require.NoError(x.t, err)
		require.Less(x.t, len(text), storeLimit, "a write of %d results", len(x.appends[confirmed].Results))
		for _, result := range x.appends[confirmed].Results {
			listed[result.Item] = result.State
		}
		x.handle(batcher.Appended{Job: jobID})
	}
}

// Guards against results that are never listed because all that are complete at a time are written as one object, which the store
// refuses for its size.
func TestLargeResultsAreListedInSeveralWrites(t *testing.T) {
	for _, event := range []string{strings.Repeat("x", 30<<10), strings.Repeat("<", 30<<10)} {
		x := newHarness(t)
		x.completeItems(48, event)
		listed := x.listAll()
		require.Len(t, listed, 48)
		for id, state := range listed {
			require.Equal(t, codec.ResultStateDone, state, id)
		}
	}
}

// Guards against a result that is too large for the store and keeps back all others.
func TestResultThatTheStoreCannotHoldIsGivenUp(t *testing.T) {
	x := newHarness(t)
	x.completeItems(2, strings.Repeat("x", 600<<10))
	require.Equal(t, map[identifier.ItemID]codec.ResultState{"i0": codec.ResultStateDead, "i1": codec.ResultStateDead}, x.listAll())
}

// Guards against texts that are not saved any more because those of a job together exceed an object of the store.
func TestLargeTextsAreSavedInSeveralWrites(t *testing.T) {
	x := newHarness(t)
	var items []codec.BatchItem
	for i := range 12 {
		items = append(items, item(identifier.ItemID(fmt.Sprint("i", i)), 1))
	}
	x.engines(engine("a", 2, 12))
	x.openItems(codec.BatchSpec{}, items...)
	for run := range x.runs {
		for number := range identifier.EventNumber(16) {
			x.handle(batcher.EventReceived{Run: run, Event: connector.RunEvent{Number: number + 1, Data: strings.Repeat("<", 2<<10), Version: 2}})
		}
	}
	saved := make(map[identifier.ItemID]bool)
	for range 12 {
		texts := x.saves()
		text, err := json.Marshal(codec.TextChunk{Writer: "w", Texts: texts})
		require.NoError(t, err)
		require.Less(t, len(text), storeLimit)
		for _, text := range texts {
			saved[text.Item] = true
		}
		x.handle(batcher.TextsSaved{Job: jobID})
	}
	require.Len(t, saved, 12)
}
