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
	// longRun is the duration from which freezes and store outages may outlast a lease.
	longRun = 2 * time.Minute
	// recoveryLimit bounds the time until the cluster serves and trains again after the last fault.
	recoveryLimit = 20 * time.Second
)

var (
	flagSeed     = flag.Uint64("soak.seed", 0, "seed of TestSoak; 0 runs the fixed list")
	flagDuration = flag.Duration("soak.duration", 20*time.Second, "duration of TestSoak for each seed")
	flagFailed   = flag.Bool("soak.failed", false, "run the regression seeds, which failed in the past, instead of the fixed list")
	fixedSeeds   = []uint64{1, 2}
	// failedSeeds are the regression seeds: they failed in the past, with the duration and for the cause given.
	failedSeeds = []struct {
		seed     uint64
		duration time.Duration
		cause    string
	}{
		{2, 20 * time.Second, "the check of P7 counted the time of an outage in which hosts could not read the leaving mark"},
		{77, time.Minute, "the runs of killed engines were missing from the comparison of labels"},
		{79, time.Minute, "hosts did not share the suspicion of a fingerprint; stand-ins registered without their start time"},
		{80, time.Minute, "one crash of an engine without the crashing request cleared that request of suspicion"},
		{20260712, 20 * time.Minute, "the fingerprint of a request that crashes nothing was proven for an hour; the leaving mark of an engine outlived its process"},
	}
)

// TestSoak guards against promises that hold under each kind of fault but are broken when several happen at the same time. It
// injects faults of all kinds at random and checks the promises meanwhile and at the end.
func TestSoak(t *testing.T) {
	if *flagFailed {
		for _, failed := range failedSeeds {
			t.Run(fmt.Sprintf("seed-%d", failed.seed), func(t *testing.T) {
				t.Parallel()
				t.Log("cause of the earlier failure:", failed.cause)
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
	c := newCluster(t, clusterConfig{hosts: 4, engines: 3, tokenInterval: 6 * time.Millisecond, plainDelay: 15 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	r := newRevisions(c)
	b := &balancer{}
	injector := newFaultInjector(c, r, duration >= longRun, b.readyHosts)
	tr := newTrainer(c, seed, 6, 4, 40, 0.1)
	l := &load{c: c, seed: seed, completions: 5, orders: 3, maxTokens: 120, interval: 150 * time.Millisecond, pick: b.pick, sameKeyHosts: b.readyHosts}
	c.onBroken = func(host *process, since time.Time, result callResult) {
		// A host that is not killed or frozen must not break connections, not even in a planned stop.
		if !injector.disruptedSince(host, since.Add(-time.Second)) {
			c.recordViolation("P8: a connection to %s broke although the host was neither killed nor frozen: %v", host.name, result)
		}
	}

	// The load and the checks continue after the faults until the cluster serves and trains again.
	watchCtx, stopWatch := context.WithCancel(t.Context())
	defer stopWatch()
	watch, work := grouper.NewGroup(-1), grouper.NewGroup(-1)
	watch.Go(func() { b.run(watchCtx, c) })
	watch.Go(func() { l.run(watchCtx) })
	watch.Go(func() { watchAll(watchCtx, c, r) })
	trainCtx, stopTrainer := context.WithCancel(watchCtx)
	watch.Go(func() { tr.run(trainCtx, 0) })
	injector.start(ctx, work, seed)
	for i, author := range []string{"ana", "bengt"} {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 50+uint64(i)))
			for number := 0; ctx.Err() == nil; number++ {
				r.edit(c.hosts[rng.IntN(len(c.hosts))], author, number)
				pause(ctx, randomDuration(rng, 100*time.Millisecond, 3*time.Second))
			}
		})
	}
	work.Wait()
	awaitRecovery(t, c, r, l, tr)
	stopTrainer()
	stopWatch()
	watch.Wait()
	c.ledger.check()
	c.checkInvariants()
	labels := tr.checkLabels()
	t.Logf("seed %d, %v: faults %v; crashing requests %d, of which %d had their crashed engines checked; %d engines crashed", seed, duration, injector.counts, injector.crashingRequests, injector.crashLimitChecks, c.crashCount())
	t.Logf("streams: %v; orders: %v", &l.streams, &l.calls)
	t.Logf("trainer: %d steps, %d samples, %d pages lost, staleness %v, labels %+v", tr.steps, len(tr.samples), tr.lostPages, tr.staleness, labels)
	t.Logf("operators: %d edits accepted, %d conflicts, %d with an unknown outcome", len(r.edits), r.conflicts, r.outcomeUnknown)
	require.Positive(t, tr.steps, "the trainer finished no step")
	require.Positive(t, l.streams.complete.Load(), "no stream was complete")
}

// start injects faults of each kind from goroutines of the group until the context ends.
func (f *faultInjector) start(ctx context.Context, work *grouper.Group, seed uint64) {
	kinds := []struct {
		low, high time.Duration
		inject    func(context.Context, *rand.Rand)
	}{
		{time.Second, 5 * time.Second, f.injectHostFault},
		{2 * time.Second, 8 * time.Second, f.injectHostFault},
		{500 * time.Millisecond, 3 * time.Second, f.injectEngineFault},
		{time.Second, 6 * time.Second, f.injectEngineFault},
		{time.Second, 6 * time.Second, f.injectStoreFault},
		{500 * time.Millisecond, 2 * time.Second, f.injectPlainFault},
		{3 * time.Second, 20 * time.Second, f.sendCrashingRequest},
	}
	for i, kind := range kinds {
		work.Go(func() {
			f.injectRepeatedly(ctx, rand.New(rand.NewPCG(seed, uint64(i))), kind.low, kind.high, kind.inject)
		})
	}
}

// watchAll checks revisions, engine records and invariants until the context ends.
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

// awaitRecovery waits until, after the end of the faults, every host is ready with the newest revision, streams complete
// and training continues. Otherwise it fails the test.
func awaitRecovery(t *testing.T, c *cluster, r *revisions, l *load, tr *trainer) {
	highest, complete, steps := r.highest(), l.streams.complete.Load(), tr.progress.Load()
	defer func() {
		if t.Failed() {
			for _, host := range c.hosts {
				// On SIGQUIT the runtime writes all stacks, to the host's log.
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
		return l.streams.complete.Load() > complete+10 && tr.progress.Load() > steps
	}, recoveryLimit, 100*time.Millisecond, "the cluster does not serve and train again %v after the last fault: streams %v, trainer steps %d", recoveryLimit, &l.streams, steps)
}
