package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
)

const (
	// longRun is the duration from which processes also freeze for longer than a lease.
	longRun = 2 * time.Minute
	// settleLimit bounds how long the cluster takes to serve again after the last fault.
	settleLimit = 20 * time.Second
)

var (
	flagSeed     = flag.Uint64("soak.seed", 0, "seed of TestSoak; 0 runs the fixed list")
	flagDuration = flag.Duration("soak.duration", 20*time.Second, "duration of TestSoak for each seed")
	flagFailed   = flag.Bool("soak.failed", false, "run the seeds that failed once instead of the fixed list")
	fixedSeeds   = []uint64{1, 2}
	// failedSeeds are the seeds that failed once, with the duration that it took and the cause that was found.
	failedSeeds = []struct {
		seed     uint64
		duration time.Duration
		cause    string
	}{
		{2, 20 * time.Second, "P7 counted an outage that hid the mark"},
		{77, time.Minute, "runs of killed engines were missing from the comparison of labels"},
		{79, time.Minute, "hosts did not share suspicion; stand-ins registered without their start time"},
		{80, time.Minute, "one other crash excused a harmful request"},
		{20260712, 20 * time.Minute, "an innocent request was proven for an hour; the mark of an engine outlived its process"},
	}
)

// TestSoak mixes all faults at random, several at once, and checks every promise meanwhile and at its end.
func TestSoak(t *testing.T) {
	if *flagFailed {
		for _, failed := range failedSeeds {
			t.Run(fmt.Sprintf("seed-%d", failed.seed), func(t *testing.T) {
				t.Parallel()
				t.Log("failed once:", failed.cause)
				soak(t, failed.seed, failed.duration)
			})
		}
		return
	}
	seeds := fixedSeeds
	if *flagSeed != 0 {
		seeds = []uint64{*flagSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, *flagDuration)
		})
	}
}

func soak(t *testing.T, seed uint64, duration time.Duration) {
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("repeat with: go test ./tester/soak -run 'TestSoak$' -soak.seed %d -soak.duration %v -timeout %v", seed, duration, duration+2*time.Minute)
		}
	})
	c := newCluster(t, shape{hosts: 4, engines: 3, tokenInterval: 6 * time.Millisecond, plainDelay: 15 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	r := newRevisions(c)
	b := &balancer{}
	x := newChaos(c, r, duration >= longRun, b.all)
	tr := newTrainer(c, seed, 6, 4, 40, 0.1)
	l := &load{c: c, seed: seed, completions: 5, orders: 3, maxTokens: 120, interval: 150 * time.Millisecond, pick: b.pick, all: b.all}
	c.onBroken = func(host *process, since time.Time, a answer) {
		// A host that was neither killed nor frozen, but perhaps stopped as planned, breaks no connection.
		if !x.disturbedSince(host, since.Add(-time.Second)) {
			c.violate("P8: a connection of %s, which was not killed, broke: %v", host.name, a)
		}
	}

	// The watchers outlive the faults, until the cluster has settled.
	watchCtx, stopWatch := context.WithCancel(t.Context())
	defer stopWatch()
	watch, work := grouper.NewGroup(-1), grouper.NewGroup(-1)
	watch.Go(func() { b.run(watchCtx, c) })
	watch.Go(func() { l.run(watchCtx) })
	watch.Go(func() { watchAll(watchCtx, c, r) })
	trainCtx, stopTrainer := context.WithCancel(watchCtx)
	watch.Go(func() { tr.run(trainCtx, 0) })
	x.start(ctx, work, seed)
	for i, author := range []string{"ana", "bengt"} {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 50+uint64(i)))
			for number := 0; ctx.Err() == nil; number++ {
				r.edit(c.hosts[rng.IntN(len(c.hosts))], author, number)
				pause(ctx, between(rng, 100*time.Millisecond, 3*time.Second))
			}
		})
	}
	work.Wait()
	settle(t, c, r, l, tr)
	stopTrainer()
	stopWatch()
	watch.Wait()
	c.ledger.check()
	c.checkInvariants()
	labels := tr.checkLabels()
	t.Logf("seed %d, %v: faults %v; poisonous requests %d, of which %d checked strictly, %d engines crashed", seed, duration, x.counts, x.poisons, x.strict, c.crashCount())
	t.Logf("streams: %v; orders: %v", &l.streams, &l.calls)
	t.Logf("trainer: %d steps, %d samples, %d pages lost, staleness %v, labels %+v", tr.steps, len(tr.samples), tr.lost, tr.staleness, labels)
	t.Logf("operators: %d edits accepted, %d conflicts, %d unclear", len(r.edits), r.conflicts, r.unclear)
	require.Positive(t, tr.steps, "the trainer finished no step")
	require.Positive(t, l.streams.whole.Load(), "no stream was whole")
}

// start runs the lanes of faults in the group until the context ends.
func (x *chaos) start(ctx context.Context, work *grouper.Group, seed uint64) {
	lanes := []struct {
		low, high time.Duration
		fault     func(context.Context, *rand.Rand)
	}{
		{time.Second, 5 * time.Second, x.disturbHost},
		{2 * time.Second, 8 * time.Second, x.disturbHost},
		{500 * time.Millisecond, 3 * time.Second, x.disturbEngine},
		{time.Second, 6 * time.Second, x.disturbEngine},
		{time.Second, 6 * time.Second, x.disturbStore},
		{500 * time.Millisecond, 2 * time.Second, x.disturbPlain},
		{3 * time.Second, 20 * time.Second, x.poison},
	}
	for i, lane := range lanes {
		work.Go(func() {
			x.lane(ctx, rand.New(rand.NewPCG(seed, uint64(i))), lane.low, lane.high, lane.fault)
		})
	}
}

// watchAll checks the promises while the faults happen.
func watchAll(ctx context.Context, c *cluster, r *revisions) {
	group := grouper.NewGroup(-1)
	for _, host := range c.hosts {
		group.Go(func() {
			for ctx.Err() == nil {
				r.observe(host)
				pause(ctx, 250*time.Millisecond)
			}
		})
	}
	for ctx.Err() == nil {
		c.ledger.readAll()
		c.checkInvariants()
		pause(ctx, time.Second)
	}
	group.Wait()
}

// settle checks that, once the faults have ended, every host serves again and training goes on.
func settle(t *testing.T, c *cluster, r *revisions, l *load, tr *trainer) {
	highest, whole, steps := r.highest(), l.streams.whole.Load(), tr.progress.Load()
	defer func() {
		if t.Failed() {
			for _, host := range c.hosts {
				// The runtime writes all stacks to the host's log.
				host.signal(syscall.SIGQUIT)
			}
		}
	}()
	require.Eventually(t, func() bool {
		for _, host := range c.hosts {
			if status, err := c.status(host); err != nil || !status.Ready || status.Revision < highest {
				return false
			}
		}
		return l.streams.whole.Load() > whole+10 && tr.progress.Load() > steps
	}, settleLimit, 100*time.Millisecond, "the cluster does not work again %v after the last fault: streams %v, trainer steps %d", settleLimit, &l.streams, steps)
}
