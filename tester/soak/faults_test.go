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

// faultInjector injects random faults, several at the same time, and records when each host was disrupted, that is killed or
// frozen.
type faultInjector struct {
	c         *cluster
	revisions *revisions
	// longFaults lets freezes and store outages outlast a lease (12 s).
	longFaults bool
	// ready returns the hosts whose latest readiness check succeeded.
	ready func() []*process

	mu sync.Mutex
	// busy has the processes with a fault in progress, which get no second one; down counts the hosts among them.
	busy map[*process]bool
	down int
	// disruptedUntil is when the last disruption of a host ended; it lies an hour ahead while one lasts.
	disruptedUntil map[*process]time.Time
	// counts has the number of faults of each kind.
	counts           map[string]int
	crashingRequests int
	// crashLimitChecks counts the crashing requests for which the number of crashed engines was checked.
	crashLimitChecks int
	disruptionCount  int
}

func newFaultInjector(c *cluster, r *revisions, long bool, ready func() []*process) *faultInjector {
	return &faultInjector{
		c: c, revisions: r, longFaults: long, ready: ready, busy: make(map[*process]bool), disruptedUntil: make(map[*process]time.Time),
		counts: make(map[string]int),
	}
}

// count counts a fault and logs it, so that a violation can be related to the faults before it.
func (f *faultInjector) count(name string, parts ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name]++
	f.c.t.Logf("%s fault: %s %v", time.Now().UTC().Format("15:04:05.000"), name, parts)
}

// reserve picks a random process of a list for a fault. It returns nil if that process has a fault in progress already
// or, for a host, if half of the hosts have one.
func (f *faultInjector) reserve(rng *rand.Rand, list []*process, host bool) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := list[rng.IntN(len(list))]
	if f.busy[p] || (host && f.down >= len(f.c.hosts)/2) {
		return nil
	}
	f.busy[p] = true
	if host {
		f.down++
	}
	return p
}

func (f *faultInjector) release(p *process, host bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy[p] = false
	if host {
		f.down--
	}
}

// disrupt records that connections of a host may break from now on; the returned function ends the disruption.
func (f *faultInjector) disrupt(p *process) (end func()) {
	f.mu.Lock()
	f.disruptionCount++
	f.disruptedUntil[p] = time.Now().Add(time.Hour)
	f.mu.Unlock()
	f.revisions.setFrozen(p, true)
	return func() {
		f.mu.Lock()
		f.disruptedUntil[p] = time.Now()
		f.mu.Unlock()
		f.revisions.setFrozen(p, false)
	}
}

// disruptedSince reports whether a host was killed or frozen at any time after the given moment.
func (f *faultInjector) disruptedSince(p *process, moment time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disruptedUntil[p].After(moment)
}

func (f *faultInjector) disruptions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disruptionCount
}

// randomDuration returns a random duration of at least low and less than high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// faultDuration returns how long a freeze or a store outage lasts.
func (f *faultInjector) faultDuration(rng *rand.Rand) time.Duration {
	if f.longFaults && rng.IntN(4) == 0 {
		return randomDuration(rng, 12*time.Second, 16*time.Second)
	}
	return randomDuration(rng, 200*time.Millisecond, 3*time.Second)
}

// injectRepeatedly injects one kind of fault, with a random delay before each, until the context ends.
func (f *faultInjector) injectRepeatedly(ctx context.Context, rng *rand.Rand, low, high time.Duration, inject func(context.Context, *rand.Rand)) {
	for ctx.Err() == nil {
		pause(ctx, randomDuration(rng, low, high))
		if ctx.Err() == nil {
			inject(ctx, rng)
		}
	}
}

func (f *faultInjector) injectHostFault(ctx context.Context, rng *rand.Rand) {
	host := f.reserve(rng, f.c.hosts, true)
	if host == nil {
		return
	}
	defer f.release(host, true)
	switch rng.IntN(3) {
	case 0:
		f.count("host killed", host.name)
		end := f.disrupt(host)
		host.kill()
		pause(ctx, randomDuration(rng, 0, 2*time.Second))
		f.c.restart(host)
		end()
	case 1:
		f.count("host frozen", host.name)
		end := f.disrupt(host)
		host.signal(syscall.SIGSTOP)
		pause(ctx, f.faultDuration(rng))
		host.signal(syscall.SIGCONT)
		end()
		f.count("host resumed", host.name)
	case 2:
		f.count("planned stop", host.name)
		f.c.stop(host)
		f.c.restart(host)
	}
}

