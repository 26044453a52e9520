package soak

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
)

// TestTrainerUnderFailures guards against lost or repeated samples when the host that schedules a trainer is killed in
// the middle of a step and pages are lost (P3), against samples beyond the staleness bound (P2), and against labels
// that differ from the engines' records when weight swaps fail or happen in the middle of a stream (P1).
func TestTrainerUnderFailures(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{hosts: 4, engines: 3, tokenInterval: 8 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 45*time.Second)
	defer cancel()
	// Streams last 1.9 s, longer than the time between two weight versions, so that swaps happen during them.
	tr := newTrainer(c, 3, 8, 4, 240, 0.2)
	// Engines swap during the training time, so that the length of the test does not depend on the killed host's leases
	// (12 s).
	tr.trainTime = time.Second
	faults := grouper.NewGroup(-1)
	faultCtx, stopFaults := context.WithCancel(ctx)
	faults.Go(func() { c.injectTrainingFaults(faultCtx, tr) })
	faults.Go(func() {
		for faultCtx.Err() == nil {
			c.ledger.readAll()
			pause(faultCtx, 250*time.Millisecond)
		}
	})
	tr.run(ctx, trainedSteps)
	stopFaults()
	faults.Wait()
	c.ledger.readAll()
	labels := tr.checkLabels()
	tr.checkSeeds(t)
	c.checkInvariants()
	t.Logf("%d steps, %d samples, %d pages lost, staleness %v, labels %+v", tr.steps, len(tr.samples), tr.lostPages, tr.staleness, labels)
	require.Equal(t, trainedSteps, tr.steps, "the trainer has not finished its steps")
	require.Greater(t, labels.exact, len(tr.samples)/3, "too few samples could be compared exactly with the engines' records")
	require.Positive(t, labels.mixed, "no swap happened in the middle of a stream")
}

// trainedSteps is the number of steps; the host is killed once half of them are done. The first three steps are
// generated ahead, so swaps happen during the streams of later steps only. With four steps there is one later step, and
// its streams had no swap on a busy machine when two engines had just failed theirs.
const trainedSteps = 6

// injectTrainingFaults lets engines fail swaps and cut streams, and once kills the host that schedules the trainer.
func (c *cluster) injectTrainingFaults(ctx context.Context, tr *trainer) {
	killed := false
	for round := 0; ctx.Err() == nil; round++ {
		engine := c.engines[round%len(c.engines)]
		faults := map[string]int{"cut": 1, "truncate": 1, "cross": 1}
		if killed {
			// After the kill, streams are only crossed. Broken streams beyond the retry budget of 10% would delay samples
			// by 10 s each.
			faults = map[string]int{"cross": 1}
		}
		if round > 0 && round <= len(c.engines) {
			// Each engine fails only once, since the delay after each failed order doubles up to 30 s, too long for
			// this test.
			faults["fail_swaps"], faults["fail_loads"] = 1, 1
		}
		c.admin("PUT", engine, "faults", faults)
		pause(ctx, 700*time.Millisecond)
		if host := c.schedulingHost(); host != nil && !killed && tr.progress.Load() >= trainedSteps/2 {
			killed = true
			host.kill()
			pause(ctx, 300*time.Millisecond)
			c.restart(host)
		}
	}
}

// schedulingHost returns the host that the status snapshot shows as the scheduler of the trainer, or nil.
func (c *cluster) schedulingHost() *process {
	for _, queried := range c.hosts {
		status, err := c.status(queried)
		if err != nil || status.Snapshot == nil {
			continue
		}
		for _, shown := range status.Snapshot.Hosts {
			for _, host := range c.hosts {
				if len(shown.Trainers) > 0 && string(shown.Member.ID) == host.name {
					return host
				}
			}
		}
	}
	return nil
}
