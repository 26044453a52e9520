package dispatcher

import (
	"context"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/grouper"
	"celerygap.example/lib/identifier"
	"celerygap.example/service/connector"
	"celerygap.example/service/isolator"
	"celerygap.example/service/limiter"
	"celerygap.example/service/router"
)

const (
	queueTickInterval  = 10 * time.Millisecond
	loadTickInterval   = time.Second
	loadTimeout        = time.Second
	maxConcurrentPolls = 8
	// maxPollsPerTick is the size up to which a pool is polled entirely at each tick. Of a larger pool pollsOfLargePool
	// engines are polled at each tick, which keeps its load reports within the network budget of a host: each of 64
	// engines is polled every 16 s.
	maxPollsPerTick  = 16
	pollsOfLargePool = 4
)

// Run sends ticks to the state machines, applies new catalogues and polls the engines' load until ctx ends; its error
// is always nil.
func (d *Dispatcher) Run(ctx context.Context) error {
	// The queue gets ticks only while a request waits: 100 wake-ups a second of an idle host cost more than the rest of
	// its control work.
	var queue <-chan time.Time
	stopQueue := func() {}
	defer func() { stopQueue() }()
	load, stopLoad := d.config.Timer.Subscribe(loadTickInterval)
	defer stopLoad()
	catalogues := d.config.Catalogue.Subscribe()
	defer d.polls.Wait()
	var round int
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.queueWake:
			if queue == nil {
				queue, stopQueue = d.config.Timer.Subscribe(queueTickInterval)
			}
		case <-queue:
			if !d.tickQueue() {
				stopQueue()
				queue, stopQueue = nil, func() {}
			}
		case <-catalogues:
			d.mu.Lock()
			d.refreshCatalogue()
			d.mu.Unlock()
		case <-load:
			round++
			d.tickLoad(ctx, round)
		}
	}
}

// tickQueue sends a tick to the limiter and reports whether any request was waiting for admission.
func (d *Dispatcher) tickQueue() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limiter.Waiting() == 0 {
		return false
	}
	d.handleLimiter(limiter.Tick{})
	return true
}

func (d *Dispatcher) tickLoad(ctx context.Context, round int) {
	d.mu.Lock()
	d.handleIsolator(isolator.Tick{})
	catalogue := d.refreshCatalogue()
	d.mu.Unlock()
	for _, pool := range catalogue.Pools {
		d.mu.Lock()
		d.refreshPool(pool.Name)
		d.notifyChange()
		d.mu.Unlock()
	}
	// The polls run on another goroutine, because an engine that does not respond must not delay the queue's ticks.
	// While a round of polls is running, the next one is skipped.
	d.polls.TryGo(func() {
		for _, pool := range catalogue.Pools {
			if pool.Kind == codec.PoolKindEngine {
				d.pollPool(ctx, pool.Name, round)
			}
		}
	})
}

// pollPool fetches the load reports of this round's engines and passes the occupancy of the pool to the limiter.
func (d *Dispatcher) pollPool(ctx context.Context, pool identifier.PoolName, round int) {
	polls := grouper.NewGroup(maxConcurrentPolls)
	for _, upstream := range d.dueEngines(pool, round) {
		polls.Go(func() { d.pollEngine(ctx, upstream) })
	}
	polls.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	slots, load := d.router.Occupancy(time.Now(), pool)
	d.handleLimiter(limiter.PoolSized{Pool: pool, Slots: slots, Load: load})
	// Requests that wait for newer weights are routed again with the new reports.
	d.notifyChange()
}

func (d *Dispatcher) dueEngines(pool identifier.PoolName, round int) []connector.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var known []connector.Upstream
	for _, state := range d.router.States() {
		if state.Pool == pool && !state.Upstream.Leaving {
			known = append(known, state.Upstream)
		}
	}
	if len(known) <= maxPollsPerTick {
		return known
	}
	due := make([]connector.Upstream, 0, pollsOfLargePool)
	for i := range pollsOfLargePool {
		due = append(due, known[(round*pollsOfLargePool+i)%len(known)])
	}
	return due
}

func (d *Dispatcher) pollEngine(ctx context.Context, upstream connector.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := d.config.Engines.Load(ctx, upstream)
	if err != nil {
		return
	}
	// The engine's own id may differ from the id in the upstream list, by which the router identifies it.
	report.ID = upstream.ID
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Handle(time.Now(), router.LoadReported{Report: report})
}
