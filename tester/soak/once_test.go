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

// TestSameKeyOnAllHostsRunsAtMostOnce guards against a second run of a non-idempotent request when the owner of its
// permits dies, freezes, or the store loses the response to a write that took effect (P6), and against refusals as not
// run of requests that ran (P5).
func TestSameKeyOnAllHostsRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{hosts: 4, engines: 0, plainDelay: 20 * time.Millisecond})
	rng := rand.New(rand.NewPCG(6, 1))
	var sent tally
	faults := grouper.NewGroup(1)
	for round := range 15 {
		victim := c.hosts[round%len(c.hosts)]
		faults.Go(func() { c.disturbPermits(round, victim, time.Duration(rng.IntN(60))*time.Millisecond) })
		parallel(4, func(i int) {
			key := fmt.Sprintf("key-%d-%d", round, i)
			for _, a := range c.orderEverywhere(c.hosts, key, key+" order") {
				sent.add(a)
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
		t.Errorf("only %d of 60 keys ran, too few to prove anything", record.Runs)
	}
}

// TestUnknownOutcomeIsAnsweredAtOnce guards against a repeat that waits until its deadline for the response of a run
// whose outcome the first host already knows to be unknown; a response that was given up on is final and immediate.
func TestUnknownOutcomeIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{hosts: 2, engines: 0})
	for _, fault := range []string{"close_after", "truncate", "cross"} {
		key, first := c.orderUntilUnknown(fault)
		require.Equal(t, codec.OutcomeUnknown, first.outcome, "%s: %v", fault, first)
		for _, host := range c.hosts {
			a := c.order(host, key, key)
			require.Equal(t, string(refuser.OutcomeUnknown), a.reason, "%s, repeat through %s: %v", fault, host.name, a)
			require.Less(t, a.took, time.Second, "%s, repeat through %s: %v", fault, host.name, a)
		}
	}
	c.ledger.check()
	c.checkInvariants()
}

// orderUntilUnknown sends orders, each with its own key, until one is neither whole nor refused as not run: for a moment
// after a broken connection a host sends nothing to the only upstream.
func (c *cluster) orderUntilUnknown(fault string) (key string, a answer) {
	for i := range 100 {
		c.admin(http.MethodPut, c.plain, "faults", map[string]int{fault: 1})
		key = fmt.Sprintf("%s-%d", fault, i)
		if a = c.order(c.hosts[0], key, key); a.outcome == codec.OutcomeUnknown {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.admin(http.MethodPut, c.plain, "faults", map[string]int{})
	return key, a
}

// disturbPermits shows one of five faults after a delay that puts it into the middle of the calls.
func (c *cluster) disturbPermits(round int, victim *process, delay time.Duration) {
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

// TestRefusedCompletionsDidNotRun guards against refusals as not run of completions that an engine ran (P5), while
// engines are full, die, cut their streams and leave.
func TestRefusedCompletionsDidNotRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{hosts: 3, engines: 3, tokenInterval: 2 * time.Millisecond})
	stop := make(chan struct{})
	readings := grouper.NewGroup(-1)
	readings.Go(func() {
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
	deadline := time.Now().Add(6 * time.Second)
	for round := 0; time.Now().Before(deadline); round++ {
		seeds := rng.Int64N(1 << 40)
		parallel(24, func(i int) {
			q := completionCall{prompt: fmt.Sprintf("round %d call %d", round, i), seed: seeds + int64(i), tokens: 60, stream: i%2 == 0}
			seen.add(c.complete(c.hosts[i%len(c.hosts)], q))
		})
	}
	faults.Wait()
	close(stop)
	readings.Wait()
	c.ledger.check()
	c.checkInvariants()
	t.Logf("%v", &seen)
	if seen.whole.Load() < 50 || seen.refused.Load() == 0 {
		t.Errorf("want whole responses and refusals: %v", &seen)
	}
}
