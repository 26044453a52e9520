package profiler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/profiler"
)

const pool identifier.PoolName = "engines"

// harness feeds a Profiler with two upstreams, a and b.
type harness struct {
	t   *testing.T
	p   *profiler.Profiler
	now time.Time
}

func newHarness(t *testing.T) *harness {
	x := &harness{t: t, p: profiler.New(profiler.Config{AssumeMean: true}), now: time.Unix(1000, 0)}
	for _, id := range []identifier.UpstreamID{"a", "b"} {
		x.p.Handle(x.now, profiler.Listed{Upstream: id, Pool: pool, Slots: 6})
	}
	return x
}

func (x *harness) view(id identifier.UpstreamID) *profiler.Snapshot {
	v, ok := x.p.View(x.now, id)
	require.True(x.t, ok)
	return &v
}

// work lets an upstream work for a time at the same interval.
func (x *harness) work(id identifier.UpstreamID, total, interval time.Duration) {
	for end := x.now.Add(total); x.now.Before(end); {
		x.now = x.now.Add(interval)
		x.p.Handle(x.now, profiler.Worked{Upstream: id, Amount: 1, Took: interval})
	}
}

func (x *harness) state(id identifier.UpstreamID, running, waiting int, slowness float64) {
	x.p.Handle(x.now, profiler.Stated{Upstream: id, Load: codec.LoadReport{Running: running, Queued: waiting, Slots: 6, Slowness: slowness}})
}

// Guards against a long-run speed that follows what lasts for a moment, and against one that does not show lasting differences.
func TestLongRunSpeedKeepsLastingDifferences(t *testing.T) {
	x := newHarness(t)
	x.work("a", 20*time.Second, 20*time.Millisecond)
	x.work("b", 20*time.Second, 40*time.Millisecond)
	x.work("a", 600*time.Millisecond, 50*time.Millisecond)
	a, b := x.view("a"), x.view("b")
	require.InDelta(t, 21, a.LongRun.Milliseconds(), 3)
	require.InDelta(t, 39, b.LongRun.Milliseconds(), 3)
	require.Greater(t, a.Present, 2*a.LongRun, "the present speed shows what happens now")
	require.Less(t, a.Expected(200), b.Expected(200), "for long work the long-run speed counts")
	require.Greater(t, a.Expected(5), b.Expected(5), "for short work the present speed counts")
	x.work("a", 4*time.Second, 80*time.Millisecond)
	require.Greater(t, x.view("a").SlowFor, 3*time.Second)
	require.Greater(t, x.view("a").Expected(200), x.view("b").Expected(200), "what has lasted for long is expected to go on")
}

// Guards against a stated load that counts own attempts as those of others, or counts for ever.
func TestStatedLoadIsThatOfOthersAndAges(t *testing.T) {
	x := newHarness(t)
	x.state("b", 0, 0, 1)
	for range 3 {
		x.p.Handle(x.now, profiler.Started{Upstream: "a"})
	}
	x.now = x.now.Add(5 * time.Millisecond)
	x.p.Handle(x.now, profiler.Started{Upstream: "a"})
	x.state("a", 6, 2, 1)
	require.InDelta(t, 5, x.view("a").Others, 0.01, "the attempt that was just started is not among the stated ones")
	before := x.view("a").Others
	x.now = x.now.Add(2 * time.Second)
	require.Less(t, x.view("a").Others, before)
	x.now = x.now.Add(time.Minute)
	require.False(t, x.view("a").Stated)
	require.False(t, x.p.States(x.now, pool))
}

// Guards against belief in statements that contradict what the host observes.
func TestFalseStatementsAreIgnored(t *testing.T) {
	x := newHarness(t)
	x.work("a", 5*time.Second, 30*time.Millisecond)
	for i := range 60 {
		x.work("a", 300*time.Millisecond, 30*time.Millisecond)
		x.state("a", 1, 0, []float64{0.2, 8}[i%2])
	}
	require.True(t, x.view("a").FalseStatements)
	x.now = x.now.Add(650 * time.Millisecond)
	x.state("a", 1, 0, 8)
	require.Equal(t, x.view("a").LongRun, x.view("a").Present)
}

// Guards against an upstream that gets no work because it states a queue in which nothing waits.
func TestFalseQueueIsIgnored(t *testing.T) {
	x := newHarness(t)
	for range 3 {
		require.Greater(t, x.view("a").Others+1, float64(x.view("a").Running))
		started := x.now
		x.p.Handle(x.now, profiler.Started{Upstream: "a"})
		x.now = x.now.Add(5 * time.Millisecond)
		x.state("a", 6, 18, 1)
		x.now = x.now.Add(30 * time.Millisecond)
		x.p.Handle(x.now, profiler.Began{Upstream: "a", StartedAt: started})
	}
	require.Zero(t, x.view("a").Others)
	require.True(t, x.view("a").FalseStatements)
	started := x.now
	x.now = x.now.Add(5 * time.Millisecond)
	x.state("a", 6, 18, 1)
	x.now = x.now.Add(2 * time.Second)
	x.p.Handle(x.now, profiler.Began{Upstream: "a", StartedAt: started})
	require.NotZero(t, x.view("a").Others, "the queue is real now")
}

// Guards against an upstream without knowledge that gets no work, or all of it: it counts as a typical one, with a large error.
func TestUnknownUpstreamIsTypical(t *testing.T) {
	x := newHarness(t)
	require.Zero(t, x.view("a").LongRun)
	x.work("a", 10*time.Second, 30*time.Millisecond)
	b := x.view("b")
	require.InDelta(t, 30, b.LongRun.Milliseconds(), 1)
	require.Greater(t, b.LongRunError, 2*x.view("a").LongRunError)
	x.p.Handle(x.now, profiler.Stated{Upstream: "b", Load: codec.LoadReport{Running: -1, Slots: 6, Slowness: 1}})
	require.False(t, x.view("b").Stated, "an impossible load is ignored")
}

// Guards against memory that grows without bound with the upstreams that were ever listed.
func TestMemoryIsBounded(t *testing.T) {
	x := newHarness(t)
	known := 0
	for i := range 10_000 {
		id := identifier.UpstreamID(fmt.Sprint(i))
		x.p.Handle(x.now, profiler.Listed{Upstream: id, Pool: pool})
		if _, ok := x.p.View(x.now, id); ok {
			known++
		}
	}
	require.Less(t, known, 6001)
	x.p.Handle(x.now, profiler.Removed{Upstream: "a"})
	_, ok := x.p.View(x.now, "a")
	require.False(t, ok)
}
