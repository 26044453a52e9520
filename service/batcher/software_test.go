package batcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
	"celerygap.example/service/connector"
)

func engineOf(id identifier.UpstreamID, software identifier.SoftwareVersion, slots int) codec.ListedHost {
	host := engine(id, 2, slots)
	host.Software = software
	return host
}

// begin generates events on a run, 40 ms each.
func (x *harness) begin(run batcher.RunID, events identifier.EventNumber) {
	for number := x.runs[run].After + 1; number <= events; number++ {
		x.now = x.now.Add(40 * time.Millisecond)
		x.event(run, number, 2)
	}
}

// Guards against a text that goes on at an engine of another software version although one of its own is free.
func TestTextGoesOnAtItsSoftwareVersion(t *testing.T) {
	x := newHarness(t)
	x.engines(engineOf("a", "v1", 8), engineOf("b", "v2", 8), engineOf("c", "v2", 8), engineOf("d", "v1", 2))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	first := x.lastRun()
	x.begin(first, 20)
	x.fail(first, connector.FailureConnectionLost)
	second := x.lastRun()
	require.NotEqual(t, first, second)
	require.EqualValues(t, 20, x.runs[second].After)
	require.Equal(t, x.runs[first].Engine.Software, x.runs[second].Engine.Software)
	require.NotEqual(t, x.runs[first].Engine.ID, x.runs[second].Engine.ID)
}

// Guards against a text that starts again while an engine of its version is soon free, and against one that waits for it for
// longer than it takes to generate the text again.
func TestTextWaitsForItsSoftwareVersionAtMostAsLongAsItTookToGenerate(t *testing.T) {
	x := newHarness(t)
	x.engines(engineOf("a", "v1", 1))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	first := x.lastRun()
	x.begin(first, 20)
	x.engines(engineOf("a", "v1", 1), engineOf("b", "v2", 1))
	x.fail(first, connector.FailureConnectionLost)
	x.advanceClock(300 * time.Millisecond)
	require.Equal(t, first, x.lastRun(), "the engine of its version is paused, and generating the text again takes 0.8 s")
	x.advanceClock(600 * time.Millisecond)
	second := x.lastRun()
	require.NotEqual(t, first, second)
	require.EqualValues(t, "b", x.runs[second].Engine.ID)
	require.Zero(t, x.runs[second].After)
}

// Guards against texts that wait for a software version that no engine has any more, and against texts that are discarded while
// no other engine could run the item either.
func TestTextStartsAgainWithoutItsSoftwareVersion(t *testing.T) {
	x := newHarness(t)
	x.engines(engineOf("a", "v1", 8))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	first := x.lastRun()
	x.begin(first, 20)
	x.engines()
	x.fail(first, connector.FailureConnectionLost)
	x.advanceClock(20 * time.Second)
	require.Equal(t, first, x.lastRun())
	x.engines(engineOf("a", "v1", 8), engineOf("b", "v2", 8))
	x.advanceClock(2 * time.Second)
	second := x.lastRun()
	require.EqualValues(t, 20, x.runs[second].After, "the text was kept while there was no engine")
	require.EqualValues(t, "a", x.runs[second].Engine.ID)
	x.engines(engineOf("b", "v2", 8))
	x.fail(second, connector.FailureConnectionLost)
	x.advanceClock(2 * time.Second)
	third := x.lastRun()
	require.EqualValues(t, "b", x.runs[third].Engine.ID)
	require.Zero(t, x.runs[third].After)
}

