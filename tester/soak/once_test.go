package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/refuser"
	"celerygap.example/standin/provider"
)

// TestSameKeyOnAllHostsRunsAtMostOnce guards against a second run of a non-idempotent request when the host that owns
// its permit is killed or frozen, or when the store loses the response to a write that took effect (P6). It also guards
// against requests that are refused as not run although they ran (P5).
func TestSameKeyOnAllHostsRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{hosts: 4, engines: 0, plainDelay: 20 * time.Millisecond})
	rng := rand.New(rand.NewPCG(6, 1))
	var sent tally
	faults := grouper.NewGroup(1)
	for round := range 15 {
		victim := c.hosts[round%len(c.hosts)]
		faults.Go(func() { c.injectPermitFault(round, victim, time.Duration(rng.IntN(60))*time.Millisecond) })
		parallel(4, func(i int) {
			key := fmt.Sprintf("key-%d-%d", round, i)
			for _, result := range c.sendOrderToAll(c.hosts, key, key+" order") {
				sent.add(result)
			}
		})
	}
	faults.Wait()
	c.setFaults(provider.Faults{})
	record, err := c.ledger.plainRecord()
	if err != nil {
		t.Fatal(err)
	}
	c.ledger.check()
	c.checkInvariants()
	t.Logf("%v; %d runs of 60 keys", &sent, record.Runs)
	if record.Runs < 20 {
		t.Errorf("only %d of 60 keys ran; want at least 20 for the check to mean anything", record.Runs)
	}
}

// TestUnknownOutcomeIsReturnedAtOnce guards against a repeated request that waits until its deadline for the response
// of a run whose outcome is already recorded as unknown. The outcome is final, so each host responds with it
// immediately.
func TestUnknownOutcomeIsReturnedAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{hosts: 2, engines: 0})
	for _, fault := range []string{"close_after", "truncate", "cross"} {
		key, first := c.orderUntilUnknown(fault)
		require.Equal(t, codec.OutcomeUnknown, first.outcome, "%s: %v", fault, first)
		for _, host := range c.hosts {
			result := c.order(host, key, key)
			require.Equal(t, string(refuser.OutcomeUnknown), result.reason, "%s, repeat through %s: %v", fault, host.name, result)
			require.Less(t, result.took, time.Second, "%s, repeat through %s: %v", fault, host.name, result)
		}
	}
	c.ledger.check()
	c.checkInvariants()
}

// orderUntilUnknown sends orders, each with its own key, until the outcome of one is unknown. Several may be needed,
// since a host refuses orders as not run for a short time after a connection to the only upstream broke.
func (c *cluster) orderUntilUnknown(fault string) (key string, result callResult) {
	for i := range 100 {
		c.admin(http.MethodPut, c.plain, "faults", map[string]int{fault: 1})
		key = fmt.Sprintf("%s-%d", fault, i)
		if result = c.order(c.hosts[0], key, key); result.outcome == codec.OutcomeUnknown {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.admin(http.MethodPut, c.plain, "faults", map[string]int{})
	return key, result
}

// injectPermitFault injects one of five faults after a delay, so that it happens during the calls.
func (c *cluster) injectPermitFault(round int, victim *process, delay time.Duration) {
	time.Sleep(delay)
	switch round % 5 {
	case 0:
		victim.kill()
		c.restart(victim)
	case 1:
		c.setFaults(provider.Faults{LoseResponses: 3})
	case 2:
		victim.signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		victim.signal(syscall.SIGCONT)
	case 3:
		c.setFaults(provider.Faults{Down: true})
		time.Sleep(200 * time.Millisecond)
		c.setFaults(provider.Faults{LoseResponses: 2})
	case 4:
		c.admin("PUT", c.plain, "faults", map[string]int{"close_before": 1, "close_after": 1, "truncate": 1, "refuse": 1, "cross": 1})
	}
}

// TestRefusedCompletionsDidNotRun guards against completions that are refused as not run although an engine ran them
// (P5), while engines are at capacity, are killed, cut their streams and leave.
func TestRefusedCompletionsDidNotRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{hosts: 3, engines: 3, tokenInterval: 2 * time.Millisecond})
	stop := make(chan struct{})
	reads := grouper.NewGroup(-1)
	reads.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
				c.ledger.readAll()
			}
		}
	})
	faults := grouper.NewGroup(-1)
	faults.Go(func() {
		for i := range 5 {
			engine := c.engines[i%len(c.engines)]
			c.admin("PUT", engine, "faults", map[string]int{"cut": 2, "truncate": 2, "cross": 2})
			time.Sleep(500 * time.Millisecond)
			c.admin("POST", engine, "leave", nil)
			time.Sleep(300 * time.Millisecond)
			c.ledger.read(engine)
			engine.kill()
			time.Sleep(200 * time.Millisecond)
			c.restart(engine)
		}
	})
	var seen tally
	rng := rand.New(rand.NewPCG(5, 5))
	sendRound := func(round int) {
		seeds := rng.Int64N(1 << 40)
		parallel(24, func(i int) {
			q := completionCall{prompt: fmt.Sprintf("round %d call %d", round, i), seed: seeds + int64(i), tokens: 60, stream: i%2 == 0}
			seen.add(c.complete(c.hosts[i%len(c.hosts)], q))
		})
	}
	deadline := time.Now().Add(6 * time.Second)
	round := 0
	for ; time.Now().Before(deadline); round++ {
		sendRound(round)
	}
	faults.Wait()
	// The faults above can all be hidden by retries. Without any engine, the calls that run have to be refused.
	kills := grouper.NewGroup(-1)
	kills.Go(func() {
		time.Sleep(50 * time.Millisecond)
		for _, engine := range c.engines {
			engine.kill()
		}
	})
	sendRound(round)
	kills.Wait()
	close(stop)
	reads.Wait()
	c.ledger.check()
	c.checkInvariants()
	t.Logf("%v", &seen)
	if seen.complete.Load() < 50 || seen.refused.Load() == 0 {
		t.Errorf("want at least 50 complete responses and one refusal: %v", &seen)
	}
}
