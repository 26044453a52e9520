package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
)

// balancerPeriod is the interval at which the tests' load balancer checks the readiness of each host.
const balancerPeriod = 100 * time.Millisecond

// parallel calls f with 0 to n-1 at the same time and waits for all calls.
func parallel(n int, f func(i int)) {
	group := grouper.NewGroup(-1)
	for i := range n {
		group.Go(func() { f(i) })
	}
	group.Wait()
}

// balancer is the tests' load balancer: it knows which hosts are ready.
type balancer struct {
	mu sync.Mutex
	// ready has the time of the latest check of each host for which that check succeeded.
	ready map[*process]time.Time
}

// maxReadinessAge is the age from which a successful readiness check no longer counts.
const maxReadinessAge = 500 * time.Millisecond

// run checks each host in a goroutine of its own until the context ends, so that a frozen host does not delay the
// checks of others.
func (b *balancer) run(ctx context.Context, c *cluster) {
	parallel(len(c.hosts), func(i int) {
		host := c.hosts[i]
		for ctx.Err() == nil {
			checkedAt := time.Now()
			ready := host.running() && c.ready(host)
			b.mu.Lock()
			if b.ready == nil {
				b.ready = make(map[*process]time.Time)
			}
			delete(b.ready, host)
			if ready {
				b.ready[host] = checkedAt
			}
			b.mu.Unlock()
			pause(ctx, balancerPeriod)
		}
	})
}

// readyHosts returns the ready hosts in the order of their names.
func (b *balancer) readyHosts() []*process {
	b.mu.Lock()
	defer b.mu.Unlock()
	var fresh []*process
	for host, checkedAt := range b.ready {
		if time.Since(checkedAt) < maxReadinessAge {
			fresh = append(fresh, host)
		}
	}
	slices.SortFunc(fresh, func(a, b *process) int { return strings.Compare(a.name, b.name) })
	return fresh
}

func (b *balancer) pick(rng *rand.Rand) *process {
	ready := b.readyHosts()
	if len(ready) == 0 {
		return nil
	}
	return ready[rng.IntN(len(ready))]
}

// load sends completions and orders until its context ends.
type load struct {
	c    *cluster
	seed uint64
	// completions and orders are the numbers of concurrent callers of each kind.
	completions int
	orders      int
	maxTokens   int
	// interval is the mean pause of a caller between two calls.
	interval time.Duration
	pick     func(*rand.Rand) *process
	// sameKeyHosts returns the hosts that get the same key at the same time; nil means every host.
	sameKeyHosts func() []*process
	// onResult, when set, gets each result with the prompt or the body of the call. No order is then sent to several
	// hosts at the same time, since such calls may be refused.
	onResult func(host *process, input string, result callResult)

	streams, calls tally
	number         atomic.Int64
}

func (l *load) run(ctx context.Context) {
	parallel(l.completions+l.orders, func(i int) {
		rng := rand.New(rand.NewPCG(l.seed, uint64(i)+100))
		for ctx.Err() == nil {
			host := l.pick(rng)
			if host == nil {
				pause(ctx, balancerPeriod)
				continue
			}
			if i < l.completions {
				l.sendCompletion(host, rng)
			} else {
				l.sendOrder(host, rng)
			}
			pause(ctx, time.Duration(rng.Int64N(int64(2*l.interval)+1)))
		}
	})
}

func (l *load) sendCompletion(host *process, rng *rand.Rand) {
	q := completionCall{
		prompt: fmt.Sprintf("question %d of run %d: %d", l.number.Add(1), l.seed, rng.Uint64()),
		seed:   rng.Int64N(1 << 40),
		tokens: identifier.Tokens(1 + rng.IntN(l.maxTokens)),
		stream: rng.IntN(3) > 0,
	}
	result := l.c.complete(host, q)
	l.streams.add(result)
	if l.onResult != nil {
		l.onResult(host, q.prompt, result)
	}
}

// sendOrder sends an order with a key to one host, one with the same key to all hosts at the same time, or one without key.
func (l *load) sendOrder(host *process, rng *rand.Rand) {
	key := fmt.Sprintf("order-%d-%d", l.seed, l.number.Add(1))
	body := key + " salt"
	hosts := []*process{host}
	switch rng.IntN(4) {
	case 0:
		key = ""
	case 1:
		if l.onResult == nil {
			hosts = l.c.hosts
			if l.sameKeyHosts != nil {
				hosts = l.sameKeyHosts()
			}
		}
	}
	for _, result := range l.c.sendOrderToAll(hosts, key, body) {
		l.calls.add(result)
		if l.onResult != nil {
			l.onResult(host, body, result)
		}
	}
}