func (f *faultInjector) injectEngineFault(ctx context.Context, rng *rand.Rand) {
	engine := f.reserve(rng, f.c.engines, false)
	if engine == nil {
		return
	}
	defer f.release(engine, false)
	switch rng.IntN(5) {
	case 0:
		f.count("engine killed", engine.name)
		f.c.ledger.read(engine)
		engine.kill()
		pause(ctx, randomDuration(rng, 0, time.Second))
		f.c.restart(engine)
	case 1:
		f.count("engine frozen", engine.name)
		engine.signal(syscall.SIGSTOP)
		pause(ctx, f.faultDuration(rng))
		engine.signal(syscall.SIGCONT)
	case 2:
		f.count("engine leaving", engine.name)
		f.c.markLeaving(engine)
		pause(ctx, leaveBound+randomDuration(rng, time.Second, 3*time.Second))
		f.c.ledger.read(engine)
		f.c.ledger.unmarkLeaving(engine)
		engine.kill()
		f.c.restart(engine)
	default:
		f.count("engine faults", engine.name)
		f.c.admin(http.MethodPut, engine, "faults", map[string]int{
			"fail_swaps": rng.IntN(3), "fail_loads": rng.IntN(3), "cut": rng.IntN(3), "truncate": rng.IntN(3), "cross": rng.IntN(4),
		})
	}
}

func (f *faultInjector) injectStoreFault(ctx context.Context, rng *rand.Rand) {
	switch rng.IntN(4) {
	case 0:
		f.count("store down")
		f.revisions.setOutage(true)
		f.c.setFaults(provider.Faults{Down: true})
		pause(ctx, f.faultDuration(rng))
		f.c.setFaults(provider.Faults{})
		f.revisions.setOutage(false)
		f.count("store outage ended")
	case 1:
		f.count("store slow")
		f.revisions.setOutage(true)
		f.c.setFaults(provider.Faults{Slow: identifier.Duration(randomDuration(rng, 50*time.Millisecond, time.Second))})
		pause(ctx, f.faultDuration(rng))
		f.c.setFaults(provider.Faults{})
		f.revisions.setOutage(false)
		f.count("store outage ended")
	case 2:
		f.count("store loses responses")
		f.c.setFaults(provider.Faults{LoseResponses: 1 + rng.IntN(6)})
		pause(ctx, randomDuration(rng, 200*time.Millisecond, 2*time.Second))
	case 3:
		f.count("weight store down")
		f.c.setFaults(provider.Faults{WeightsDown: true})
		pause(ctx, randomDuration(rng, 200*time.Millisecond, 2*time.Second))
	}
	f.c.setFaults(provider.Faults{})
}

func (f *faultInjector) injectPlainFault(_ context.Context, rng *rand.Rand) {
	f.count("plain service faults")
	f.c.admin(http.MethodPut, f.c.plain, "faults", map[string]int{
		"close_before": rng.IntN(2), "close_after": rng.IntN(2), "truncate": rng.IntN(2), "refuse": rng.IntN(3), "cross": rng.IntN(2),
	})
}

// sendCrashingRequest sends one crashing request twice through every host. It may crash at most two engines. This is
// not checked if a host was disrupted meanwhile, since hosts keep the proven fingerprint only in memory and send it to
// each other.
func (f *faultInjector) sendCrashingRequest(ctx context.Context, rng *rand.Rand) {
	f.count("crashing request")
	f.mu.Lock()
	f.crashingRequests++
	number := f.crashingRequests
	f.mu.Unlock()
	crashesBefore, disruptionsBefore := f.c.crashCount(), f.disruptions()
	q := completionCall{prompt: fmt.Sprintf("%s number %d", crashMarker, number), seed: rng.Int64N(1000), tokens: 30, stream: true}
	for i := range 2 * len(f.c.hosts) {
		// A host in a planned stop refuses connections, so only ready hosts get the request.
		if ready := f.ready(); len(ready) > 0 {
			if result := f.c.sendCompletion(ready[i%len(ready)], q); result.complete {
				f.c.recordViolation("P4: crashing request %d got a complete response", number)
			}
		}
		pause(ctx, crashingRequestInterval)
		if ctx.Err() != nil {
			return
		}
	}
	if crashed := f.c.crashCount() - crashesBefore; disruptionsBefore == f.disruptions() {
		f.mu.Lock()
		f.crashLimitChecks++
		f.mu.Unlock()
		if crashed > 2 {
			f.c.recordViolation("crashing request %d crashed %d engines, more than 2", number, crashed)
		}
	}
}

// crashingRequestInterval is the time after which the caller of a crashing request sends it again through another host.
const crashingRequestInterval = 300 * time.Millisecond
