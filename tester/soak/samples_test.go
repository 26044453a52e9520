package soak

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
)

// TestTrainerUnderFailures guards against lost or doubled samples when the host that schedules a trainer dies in
// mid-step and pages are lost (P3), against samples beyond the staleness bound (P2), and against labels that differ
// from the engines' own record when swaps fail or happen in the middle of a stream (P1).
func TestTrainerUnderFailures(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{hosts: 4, engines: 3, tokenInterval: 8 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 45*time.Second)
	defer cancel()
	// Streams of 1.9 s last longer than the time between two weight versions, so that swaps fall into them.
	tr := newTrainer(c, 3, 8, 4, 240, 0.2)
	// Engines switch in the meantime, so that the dead host's leases (12 s) do not decide when this test ends.
	tr.trainTime = time.Second
	faults := grouper.NewGroup(-1)
	faultCtx, stopFaults := context.WithCancel(ctx)
	faults.Go(func() { c.disturbTraining(faultCtx, tr) })
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
	t.Logf("%d steps, %d samples, %d pages lost, staleness %v, labels %+v", tr.steps, len(tr.samples), tr.lost, tr.staleness, labels)
	require.Equal(t, trainedSteps, tr.steps, "the trainer has not finished its steps")
	require.Greater(t, labels.exact, len(tr.samples)/3, "too few samples could be compared with the engines' record")
	require.Positive(t, labels.mixed, "no swap happened in the middle of a stream")
}

// trainedSteps is the number of steps; the host dies once half of them are done. The first three are generated ahead, so
// swaps fall into the streams of the later ones. With four steps, one of them, no swap did when two engines had failed
// theirs just before (CI beside load, 06:37 on 2026-12-04).
const trainedSteps = 6

// disturbTraining lets engines fail swaps and cut streams, and kills the host that schedules the trainer in mid-step.
func (c *cluster) disturbTraining(ctx context.Context, tr *trainer) {
	killed := false
	for round := 0; ctx.Err() == nil; round++ {
		engine := c.engines[round%len(c.engines)]
		faults := map[string]int{"cut": 1, "truncate": 1, "cross": 1}
		if killed {
			// More broken streams than the retry budget of 10% make samples wait 10 s each time.
			faults = map[string]int{"cross": 1}
		}
		if round > 0 && round <= len(c.engines) {
			// Each engine fails once: the pause after a failed order doubles up to 30 s, longer than this test.
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

// schedulingHost returns the host that says on the shared screens that it schedules the trainer.
func (c *cluster) schedulingHost() *process {
	for _, asked := range c.hosts {
		status, err := c.status(asked)
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
