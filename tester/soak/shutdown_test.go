package soak

import (
	"context"
	"sync"
	"testing"
	"time"

	"celerygap.example/lib/grouper"
)

// TestPlannedStopInterruptsNoRequest guards against a planned stop that breaks off a running stream or call (P8).
// Callers behave as behind a load balancer: they send only to hosts whose latest readiness check succeeded (one every
// 100 ms, valid for 500 ms).
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{hosts: 3, engines: 2, tokenInterval: 10 * time.Millisecond, plainDelay: 300 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	b := &balancer{}
	var mu sync.Mutex
	slowest := time.Duration(0)
	l := &load{
		c: c, seed: 8, completions: 10, orders: 4, maxTokens: 300, interval: 30 * time.Millisecond, pick: b.pick,
		onResult: func(host *process, input string, result callResult) {
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, result.took)
			if !result.complete {
				c.recordViolation("P8: %q through %s was interrupted: %v", input, host.name, result)
			}
		},
	}
	work := grouper.NewGroup(-1)
	work.Go(func() { b.run(ctx, c) })
	work.Go(func() { l.run(ctx) })
	time.Sleep(time.Second)
	for _, host := range c.hosts {
		c.stop(host)
		c.restart(host)
		c.awaitReady(startTimeout)
	}
	cancel()
	work.Wait()
	c.ledger.check()
	c.checkInvariants()
	t.Logf("streams: %v; orders: %v; slowest response %v", &l.streams, &l.calls, slowest)
	if l.streams.complete.Load() < 50 || slowest < drainWait/2 {
		t.Errorf("too few complete streams, or no response slow enough to be running during a stop: %v, slowest %v", &l.streams, slowest)
	}
}