// Guards against a text of a former owner, of the store or of an earlier job that another software version continues.
func TestHandedOverTextsKeepTheirSoftwareVersion(t *testing.T) {
	texts := func(origin codec.StreamOrigin) []codec.ItemProgress {
		return []codec.ItemProgress{{Item: "1", Events: make([]string, 20), Versions: []identifier.WeightVersion{2}, Origin: origin}}
	}
	job := codec.BatchJob{ID: jobID, Model: model, MinVersion: 2, Items: []codec.BatchItem{item("1", 0)}}
	for name, event := range map[string]batcher.JobOpened{
		"handed over":  {Job: job, Progress: texts(codec.StreamOrigin{Pool: pool, Software: "v2"})},
		"saved":        {Job: job, Saved: texts(codec.StreamOrigin{Pool: pool, Software: "v2"})},
		"other pool":   {Job: job, Saved: texts(codec.StreamOrigin{Pool: "other", Software: "v2"})},
		"older format": {Job: job, Saved: texts(codec.StreamOrigin{})},
	} {
		t.Run(name, func(t *testing.T) {
			x := newHarness(t)
			x.engines(engineOf("a", "v1", 8), engineOf("b", "v2", 8))
			x.open(event, codec.BatchSpec{})
			run := x.runs[x.lastRun()]
			if name == "handed over" || name == "saved" {
				require.EqualValues(t, 20, run.After)
				require.EqualValues(t, "v2", run.Engine.Software)
				return
			}
			require.Zero(t, run.After)
		})
	}
	x := newHarness(t)
	x.engines(engineOf("a", "v1", 8))
	x.openItems(codec.BatchSpec{}, item("1", 0))
	x.begin(x.lastRun(), 20)
	x.handle(batcher.JobEnded{Job: jobID})
	x.handle(batcher.RunEnded{Run: x.lastRun()})
	x.engines(engineOf("b", "v2", 8))
	x.open(batcher.JobOpened{Job: codec.BatchJob{ID: "later", Model: model, MinVersion: 2, Items: job.Items}, SubmittedAt: x.now}, codec.BatchSpec{})
	run := x.runs[x.lastRun()]
	require.EqualValues(t, "b", run.Engine.ID)
	require.Zero(t, run.After)
}

// Guards against a text that moves from a slow engine to a fast one of another software version.
func TestTextsMoveOnlyWithinTheirSoftwareVersion(t *testing.T) {
	x := newHarness(t)
	x.engines(engineOf("a", "v1", 8), engineOf("b", "v2", 8))
	second := item("2", 0)
	second.Group = "h"
	x.openItems(codec.BatchSpec{}, item("1", 0), second)
	slow, fast := batcher.RunID(1), batcher.RunID(2)
	require.NotEqual(t, x.runs[slow].Engine.ID, x.runs[fast].Engine.ID)
	for number := identifier.EventNumber(1); number <= 40; number++ {
		for part := range identifier.EventNumber(10) {
			x.now = x.now.Add(20 * time.Millisecond)
			x.event(fast, 10*(number-1)+part+1, 2)
		}
		x.event(slow, number, 2)
		x.handle(batcher.Tick{})
	}
	require.NotContains(t, x.stopped, slow)
}

// Guards against a listed text of two software versions in any sequence of runs, failures and changes of the engines.
func TestListedTextsHaveOneSoftwareVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newHarness(rt)
		setEngines := func() {
			var hosts []codec.ListedHost
			for i := range rapid.IntRange(0, 4).Draw(rt, "engines") {
				software := identifier.SoftwareVersion(rapid.SampledFrom([]string{"v1", "v2"}).Draw(rt, "software"))
				hosts = append(hosts, engineOf(identifier.UpstreamID(fmt.Sprint("e", i, software)), software, 2))
			}
			x.engines(hosts...)
		}
		setEngines()
		x.openItems(codec.BatchSpec{}, item("1", 0), item("2", 0), item("3", 0))
		finish := func(run batcher.RunID) {
			x.handle(batcher.RunEnded{Run: run})
			delete(x.runs, run)
		}
		for range 60 {
			if rapid.IntRange(0, 9).Draw(rt, "step") == 0 {
				setEngines()
			}
			x.advanceClock(time.Duration(rapid.IntRange(0, 700).Draw(rt, "pause")) * time.Millisecond)
			for id := batcher.RunID(1); id <= 200; id++ {
				run, ok := x.runs[id]
				if !ok {
					continue
				}
				if _, stopped := x.stopped[id]; stopped {
					finish(id)
					continue
				}
				last := run.After + identifier.EventNumber(rapid.IntRange(1, 4).Draw(rt, "events"))
				for number := run.After + 1; number <= last; number++ {
					x.handle(batcher.EventReceived{Run: id, Event: connector.RunEvent{Number: number, Data: string(run.Engine.Software), Version: 2}})
				}
				if last >= 8 {
					finish(id)
				} else {
					x.fail(id, connector.FailureConnectionLost)
					delete(x.runs, id)
				}
			}
		}
		for _, appended := range x.appends {
			for _, result := range appended.Results {
				parts := strings.Split(result.Text, "\n")
				for _, part := range parts {
					require.Equal(rt, parts[0], part, "text of item %s", result.Item)
				}
			}
		}
	})
}
