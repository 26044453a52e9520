package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"celerygap.example/lib/identifier"
	"celerygap.example/standin/provider"
)

// chaos injects random faults, several at once, and remembers which hosts it disturbed and when.
type chaos struct {
	c         *cluster
	revisions *revisions
	// longPauses lets processes freeze for longer than a lease (12 s).
	longPauses bool
	// ready returns the hosts that callers may use.
	ready func() []*process

	mu sync.Mutex
	// busy keeps two faults off the same process; down counts the hosts that are not serving.
	busy map[*process]bool
	down int
	// until is when the last disturbance of a host ended; a running one lies in the far future.
	until    map[*process]time.Time
	counts   map[string]int
	poisons  int
	strict   int
	disturbs int
}

func newChaos(c *cluster, r *revisions, long bool, ready func() []*process) *chaos {
	return &chaos{
		c: c, revisions: r, longPauses: long, ready: ready, busy: make(map[*process]bool), until: make(map[*process]time.Time),
		counts: make(map[string]int),
	}
}

// count counts a fault and logs it, so that a broken promise can be compared with what happened before.
func (x *chaos) count(name string, parts ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.counts[name]++
	x.c.t.Logf("%s fault: %s %v", time.Now().UTC().Format("15:04:05.000"), name, parts)
}

// take reserves a random process of a list; at most half of the hosts are disturbed at one time.
func (x *chaos) take(rng *rand.Rand, list []*process, host bool) *process {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := list[rng.IntN(len(list))]
	if x.busy[p] || (host && x.down >= len(x.c.hosts)/2) {
		return nil
	}
	x.busy[p] = true
	if host {
		x.down++
	}
	return p
}

func (x *chaos) release(p *process, host bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy[p] = false
	if host {
		x.down--
	}
}

// disturb notes that the callers of a host may see broken connections from now on; the returned function ends it.
func (x *chaos) disturb(p *process) (end func()) {
	x.mu.Lock()
	x.disturbs++
	x.until[p] = time.Now().Add(time.Hour)
	x.mu.Unlock()
	x.revisions.setFrozen(p, true)
	return func() {
		x.mu.Lock()
		x.until[p] = time.Now()
		x.mu.Unlock()
		x.revisions.setFrozen(p, false)
	}
}

// disturbedSince reports whether a host was killed or frozen at any time since the moment.
func (x *chaos) disturbedSince(p *process, moment time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.until[p].After(moment)
}

func (x *chaos) disturbances() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.disturbs
}

// between returns a random duration.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

func (x *chaos) freeze(rng *rand.Rand) time.Duration {
	if x.longPauses && rng.IntN(4) == 0 {
		return between(rng, 12*time.Second, 16*time.Second)
	}
	return between(rng, 200*time.Millisecond, 3*time.Second)
}

// lane repeats one kind of fault until the context ends.
func (x *chaos) lane(ctx context.Context, rng *rand.Rand, low, high time.Duration, fault func(context.Context, *rand.Rand)) {
	for ctx.Err() == nil {
		pause(ctx, between(rng, low, high))
		if ctx.Err() == nil {
			fault(ctx, rng)
		}
	}
}

func (x *chaos) disturbHost(ctx context.Context, rng *rand.Rand) {
	host := x.take(rng, x.c.hosts, true)
	if host == nil {
		return
	}
	defer x.release(host, true)
	switch rng.IntN(3) {
	case 0:
		x.count("host killed", host.name)
		end := x.disturb(host)
		host.kill()
		pause(ctx, between(rng, 0, 2*time.Second))
		x.c.restart(host)
		end()
	case 1:
		x.count("host frozen", host.name)
		end := x.disturb(host)
		host.signal(syscall.SIGSTOP)
		pause(ctx, x.freeze(rng))
		host.signal(syscall.SIGCONT)
		end()
		x.count("host resumed", host.name)
	case 2:
		x.count("planned stop", host.name)
		x.c.stop(host)
		x.c.restart(host)
	}
}

