package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"celerygap.example/lib/grouper"
)

// markLeaving marks an engine as leaving on the platform; the engine itself continues to accept work.
func (c *cluster) markLeaving(engine *process) {
	c.ledger.markLeaving(engine)
	c.admin(http.MethodPost, c.platform, "hosts/"+engine.name+"/leaving", nil)
}

// TestLeavingEngineGetsNoNewWork guards against attempts that start on an engine more than 5 s after it was marked as
// leaving (P7). The time counts from the call to the platform, which includes the delay of its list; the engine refuses
// nothing, so only the hosts can keep work away from it.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{hosts: 3, engines: 3, tokenInterval: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{
		c: c, seed: 7, completions: 8, maxTokens: 60, interval: 10 * time.Millisecond,
		pick: func(rng *rand.Rand) *process { return c.hosts[rng.IntN(len(c.hosts))] },
	}
	work := grouper.NewGroup(-1)
	work.Go(func() { l.run(ctx) })
	work.Go(func() { newTrainer(c, 7, 4, 4, 40, 0).run(ctx, 0) })
	time.Sleep(time.Second)
	leavingSince := time.Now()
	c.markLeaving(c.engines[0])
	time.Sleep(leaveBound + 3*time.Second)
	cancel()
	work.Wait()
	c.ledger.check()
	c.checkInvariants()
	before, after, latest := 0, 0, time.Duration(0)
	for _, run := range c.ledger.runs {
		if run.engine != c.engines[0].name {
			continue
		}
		if run.StartedAt.Before(leavingSince) {
			before++
			continue
		}
		after++
		latest = max(latest, run.StartedAt.Sub(leavingSince))
	}
	t.Logf("%v; the engine started %d attempts before it was marked as leaving and %d after, the last one %v after", &l.streams, before, after, latest)
	if before == 0 {
		t.Error("the engine had no work before it was marked as leaving")
	}
}
