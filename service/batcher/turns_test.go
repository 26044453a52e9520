package batcher_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/batcher"
)

// jobPlay runs jobs on one engine whose runs take a second each.
type jobPlay struct {
	*harness
	entries    map[identifier.BatchID]codec.Entry
	priorities map[identifier.CustomerName]*int
	started    map[batcher.RunID]time.Time
	events     map[batcher.RunID]identifier.EventNumber
	left       map[identifier.BatchID]int
	finished   map[identifier.BatchID]time.Duration
	// busy is the largest number of runs at a time.
	busy int
}

func newJobPlay(t *testing.T) *jobPlay {
	p := &jobPlay{
		harness: newHarness(t), entries: make(map[identifier.BatchID]codec.Entry), priorities: make(map[identifier.CustomerName]*int),
		started: make(map[batcher.RunID]time.Time), events: make(map[batcher.RunID]identifier.EventNumber),
		left: make(map[identifier.BatchID]int), finished: make(map[identifier.BatchID]time.Duration),
	}
	p.engines(engine("e", 2, 8))
	return p
}

func (p *jobPlay) submit(id identifier.BatchID, customer identifier.CustomerName, items int) {
	job := codec.BatchJob{ID: id, Model: model, MinVersion: 2, Customer: customer}
	for i := range items {
		job.Items = append(job.Items, codec.BatchItem{ID: identifier.ItemID(fmt.Sprint(id, "-", i)), Path: "/p"})
	}
	p.entries[id] = codec.Entry{
		Batch: &codec.BatchSpec{Due: identifier.Duration(7500 * time.Millisecond)},
		Route: &codec.RouteSpec{Pools: []codec.WeightedPool{{Pool: pool, Weight: 1}}, MaxAttempts: 3},
	}
	p.left[id] = items
	p.handle(batcher.JobOpened{Job: job, SubmittedAt: p.now})
	p.handle(batcher.RoutesChanged{Entries: p.entries, Priorities: p.priorities})
}

// run advances the clock until the given jobs, or all of them, have finished.
func (p *jobPlay) run(jobs ...identifier.BatchID) {
	begin := p.now
	for len(p.left) > 0 && p.now.Sub(begin) < 10*time.Minute {
		for _, id := range slices.Sorted(maps.Keys(p.runs)) {
			if p.started[id].IsZero() {
				p.started[id] = p.now
			}
		}
		p.busy = max(p.busy, len(p.runs))
		p.advanceClock(100 * time.Millisecond)
		for _, id := range slices.Sorted(maps.Keys(p.runs)) {
			started := p.runs[id]
			if begun := p.started[id]; begun.IsZero() || p.now.Sub(begun) < time.Second {
				p.events[id]++
				p.event(id, p.events[id], 2)
				continue
			}
			delete(p.runs, id)
			p.handle(batcher.RunEnded{Run: id})
			if p.left[started.Job]--; p.left[started.Job] == 0 {
				delete(p.left, started.Job)
				p.finished[started.Job] = p.now.Sub(begin)
			}
		}
		if len(jobs) > 0 && !slices.ContainsFunc(jobs, func(id identifier.BatchID) bool { return p.left[id] > 0 }) {
			return
		}
	}
}

// Guards against a customer whose many jobs keep the later ones of small customers waiting until all of its own have run, and against
// engines that are left idle to keep shares.
func TestCustomersTakeTurns(t *testing.T) {
	play := func(named bool) (slowest, heavy time.Duration) {
		p := newJobPlay(t)
		name := func(customer identifier.CustomerName) identifier.CustomerName {
			if named {
				return customer
			}
			return ""
		}
		for i := range 6 {
			p.submit(identifier.BatchID(fmt.Sprint("heavy", i)), name("heavy"), 32)
		}
		require.Len(t, p.runs, 8, "the share of absent customers is used")
		for i := range 7 {
			p.submit(identifier.BatchID(fmt.Sprint("small", i)), name(identifier.CustomerName(fmt.Sprint(i))), 4)
		}
		p.run()
		require.Equal(t, 8, p.busy)
		for i := range 7 {
			slowest = max(slowest, p.finished[identifier.BatchID(fmt.Sprint("small", i))])
		}
		return slowest, p.finished["heavy5"]
	}
	slowest, heavy := play(true)
	former, formerHeavy := play(false)
	t.Logf("last small job after %v, in order of due times %v; last heavy job after %v and %v", slowest, former, heavy, formerHeavy)
	require.Less(t, slowest, 9*time.Second)
	require.Greater(t, former, 25*time.Second)
	require.Less(t, heavy, formerHeavy+6*time.Second)
}

// Guards against jobs of customers with a better priority that wait behind others, against jobs of the others that starve, and against
// engines that are told another priority than that in effect.
func TestPriorityOfCustomersOrdersJobs(t *testing.T) {
	high, low := 0, 7
	p := newJobPlay(t)
	p.priorities["high"], p.priorities["low"] = &high, &low
	p.submit("fill", "low", 8)
	p.submit("low", "low", 8)
	p.submit("high", "high", 8)
	p.submit("none", "other", 8)
	p.run("low")
	require.Less(t, p.finished["high"], p.finished["none"])
	require.Less(t, p.finished["none"], p.finished["low"])

	p = newJobPlay(t)
	p.priorities["high"], p.priorities["low"] = &high, &low
	p.submit("low", "low", 8)
	p.submit("late", "low", 8)
	require.Equal(t, &low, p.runs[1].Priority)
	for i := range 12 {
		p.submit(identifier.BatchID(fmt.Sprint("high", i)), "high", 16)
		p.run(identifier.BatchID(fmt.Sprint("high", i)))
	}
	require.Contains(t, p.finished, identifier.BatchID("late"), "a job of a low priority comes before those that are submitted much later")
}

// Guards against a text of one customer that becomes part of the result of another one, whose job has an item of the same id.
func TestTextsOfOtherCustomersAreNotReused(t *testing.T) {
	for customer, after := range map[identifier.CustomerName]identifier.EventNumber{"a": 1, "b": 0} {
		p := newJobPlay(t)
		job := codec.BatchJob{ID: "first", Model: model, MinVersion: 2, Customer: "a", Items: []codec.BatchItem{item("i", 0)}}
		p.submit("first", "a", 0)
		p.handle(batcher.JobDropped{Job: "first"})
		p.handle(batcher.JobOpened{Job: job, SubmittedAt: p.now})
		p.handle(batcher.RoutesChanged{Entries: p.entries})
		p.event(p.lastRun(), 1, 2)
		p.handle(batcher.JobEnded{Job: "first"})
		job.ID, job.Customer = "second", customer
		p.entries["second"] = p.entries["first"]
		p.handle(batcher.JobOpened{Job: job, SubmittedAt: p.now})
		p.handle(batcher.RoutesChanged{Entries: p.entries})
		require.Equal(t, after, p.runs[p.lastRun()].After, customer)
	}
}