func (x *chaos) disturbEngine(ctx context.Context, rng *rand.Rand) {
	engine := x.take(rng, x.c.engines, false)
	if engine == nil {
		return
	}
	defer x.release(engine, false)
	switch rng.IntN(5) {
	case 0:
		x.count("engine killed", engine.name)
		x.c.ledger.read(engine)
		engine.kill()
		pause(ctx, between(rng, 0, time.Second))
		x.c.restart(engine)
	case 1:
		x.count("engine frozen", engine.name)
		engine.signal(syscall.SIGSTOP)
		pause(ctx, x.freeze(rng))
		engine.signal(syscall.SIGCONT)
	case 2:
		x.count("engine leaving", engine.name)
		x.c.markLeaving(engine)
		pause(ctx, leaveBound+between(rng, time.Second, 3*time.Second))
		x.c.ledger.read(engine)
		x.c.ledger.unmark(engine)
		engine.kill()
		x.c.restart(engine)
	default:
		x.count("engine faults", engine.name)
		x.c.admin(http.MethodPut, engine, "faults", map[string]int{
			"fail_swaps": rng.IntN(3), "fail_loads": rng.IntN(3), "cut": rng.IntN(3), "truncate": rng.IntN(3), "cross": rng.IntN(4),
		})
	}
}

func (x *chaos) disturbStore(ctx context.Context, rng *rand.Rand) {
	switch rng.IntN(4) {
	case 0:
		x.count("store down")
		x.revisions.setOutage(true)
		x.c.setFaults(provider.Faults{Down: true})
		pause(ctx, x.freeze(rng))
		x.c.setFaults(provider.Faults{})
		x.revisions.setOutage(false)
		x.count("store outage ended")
	case 1:
		x.count("store slow")
		x.revisions.setOutage(true)
		x.c.setFaults(provider.Faults{Slow: identifier.Duration(between(rng, 50*time.Millisecond, time.Second))})
		pause(ctx, x.freeze(rng))
		x.c.setFaults(provider.Faults{})
		x.revisions.setOutage(false)
		x.count("store outage ended")
	case 2:
		x.count("store loses answers")
		x.c.setFaults(provider.Faults{LoseResponses: 1 + rng.IntN(6)})
		pause(ctx, between(rng, 200*time.Millisecond, 2*time.Second))
	case 3:
		x.count("weight store down")
		x.c.setFaults(provider.Faults{WeightsDown: true})
		pause(ctx, between(rng, 200*time.Millisecond, 2*time.Second))
	}
	x.c.setFaults(provider.Faults{})
}

func (x *chaos) disturbPlain(_ context.Context, rng *rand.Rand) {
	x.count("plain faults")
	x.c.admin(http.MethodPut, x.c.plain, "faults", map[string]int{
		"close_before": rng.IntN(2), "close_after": rng.IntN(2), "truncate": rng.IntN(2), "refuse": rng.IntN(3), "cross": rng.IntN(2),
	})
}

// poison sends one poisonous request through every host, twice. At most two engines may crash, unless a host was
// disturbed meanwhile, since the proof lives in the hosts' memory and travels between them.
func (x *chaos) poison(ctx context.Context, rng *rand.Rand) {
	x.count("poisonous request")
	x.mu.Lock()
	x.poisons++
	number := x.poisons
	x.mu.Unlock()
	before, disturbed := x.c.crashCount(), x.disturbances()
	q := completionCall{prompt: fmt.Sprintf("%s number %d", poisonMarker, number), seed: rng.Int64N(1000), tokens: 30, stream: true}
	for i := range 2 * len(x.c.hosts) {
		// A host that has stopped as planned refuses connections, so only those that are ready get the request.
		if ready := x.ready(); len(ready) > 0 {
			if a := x.c.sendCompletion(ready[i%len(ready)], q); a.whole {
				x.c.violate("P4: poisonous request %d has a whole response", number)
			}
		}
		pause(ctx, poisonInterval)
		if ctx.Err() != nil {
			return
		}
	}
	if n := x.c.crashCount() - before; disturbed == x.disturbances() {
		x.mu.Lock()
		x.strict++
		x.mu.Unlock()
		if n > 2 {
			x.c.violate("poisonous request %d crashed %d engines", number, n)
		}
	}
}

// poisonInterval is how soon the caller of a poisonous request comes back through another host.
const poisonInterval = 300 * time.Millisecond
