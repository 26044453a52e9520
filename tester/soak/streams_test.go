package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
)

// crashMarker in a prompt crashes the engine that runs it.
const crashMarker = "[[crash-engine]]"

// TestStreamsAreCompleteOrFail guards against a wrong or truncated response that appears complete (P4), while engines are
// killed and truncate, cut and cross their streams. Crossing exchanges chunks of two streams.
func TestStreamsAreCompleteOrFail(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{hosts: 3, engines: 3, tokenInterval: 4 * time.Millisecond, plainDelay: 10 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	l := &load{
		c: c, seed: 4, completions: 12, orders: 4, maxTokens: 120, interval: 20 * time.Millisecond,
		pick: func(rng *rand.Rand) *process { return c.hosts[rng.IntN(len(c.hosts))] },
	}
	faults := grouper.NewGroup(-1)
	faults.Go(func() {
		for round := 0; ctx.Err() == nil; round++ {
			engine := c.engines[round%len(c.engines)]
			c.admin(http.MethodPut, engine, "faults", map[string]int{"cut": 2, "truncate": 2, "cross": 4})
			c.admin(http.MethodPut, c.plain, "faults", map[string]int{"close_after": 1, "truncate": 1, "cross": 1})
			pause(ctx, 500*time.Millisecond)
			if round%3 == 2 {
				c.ledger.read(engine)
				engine.kill()
				c.restart(engine)
			}
		}
	})
	l.run(ctx)
	faults.Wait()
	c.ledger.check()
	c.checkInvariants()
	t.Logf("streams: %v; orders: %v", &l.streams, &l.calls)
	require.Greater(t, l.streams.complete.Load(), int64(50), "too few streams were complete for the check to mean anything")
}

// TestCrashingRequestCrashesAtMostTwoEngines guards against a request that crashes one engine after the other when its
// caller repeats it with new ids and through other hosts, and against other requests that fail at the same time.
func TestCrashingRequestCrashesAtMostTwoEngines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{hosts: 3, engines: 4, tokenInterval: 4 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{
		c: c, seed: 13, completions: 6, maxTokens: 100, interval: 50 * time.Millisecond,
		pick: func(rng *rand.Rand) *process { return c.hosts[rng.IntN(len(c.hosts))] },
		onResult: func(host *process, input string, result callResult) {
			if !result.complete {
				c.recordViolation("request %q through %s failed beside the crashing request: %v", input, host.name, result)
			}
		},
	}
	work := grouper.NewGroup(-1)
	work.Go(func() { l.run(ctx) })
	time.Sleep(time.Second)
	crashing := completionCall{prompt: crashMarker + " plan the depot", seed: 1, tokens: 40, stream: true}
	for i := range 9 {
		host := c.hosts[i%len(c.hosts)]
		result := c.sendCompletion(host, crashing)
		t.Logf("crashing request %d through %s: %v; engines crashed: %d", i, host.name, result, c.crashCount())
		if result.complete {
			c.recordViolation("P4: the crashing request got a complete response")
		}
		time.Sleep(300 * time.Millisecond)
	}
	cancel()
	work.Wait()
	c.checkInvariants()
	t.Logf("%v; %d engines crashed", &l.streams, c.crashCount())
	if n := c.crashCount(); n > 2 || n == 0 {
		t.Errorf("%d engines crashed; want 1 or 2", n)
	}
}

// warmUp waits until every host serves orders and, with engines, completions. Hosts learn the upstreams late, from the
// platform's delayed list.
func (c *cluster) warmUp(engines bool) {
	c.t.Helper()
	for i, host := range c.hosts {
		for attempt := range 200 {
			key := fmt.Sprintf("warm-%d-%d", i, attempt)
			served := c.order(host, key, key).complete
			if engines {
				q := completionCall{prompt: key, seed: 1, tokens: identifier.Tokens(1)}
				served = c.sendCompletion(host, q).complete && served
			}
			if served {
				break
			}
			require.Less(c.t, attempt, 199, "%s does not serve requests", host.name)
			time.Sleep(50 * time.Millisecond)
		}
	}
}
